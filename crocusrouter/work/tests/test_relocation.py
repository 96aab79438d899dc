import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work.tests import build


def _find_run(pool_state, job="j", index=0):
    return pool_state.runs[work.TaskKey(job, 0, 0, index)]


@pytest.mark.parametrize(
    ("stays_s", "ran_s", "overrides", "stopped"),
    [
        (4.0, 0.0, {"expected_s": 9.0}, True),
        (4.0, 0.0, {"expected_s": 3.0}, False),
        (4.0, 0.0, {"expected_s": 9.0, "checkpoints": True}, False),
        (4.0, 3.5, {"expected_s": 9.0, "checkpoints": True}, True),
        (None, 0.0, {"expected_s": 9.0}, False),
        (4.0, 0.0, {"expected_s": 9.0, "lasting": True}, False),
    ],
)
def test_run_that_would_be_lost_with_its_worker(
    stays_s, ran_s, overrides, stopped
):
    """A long task must not be lost with a worker that drains and leaves.

    It would start elsewhere only after the worker is gone.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1, **overrides))
    )
    build.apply_plan(pool_state)
    run = _find_run(pool_state)
    entry = pool_state.workers[run.worker_id].entry
    leaving = dataclasses.replace(entry, draining=True, stays_s=stays_s)
    pool_state.set_worker(leaving, 0.0)
    run.progressed_at = ran_s
    plan = work.plan(pool_state, ran_s, build.WALL)
    assert [stopped_run for stopped_run, _ in plan.stops] == (
        [run] if stopped else []
    )


@pytest.mark.parametrize(
    ("ran_s", "stalled_s", "slack", "overrides", "stopped"),
    [
        (1.0, 1.5, 1.5, {}, False),  # may be chance
        (1.0, 2.7, 1.5, {}, True),
        (1.0, 2.5, 9.0, {}, False),  # has time to wait
        (1.0, 9.0, 1.5, {}, False),  # late in any case
        (5.0, 2.5, 9.0, {"checkpoints": True}, False),
        (5.0, 3.5, 9.0, {"checkpoints": True}, True),
        (60.0, 90.0, 1.1, {"expected_s": 7200.0}, False),
    ],
)
def test_stalled_run(ran_s, stalled_s, slack, overrides, stopped):
    """A task may stall while its worker answers as if all were well.

    The run is stopped if it would miss its objective should the stall last as
    long again, and a new start would not.
    """
    step = build.make_step(1, **({"expected_s": 8.0} | overrides))
    job = build.make_job("j", step, slack=slack)
    pool_state = build.make_pool_state(job, workers=("w0",))
    build.apply_plan(pool_state)
    run = _find_run(pool_state)
    run.progressed_at = ran_s
    if ran_s > 50:
        run.percent = 1.0
    now = ran_s + stalled_s
    plan = work.plan(pool_state, now, build.WALL + now)
    assert [stopped_run for stopped_run, _ in plan.stops] == (
        [run] if stopped else []
    )


@pytest.mark.parametrize(
    ("reported_s", "stopped"), [(0.0, False), (0.4, False), (8.5, True)]
)
def test_time_without_reports_is_no_stall(reported_s, stopped):
    """A process that was suspended must not take all runs for stalled.

    It has seen no progress since its last report of each worker.
    """
    step = build.make_step(1, expected_s=8.0, checkpoints=True)
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=("w0",)
    )
    build.apply_plan(pool_state)
    pool_state.workers["w0"].last_report_at = reported_s
    plan = work.plan(pool_state, 9.0, build.WALL + 9.0)
    assert bool(plan.stops) is stopped


def test_gang_of_a_stalled_member_is_stopped_whole():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2, gpu=8, gang=True))
    )
    build.apply_plan(pool_state)
    _find_run(pool_state).progressed_at = 0.0
    _find_run(pool_state, index=1).progressed_at = 5.0
    plan = work.plan(pool_state, 5.0, build.WALL + 5)
    assert len(plan.stops) == 2

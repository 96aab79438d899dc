"""Jobs none of whose tasks run although there is room for them twice over."""

import pytest

from crocusrouter import work
from crocusrouter.work import progress
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

# The users' bound on the time that such a job may wait.
_MAX_WAIT_S = 3.0
_DECISION_INTERVAL_S = 0.25


def _find_step(pool_state):
    return pool_state.find_tracked_step(work.StepKey("j", 0, 0))


def _require_large_rack():
    """No rack holds the gang, whatever it waits for."""
    step = build.make_step(3, gpu=8, gang=True, one_rack=True, expected_s=11.0)
    return build.make_six_workers(step)


def _require_busy_racks():
    """One worker of each rack is busy."""
    pool_state = build.make_six_workers(
        build.make_step(3, gpu=4, gang=True, one_rack=True, expected_s=11.0)
    )
    build.fill(pool_state, ("w0", "w2"))
    pool_state.workers["w4"].used = work.Room(0, 0, 2)
    pool_state.workers["w5"].used = work.Room(0, 0, 2)
    return pool_state


def _require_lost_rack():
    """The rack with its data has left the pool."""
    step = build.make_step(4, rack="r0-9", expected_s=11.0)
    return build.make_six_workers(step)


def _fail_on_idle_workers():
    """All workers on which the step has not failed are busy for long."""
    pool_state = build.make_six_workers(build.make_step(1))
    build.fill(pool_state, ("w0",))
    _find_step(pool_state).avoided_workers |= {*build.SIX_WORKERS[1:]}
    return pool_state


def _follow_waiting_gang():
    """Two gangs of an earlier rank, which no rack can hold, wait for one."""
    pool_state = build.make_six_workers(build.make_step(1), priority=2)
    for number in range(2):
        gang = build.make_step(
            5, gpu=8, gang=True, one_rack=True, expected_s=20.0
        )
        build.add_job(pool_state, build.make_job(f"g{number}", gang))
    return pool_state


def _follow_other_trials():
    """The step has met two crashes, and other suspects use up the trials."""
    pool_state = build.make_six_workers(build.make_step(1))
    _find_step(pool_state).progress.crashes[0] = [
        progress.Crash(number, early=True) for number in (1, 2)
    ]
    for worker_id in ("w0", "w1"):
        pool_state.workers[worker_id].trial_until = 100.0
    return pool_state


def _measure_wait(pool_state, contentions=()):
    """Return the seconds until a task of the job starts."""
    for tick in range(60):
        now = tick * _DECISION_INTERVAL_S
        if any(at <= now < at + _DECISION_INTERVAL_S for at in contentions):
            pool_state.note_contention(now)
        plan = build.apply_plan(pool_state, now, build.WALL + now)
        pool_state.note_delays(plan.delays, now)
        if any(placement.step.job == "j" for placement in plan.placements):
            return now
    return float("inf")


@pytest.mark.parametrize(
    "build_state",
    [
        _require_large_rack,
        _require_busy_racks,
        _require_lost_rack,
        _fail_on_idle_workers,
        _follow_waiting_gang,
        _follow_other_trials,
    ],
)
def test_job_with_room_does_not_stand(build_state):
    """Preferences of the planner add up to more than callers may wait."""
    assert _measure_wait(build_state()) < _MAX_WAIT_S


def test_job_is_not_held_back_again_and_again():
    """Each stop of other work for urgent work held all later work back anew."""
    pool_state = build.make_six_workers(
        build.make_step(1), priority=2, slack=20.0
    )
    waited_s = _measure_wait(pool_state, contentions=(0.0, 1.0, 2.0, 3.0, 4.0))
    assert waited_s < _MAX_WAIT_S


def test_gang_larger_than_the_pool_holds_no_workers():
    """Jobs of later rank waited for as long as such a gang was there."""
    pool_state = build.make_six_workers(build.make_step(1), priority=2)
    gang = build.make_step(7, gpu=8, gang=True)
    build.add_job(pool_state, build.make_job("g", gang))
    assert _measure_wait(pool_state) == 0.0


def test_rejected_starts_do_not_begin_the_wait_anew():
    """Each rejected start made the job wait for a better place once more."""
    pool_state = _require_large_rack()
    for tick in range(20):
        now = tick * _DECISION_INTERVAL_S
        plan = build.apply_plan(
            pool_state, now, build.WALL + now, confirm=False
        )
        pool_state.note_delays(plan.delays, now)
        if plan.placements and now >= _MAX_WAIT_S - 0.5:
            return
        for key, run in list(pool_state.runs.items()):
            pool_state.note_never_started(key, run.number, "room", now)
    pytest.fail("no further start")


def test_job_of_a_lost_worker_does_not_wait_for_its_rack():
    """Its run had ended seconds before the lease of the worker did."""
    step = build.make_step(5, gpu=4, gang=True, one_rack=True, expected_s=11.0)
    pool_state = build.make_six_workers(step)
    for index in range(5):
        key = work.TaskKey("j", 0, 0, index)
        pool_state.add_run(key, 1, f"w{index}", 0.0)
        pool_state.note_started(key, 1, 0.0)
    pool_state.workers["w0"].last_report_at = 99.0
    work.note_silent(pool_state, "w0", 100.0)
    work.note_lapsed(pool_state, "w0", "the worker's lease expired", 106.5)
    for index in range(1, 5):
        key = work.TaskKey("j", 0, 0, index)
        end = key, worker_port.RunOutcome.BROKEN
        build.apply_report(pool_state, f"w{index}", end, now=106.6)
    for now in (106.75, 107.0):
        plan = build.apply_plan(pool_state, now, build.WALL + now)
        pool_state.note_delays(plan.delays, now)
    assert plan.placements

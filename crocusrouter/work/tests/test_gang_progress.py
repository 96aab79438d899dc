"""Progress of gangs: stalls, remaining time, and what depends on them."""

import dataclasses
import math

import pytest

from crocusrouter import work
from crocusrouter.work import gang_progress
from crocusrouter.work import preemption
from crocusrouter.work import progress as progresses
from crocusrouter.work import relocation
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_FAST, _SLOW = 1.7, 0.7
_STALL_REASON = "it makes no progress"


def _start(count, *, resumed=False, confirm=True, job=(), **overrides):
    """Start a step of tasks that each take a whole worker."""
    step = build.make_step(
        count, gpu=8, **({"expected_s": 10.0, "gang": True} | overrides)
    )
    pool_state = build.make_pool_state(
        build.make_job("j", step, **dict(job)),
        workers=tuple(f"w{index:02}" for index in range(count)),
    )
    if resumed:
        _find_step(pool_state).progress.checkpoints[0] = "begun"
    build.apply_plan(pool_state, confirm=confirm)
    assert len(pool_state.runs) == count
    return pool_state


def _find_step(pool_state):
    return pool_state.find_tracked_step(work.StepKey("j", 0, 0))


def _find_run(pool_state, index=0):
    return pool_state.runs[work.TaskKey("j", 0, 0, index)]


def _report(pool_state, percents, now):
    """Report the progress of each member; None for a worker that is silent."""
    for run, percent in zip(pool_state.runs.values(), percents, strict=True):
        if percent is None:
            continue
        row = worker_port.ReportedRun(run.key, run.number, percent=percent)
        build.apply_report(pool_state, run.worker_id, now=now, running=(row,))


def _find_first_stops(pool_state, measure, until):
    """Return when a plan first stops runs of a step, and how many runs.

    Args:
        measure: Returns the progress of each run at a time.
        until: When the step ends by itself.
    """
    for tick in range(1, round(until / 0.25)):
        now = tick * 0.25
        if tick % 4 == 0:
            _report(pool_state, measure(now), now)
        plan = work.plan(pool_state, now, build.WALL + now)
        if plan.stops:
            assert {why for _, why in plan.stops} == {_STALL_REASON}
            return now, len(plan.stops)
    return None


# A finished member stays at 100 while the slowest ones stand at 56 to 97. This
# was taken for a stall, and the whole gang was stopped and began anew.
@pytest.mark.parametrize(
    ("work_s", "job", "overrides"),
    [
        ([5.8] * 6, {}, {"checkpoints": True}),
        # The declared time is too short.
        ([9.3] * 6, {"slack": 3.0, "target_s": 1.4}, {}),
        # The task of one member is long, so a new start would take as long.
        ([5.8] * 5 + [40.6], {}, {"checkpoints": True}),
        ([5.8] * 5 + [40.6], {"slack": 3.0, "target_s": 3.0}, {}),
    ],
)
def test_finished_members_wait_for_slower_ones(work_s, job, overrides):
    pool_state = _start(6, job=job, expected_s=5.8, **overrides)
    speeds = [_FAST, _FAST, _SLOW, _SLOW, _SLOW, _SLOW]
    total_times = [
        task_s / speed for task_s, speed in zip(work_s, speeds, strict=True)
    ]

    def measure(now):
        return [min(100.0, 100 * now // total_s) for total_s in total_times]

    until = max(total_times)
    assert _find_first_stops(pool_state, measure, until) is None


# A gang that waits for a slow member must not hide that a member, or the whole
# gang, stands still. None: a stop would not help.
@pytest.mark.parametrize(
    ("rates", "stall_at", "job", "overrides", "stopped_at"),
    [
        # The slowest member stalls while the others stand at 100.
        ([50, 50, 8], [9, 9, 4], {}, {"checkpoints": True}, 7.25),
        # A fast member stalls while the slowest one makes progress.
        ([50, 20, 4], [9, 2, 99], {}, {"checkpoints": True}, 5.25),
        # All members stand at 100; the stall counts from the last progress.
        ([50, 50, 50], [9, 9, 9], {}, {"checkpoints": True}, 5.25),
        ([50, 50, 20], [9, 9, 9], {}, {"checkpoints": True}, 8.25),
        # A gang of equal members that never begins.
        ([0, 0, 0], [9, 9, 9], {}, {"checkpoints": True}, 3.25),
        ([0, 0, 0], [9, 9, 9], {"slack": 1.2, "target_s": 1.0}, {}, 2.25),
        # Without checkpoints: stopped where only a new start is in time.
        ([50, 50, 50], [9, 9, 9], {"slack": 3.0}, {"expected_s": 8.0}, 13.75),
        ([50, 50, 50], [9, 9, 9], {"slack": 1.7}, {"expected_s": 8.0}, None),
        ([20, 20, 20], [1, 1, 1], {"slack": 1.3}, {}, 3.25),
        # A new start would repeat the long task of the third member.
        ([20, 20, 5], [1, 1, 99], {"slack": 1.3}, {}, None),
        # A single run at 100 waits for nobody.
        ([50], [9], {}, {"checkpoints": True, "gang": False}, 5.25),
    ],
)
def test_true_stall_is_detected(rates, stall_at, job, overrides, stopped_at):
    pool_state = _start(len(rates), job=job, **overrides)

    def measure(now):
        return [
            min(100.0, rate * min(now, end_s))
            for rate, end_s in zip(rates, stall_at, strict=True)
        ]

    first_stops = _find_first_stops(pool_state, measure, 20.0)
    expected = None if stopped_at is None else (stopped_at, len(rates))
    assert first_stops == expected


# After a takeover some members may not have been reported yet. A gang of which
# the others stand at 100 is not stopped before its workers have answered.
def test_finished_member_waits_for_unreported_ones():
    pool_state = _start(3, checkpoints=True)
    for now in (2.0, 9.0):
        _report(pool_state, [100.0, 100.0, 100.0], now)
    assert len(relocation.list_stalled(pool_state, 9.0)) == 3
    pool_state.drop_run(_find_run(pool_state, 2))
    assert relocation.list_stalled(pool_state, 9.0) == []


# Wrong estimates choose the wrong victims: a finished member frees its room
# only with its gang, and what a run had done before its checkpoint, before a
# takeover or before its progress fell says nothing about its rate.
@pytest.mark.parametrize(
    ("count", "overrides", "reports", "expected"),
    [
        # Single runs, and runs below 5 percent.
        (1, {"gang": False}, [(2.0, [40.0])], 3.0),
        (1, {"gang": False}, [(2.0, [4.0])], 8.0),
        (1, {"gang": False}, [(12.0, [4.0])], 0.5),
        (1, {"gang": False}, [(2.0, [100.0])], 0.0),
        # Gangs end with their slowest member.
        (3, {}, [(4.0, [100.0, 80.0, 50.0])], 4.0),
        (3, {}, [(4.0, [50.0, 50.0, 50.0])], 4.0),
        (3, {}, [(4.0, [50.0, 4.0, 50.0])], 6.0),
        (3, {}, [(4.0, [100.0, 100.0, 100.0])], 0.0),
        # No progress, and values beyond the range.
        (3, {}, [(4.0, [0.0, 0.0, 0.0])], 6.0),
        (2, {}, [(4.0, [130.0, 101.0])], 0.0),
        (2, {}, [(4.0, [130.0, 50.0])], 4.0),
        (2, {}, [(4.0, [-20.0, math.nan])], 6.0),
        (2, {}, [(4.0, [math.inf, -math.inf])], 6.0),
        # Falling progress: the time before it does not count.
        (1, {"gang": False}, [(4.0, [50.0]), (5.0, [20.0])], 8.0),
        (
            1,
            {"gang": False},
            [(4.0, [50.0]), (5.0, [20.0]), (7.0, [40.0])],
            6.0,
        ),
        (2, {}, [(4.0, [100.0, 50.0]), (5.0, [20.0, 60.0])], 8.0),
        (2, {}, [(4.0, [90.0, 90.0]), (5.0, [0.0, 95.0])], 10.0),
        (2, {}, [(4.0, [300.0, 50.0]), (8.0, [200.0, 80.0])], 2.0),
        # Resumed: the first value above 0 is no progress of this run.
        (1, {"gang": False, "resumed": True}, [(1.0, [60.0])], 4.0),
        (
            1,
            {"gang": False, "resumed": True},
            [(0.5, [0.0]), (1.0, [60.0]), (3.0, [80.0])],
            2.0,
        ),
        (2, {"resumed": True}, [(1.0, [60.0, 80.0])], 4.0),
        (
            2,
            {"resumed": True},
            [(0.0, [60.0, 60.0]), (1.0, [60.0, 60.0]), (3.0, [70.0, 80.0])],
            9.0,
        ),
        (2, {"resumed": True}, [(1.0, [100.0, 100.0])], 0.0),
        # The work of a gang begins with its last member.
        (
            2,
            {"confirm": False},
            [(1.0, [0.0, None]), (3.0, [0.0, 0.0]), (5.0, [50.0, 25.0])],
            6.0,
        ),
        (
            2,
            {"confirm": False, "resumed": True},
            [(1.0, [60.0, None]), (3.0, [60.0, 60.0]), (5.0, [80.0, 80.0])],
            2.0,
        ),
    ],
)
def test_remaining_time(count, overrides, reports, expected):
    pool_state = _start(count, **overrides)
    tracked_step = _find_step(pool_state)
    for now, percents in reports:
        _report(pool_state, percents, now)
    for run in pool_state.runs.values():
        assert 0.0 <= run.percent <= 100.0
        assert gang_progress.estimate_remaining_s(
            run, tracked_step, now
        ) == pytest.approx(expected)


# The start time of a run that an earlier owner started is unknown. Measured
# from its adoption, half of the work would seem to be done in no time.
@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([(5.0, 50.0)], 5.0),
        ([(5.0, 50.0), (6.0, 60.0)], 4.0),
        ([(5.0, 100.0)], 0.0),
        ([(5.0, 130.0)], 0.0),
        ([(5.0, -1.0)], 10.0),
    ],
)
def test_remaining_time_of_an_adopted_run(reports, expected):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1, expected_s=10.0))
    )
    key = work.TaskKey("j", 0, 0, 0)
    for now, percent in reports:
        row = worker_port.ReportedRun(key, 7, percent=percent)
        build.apply_report(pool_state, "w0", now=now, running=(row,))
    remaining_s = gang_progress.estimate_remaining_s(
        _find_run(pool_state), _find_step(pool_state), now
    )
    assert remaining_s == pytest.approx(expected)


# Progress that stays the same, at 0 or beyond 100, is a stall; a change that
# only the clamping hides must not pass for progress.
@pytest.mark.parametrize(
    ("percents", "stalled"),
    [
        ([0.0, 0.0, 0.0], True),
        ([-3.0, -2.0, -1.0], True),
        ([100.0, 110.0, 120.0], True),
        ([50.0, 50.0, 50.0], True),
        ([50.0, 51.0, 52.0], False),
        ([50.0, 50.0, 20.0], False),  # begins anew
    ],
)
def test_stall_of_a_single_run(percents, stalled):
    pool_state = _start(1, gang=False)
    for now, percent in zip((1.0, 4.0, 7.0), percents, strict=True):
        _report(pool_state, [percent], now)
    run = _find_run(pool_state)
    assert relocation.list_stalled(pool_state, 8.0) == ([run] * stalled)


# The worker of a finished member was expected to be free at once, so that
# waiting steps held it until its gang ended.
@pytest.mark.parametrize(
    ("percents", "expected"),
    [([100.0, 50.0], 4.0), ([100.0, 100.0], 0.0), ([80.0, 80.0], 1.0)],
)
def test_room_of_a_gang_is_free_when_its_slowest_member_ends(
    percents, expected
):
    pool_state = _start(2)
    _report(pool_state, percents, 4.0)
    free_times = preemption.FreeTimes(pool_state, 4.0)
    for worker_id in pool_state.workers:
        free_in_s = free_times.find(worker_id, work.Room(0, 0, 8))
        assert free_in_s == pytest.approx(expected)


# The end of a gang is the same for all its members. If each computed it, a plan
# would take a time that grows with the square of the gang.
def test_end_of_a_gang_is_computed_once_per_plan(monkeypatch):
    pool_state = _start(12)
    estimated_runs = []

    def estimate(run, tracked_step, now):
        estimated_runs.append(run)
        return 1.0

    monkeypatch.setattr(gang_progress, "estimate_remaining_s", estimate)
    free_times = preemption.FreeTimes(pool_state, 4.0)
    for worker_id in pool_state.workers:
        free_times.find(worker_id, work.Room(0, 0, 8))
    assert len(estimated_runs) == 1


# A finished member on a leaving worker ends with its gang. It was expected to
# be done, and the gang was lost with the worker.
@pytest.mark.parametrize(
    ("percents", "stays_s", "stopped"),
    [
        ([100.0, 50.0], 3.0, True),
        ([100.0, 50.0], 5.0, False),
        ([100.0, 100.0], 3.0, False),
    ],
)
def test_gang_that_outlasts_the_worker_of_a_finished_member(
    percents, stays_s, stopped
):
    pool_state = _start(2)
    _report(pool_state, percents, 4.0)
    entry = pool_state.workers[_find_run(pool_state).worker_id].entry
    leaving = dataclasses.replace(entry, draining=True, stays_s=stays_s)
    pool_state.set_worker(leaving, 4.0)
    plan = work.plan(pool_state, 4.0, build.WALL + 4)
    assert len(plan.stops) == 2 * stopped


# A gang that resumes shows progress before all its members have started. Taken
# for work, this cleared a step under which workers crash as it begins to work.
@pytest.mark.parametrize(
    ("resumed", "percents", "cleared"),
    [
        (False, [0.0, 0.0], False),
        (False, [0.0, 10.0], True),
        (True, [60.0, 60.0], False),
        (True, [60.0, 62.0], True),
    ],
)
def test_resumed_gang_is_cleared_of_crashes_only_once_it_works(
    resumed, percents, cleared
):
    pool_state = _start(2, resumed=resumed)
    tracked_step = _find_step(pool_state)
    tracked_step.progress.crashes[0] = [progresses.Crash(0, True)]
    _report(pool_state, [percents[0]] * 2, 1.0)
    _report(pool_state, percents, 3.0)
    assert tracked_step.progress.is_suspect is not cleared


# An owner may have died after it had started only a part of a gang. The others
# would wait for the missing members for ever.
@pytest.mark.parametrize(("reported", "stopped"), [(3, 0), (2, 2), (0, 0)])
def test_gang_that_an_earlier_owner_started_in_part(reported, stopped):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(3, gang=True))
    )
    rows = tuple(
        worker_port.ReportedRun(work.TaskKey("j", 0, 0, index), 7)
        for index in range(reported)
    )
    build.apply_report(pool_state, "w0", now=5.0, running=rows)
    work.check_gangs(pool_state, 5.0)
    assert len(pool_state.outbox) == stopped

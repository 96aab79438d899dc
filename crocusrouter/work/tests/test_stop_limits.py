"""Limits of the stops of running tasks for other jobs."""

import cbor2
import pytest

from crocusrouter import work
from crocusrouter.work import progress as progresses
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_LOW_TASK = work.TaskKey("low", 0, 0, 0)
_CLAIM = stop_limits.Claim("u", stop_limits.ClaimKind(0, False))


def _end_runs(pool_state, runs, outcome, now):
    for run in runs:
        build.apply_report(
            pool_state, run.worker_id, (run.key, outcome), now=now
        )


def _play_burst(pool_state, count):
    """Submit urgent jobs one after another; return the claims of each plan.

    Each takes half of the pool for a second, and what it has stopped starts
    again afterwards.
    """
    claims = []
    now = 0.0
    for number in range(count):
        now += 5.0
        urgent_step = build.make_step(1, gpu=8, expected_s=1.0)
        build.add_job(
            pool_state,
            build.make_job(f"u{number}", urgent_step, priority=0),
            now=now,
        )
        plan = build.apply_plan(pool_state, now)
        stopped_runs = [run for run, _ in plan.stops]
        claims.append([reason for _, reason in plan.stops])
        _end_runs(
            pool_state, stopped_runs, worker_port.RunOutcome.STOPPED, now + 0.4
        )
        build.apply_plan(pool_state, now + 0.4)
        urgent_runs = [
            run for key, run in pool_state.runs.items() if key.job[0] == "u"
        ]
        _end_runs(
            pool_state, urgent_runs, worker_port.RunOutcome.DONE, now + 1.4
        )
        build.apply_plan(pool_state, now + 1.4)
    return claims


def _make_low_job(**overrides):
    fields = {"gpu": 8, "expected_s": 1000.0, "checkpoints": True}
    return build.make_job(
        "low",
        build.make_step(overrides.pop("count", 1), **(fields | overrides)),
        priority=2,
    )


# Bursts of urgent jobs beyond every guarantee stopped the same tasks again and
# again; on a busy day a task was stopped eight times.
@pytest.mark.parametrize(
    ("count", "gang", "checkpoints"),
    [(1, False, True), (2, True, True), (2, False, True), (1, True, True)],
)
@pytest.mark.parametrize("guaranteed", [0, 8])
def test_bursts_stop_a_task_three_times_unless_guaranteed(
    count, gang, checkpoints, guaranteed
):
    workers = ("w0", "w1")[:count]
    pool_state = build.make_pool_state(
        _make_low_job(count=count, gang=gang, checkpoints=checkpoints),
        workers=workers,
        guaranteed={"a": guaranteed},
    )
    build.apply_plan(pool_state)
    claims = _play_burst(pool_state, 10)
    # Single tasks on two workers are stopped in turn.
    tasks_in_turn = 1 if gang else count
    plans_with_stops = sum(map(bool, claims))
    bound = 10 if guaranteed else 3 * tasks_in_turn
    assert plans_with_stops == bound
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    counts = [
        stop_limits.count_stops(run)
        for run in tracked_step.runs_by_index.values()
    ]
    assert sum(counts) == bound * (count if gang else 1)


def _make_contested_state(guaranteed=0, **overrides):
    """Return a full pool of one worker for which an urgent job waits."""
    pool_state = build.make_pool_state(
        _make_low_job(**overrides),
        workers=("w0",),
        guaranteed={"a": guaranteed},
    )
    build.apply_plan(pool_state)
    return pool_state


def _plan_for_urgent(pool_state, now, **options):
    # Its own work is long enough to stop any of the runs in these tests.
    urgent_step = build.make_step(1, gpu=8, expected_s=100.0)
    build.add_job(
        pool_state,
        build.make_job("urgent", urgent_step, priority=0),
        now=options.pop("since", now),
    )
    return work.plan(pool_state, now, build.WALL, **options)


# Without an exception for guarantees, a customer would not get the accelerators
# that it is owed while they run tasks that were stopped often.
@pytest.mark.parametrize(
    ("stops", "guaranteed", "stopped"),
    [(2, 0, True), (3, 0, False), (4, 0, False), (3, 8, True), (9, 8, True)],
)
def test_guaranteed_claim_stops_tasks_at_the_bound(stops, guaranteed, stopped):
    pool_state = _make_contested_state(guaranteed)
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.progress.stopped_runs[0] = set(range(100, 100 + stops))
    plan = _plan_for_urgent(pool_state, 5.0)
    assert bool(plan.stops) is stopped
    assert bool(plan.reservations) is stopped
    assert bool(plan.kept) is not stopped


# Two claims in one plan: the victims found for a guaranteed claim must not be
# offered to a later claim that is not guaranteed.
def test_claims_beyond_the_guarantee_are_bounded_in_the_same_plan():
    pool_state = build.make_pool_state(
        _make_low_job(count=2), guaranteed={"a": 8}
    )
    build.apply_plan(pool_state)
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.progress.stopped_runs = {
        0: {100, 101, 102},
        1: {103, 104, 105},
    }
    for customer in ("a", "b"):
        urgent_step = build.make_step(1, gpu=8, expected_s=100.0)
        build.add_job(
            pool_state,
            build.make_job(
                f"u-{customer}", urgent_step, priority=0, customer=customer
            ),
            now=5.0,
        )
    plan = work.plan(pool_state, 5.0, build.WALL)
    assert [str(reason) for _, reason in plan.stops] == [
        "its room is guaranteed to job u-a"
    ]


# Stops for a run's own sake must not use up the bound.
@pytest.mark.parametrize(
    ("reason", "counted"),
    [
        ("it makes no progress", 0),
        ("cancelled", 0),
        (
            stop_limits.Claim("u", stop_limits.ClaimKind(0, False)),
            1,
        ),
        (stop_limits.Claim("u", stop_limits.ClaimKind(0, True)), 1),
    ],
)
def test_stops_that_count(reason, counted):
    pool_state = _make_contested_state()
    run = pool_state.runs[_LOW_TASK]
    pool_state.stop_run(run, reason, 1.0)
    assert pool_state.dirty == set()  # the count causes no write of its own
    _end_runs(pool_state, [run], worker_port.RunOutcome.STOPPED, 1.4)
    build.apply_plan(pool_state, 1.4)
    next_run = pool_state.runs[_LOW_TASK]
    assert next_run is not run
    pool_state.events.clear()
    pool_state.stop_run(next_run, reason, 2.0)
    [(event, fields)] = pool_state.events
    assert (event, fields["why"]) == ("run:stop", str(reason))
    assert fields["stops"] == counted


# A run that fails before its stop is carried out was not stopped, so its task
# must keep its bound.
@pytest.mark.parametrize(
    ("outcome", "counted"),
    [
        (worker_port.RunOutcome.STOPPED, 1),
        (worker_port.RunOutcome.FAILED, 0),
    ],
)
def test_stop_that_came_too_late_is_not_counted(outcome, counted):
    pool_state = _make_contested_state()
    run = pool_state.runs[_LOW_TASK]
    pool_state.stop_run(run, _CLAIM, 1.0)
    _end_runs(pool_state, [run], outcome, 1.4)
    build.apply_plan(pool_state, 2.0)
    assert stop_limits.count_stops(pool_state.runs[_LOW_TASK]) == counted


# Each decision leaves the run out again; its line must not fill the log.
def test_kept_run_is_logged_once():
    pool_state = _make_contested_state()
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.progress.stopped_runs[0] = {100, 101, 102}
    for now in (5.0, 5.25):
        plan = _plan_for_urgent(pool_state, now)
        pool_state.events.clear()
        pool_state.note_kept(plan.kept)
        kept = [fields for what, fields in pool_state.events]
        assert kept == (
            [{"task": _LOW_TASK, "run": 1, "stops": 3}] if now == 5.0 else []
        )


def _succeed_owner(pool_state, record):
    """Return the state of the next owner, which has read a job's record."""
    successor = build.make_pool_state(workers=("w0",))
    successor.put_job(
        pool_state.jobs["low"].job, work.parse_progress(record), 2, 10.0
    )
    successor.open_due_occurrences(build.WALL, 10.0)
    return successor


def _count_first_task(pool_state):
    build.apply_plan(pool_state, 10.0)
    return stop_limits.count_stops(pool_state.runs[_LOW_TASK])


# The owner is killed after it has ordered a stop. The record was written before
# or after, and the worker has carried out the order or never got it. The count
# may be one too low, but never too high.
@pytest.mark.parametrize(
    ("is_recorded", "is_stopped", "expected"),
    [(False, True, 0), (True, True, 1), (False, False, 0), (True, False, 0)],
)
def test_stops_after_the_owner_was_killed(is_recorded, is_stopped, expected):
    pool_state = _make_contested_state()
    progress = pool_state.jobs["low"].progress
    record = work.dump_progress(progress)
    run = pool_state.runs[_LOW_TASK]
    pool_state.stop_run(run, _CLAIM, 5.0)
    if is_recorded:
        record = work.dump_progress(progress)
    successor = _succeed_owner(pool_state, record)
    if not is_stopped:
        reported_run = worker_port.ReportedRun(_LOW_TASK, run.number)
        build.apply_report(successor, "w0", running=(reported_run,), now=10.0)
    else:
        successor.last_run_number = run.number
    assert _count_first_task(successor) == expected


# A record of an earlier version has no column of stops, or none of crashes.
@pytest.mark.parametrize("column_count", [7, 6, 5])
def test_record_of_an_earlier_version_counts_no_stops(column_count):
    pool_state = _make_contested_state()
    progress = pool_state.jobs["low"].progress
    progress.get(0, 0).stopped_runs[0] = {100, 101}
    final, finished_at, rows = cbor2.loads(work.dump_progress(progress))
    old_rows = [row[:column_count] for row in rows]
    record = cbor2.dumps([final, finished_at, old_rows])
    assert _count_first_task(_succeed_owner(pool_state, record)) == 0


# Two writers may have counted the stops of a gang under different members.
def test_gang_has_the_highest_count_of_its_members():
    progress = progresses.StepProgress(
        stopped_runs={0: {100}, 1: {100, 101, 102}, 2: set()}
    )
    pool_state = build.make_pool_state(_make_low_job(count=2, gang=True))
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.progress = progress
    build.apply_plan(pool_state)
    for run in pool_state.runs.values():
        assert run.phase is tracking.Phase.RUNNING
        assert stop_limits.count_stops(run) == 3
    plan = _plan_for_urgent(pool_state, 5.0)
    assert plan.stops == []

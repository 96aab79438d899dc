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


# A run was stopped although it would have ended before the stop did. Its work
# was lost, and the urgent job started no earlier. A stop takes 0.4 s here.
@pytest.mark.parametrize(
    ("percent", "progressed_at", "now", "spared"),
    [
        (90, 9.0, 9.7, True),
        (90, 9.0, 10.1, True),
        (95, 9.0, 9.0, False),
        (80, 9.0, 9.5, False),
        (4, 0.02, 0.02, False),
        (100, 9.0, 9.1, True),
        (100, 9.0, 9.5, False),
        (90, 9.0, 10.5, False),
    ],
    ids=[
        "about-to-end",
        "end-is-due",
        "ends-after-a-stop",
        "far-from-its-end",
        "unmeasured",
        "end-is-being-reported",
        "end-is-not-reported",
        "overdue",
    ],
)
@pytest.mark.parametrize("guaranteed", [0, 8])
def test_run_about_to_end_is_waited_for(
    percent, progressed_at, now, spared, guaranteed
):
    pool_state = _make_contested_state(
        guaranteed, expected_s=5.0, checkpoints=False
    )
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = percent, progressed_at
    plan = _plan_for_urgent(pool_state, now)
    assert [stopped_run for stopped_run, _ in plan.stops] == (
        [] if spared else [run]
    )
    assert [placement.spots for placement in plan.reservations] == [{0: "w0"}]


# The rule can be switched off if it lowers the score of a deployment.
def test_run_about_to_end_is_stopped_if_the_rule_is_off():
    pool_state = _make_contested_state(8, checkpoints=False, expected_s=5.0)
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 90, 9.0
    policy = work.PlannerPolicy(waits_for_ends=False)
    plan = _plan_for_urgent(pool_state, 9.7, policy=policy)
    assert [stopped_run for stopped_run, _ in plan.stops] == [run]


# Declared times may be off by a factor of two, so a run that should be about to
# end by its declared time alone may go on for long.
def test_run_about_to_end_by_its_declared_time_alone_is_stopped():
    pool_state = _make_contested_state(8, expected_s=2.0, checkpoints=False)
    pool_state.stop_durations.expected_s = 0.9
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 4, 1.9
    assert len(_plan_for_urgent(pool_state, 1.9).stops) == 1


# The progress with which a task resumes says nothing about its rate, so its end
# would be expected far too early, and an urgent job would wait for it.
def test_resumed_run_is_not_taken_for_one_about_to_end():
    pool_state = _make_contested_state()
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.progress.checkpoints[0] = "saved"
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 95, 1.0
    assert len(_plan_for_urgent(pool_state, 1.0).stops) == 1


# An adopted run's first report includes progress made under the previous owner.
def test_adopted_run_is_not_taken_for_one_about_to_end():
    pool_state = _make_contested_state()
    run = pool_state.runs[_LOW_TASK]
    pool_state.drop_run(run)
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    tracked_step.waiting_indices.add(0)
    reported_run = worker_port.ReportedRun(_LOW_TASK, 1, "", 95.0)
    build.apply_report(pool_state, "w0", running=(reported_run,), now=5.0)
    assert len(_plan_for_urgent(pool_state, 5.0).stops) == 1


# A gang ends with its slowest member; the others hold their room until then.
@pytest.mark.parametrize(
    ("percents", "spared"),
    [((90, 90), True), ((100, 90), True), ((100, 50), False), ((90, 3), False)],
)
def test_gang_is_waited_for_until_its_slowest_member_ends(percents, spared):
    pool_state = build.make_pool_state(
        _make_low_job(count=2, gang=True, checkpoints=False, expected_s=10.0),
        guaranteed={"a": 8},
    )
    build.apply_plan(pool_state)
    for run, percent in zip(pool_state.runs.values(), percents, strict=True):
        run.percent, run.progressed_at = percent, 9.0
    plan = _plan_for_urgent(pool_state, 9.7)
    assert len(plan.stops) == (0 if spared else 2)


# A worker hangs just before the end of its run. Guaranteed work that waits for
# that end must begin in time, so the run is stopped once its end is overdue.
def test_reserved_run_that_does_not_end_is_stopped():
    pool_state = _make_contested_state(8, checkpoints=False, expected_s=5.0)
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 90, 9.0
    plan = _plan_for_urgent(pool_state, 9.7)
    reserved = [(plan.reservations[0].step, plan.reservations[0].spots)]
    for now, stopped in [(9.8, False), (10.2, False), (10.3, True)]:
        plan = work.plan(pool_state, now, build.WALL, reserved=reserved)
        assert bool(plan.stops) is stopped
        assert bool(plan.reservations) is stopped


# A worker becomes slow just before the end of its run: each report moves the
# expected end further. Guaranteed work must still begin within 2.7 s.
def test_run_whose_end_moves_is_stopped_in_time_for_guaranteed_work():
    pool_state = _make_contested_state(8, checkpoints=False, expected_s=5.0)
    pool_state.stop_durations.expected_s = 0.9
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 88, 6.0
    plan = _plan_for_urgent(pool_state, 6.0)
    reserved = [(plan.reservations[0].step, plan.reservations[0].spots)]
    assert plan.stops == []
    for now, percent, stopped in [
        (7.0, 90, False),
        (7.5, 90, False),
        (7.6, 91, True),
    ]:
        run.percent, run.progressed_at = percent, now
        plan = work.plan(pool_state, now, build.WALL, reserved=reserved)
        assert bool(plan.stops) is stopped


# Waiting for an end that was estimated too early costs one further stop, for
# which guaranteed work of 2.7 s may have no time left.
@pytest.mark.parametrize(
    ("waited_s", "stop_s", "spared"),
    [(0.0, 0.9, True), (1.5, 0.9, True), (1.6, 0.9, False), (2.0, 0.4, True)],
)
def test_guaranteed_claim_waits_only_while_a_stop_is_possible(
    waited_s, stop_s, spared
):
    pool_state = _make_contested_state(8, checkpoints=False, expected_s=5.0)
    pool_state.stop_durations.expected_s = stop_s
    run = pool_state.runs[_LOW_TASK]
    run.percent, run.progressed_at = 90, 9.0
    plan = _plan_for_urgent(pool_state, 9.7, since=9.7 - waited_s)
    assert bool(plan.stops) is not spared


# Tasks with checkpoints all lose equally little, so the order of the workers
# alone decided, and the first was stopped again and again.
@pytest.mark.parametrize(
    ("stops", "victim"),
    [((0, 0), 0), ((1, 0), 1), ((2, 1), 1), ((0, 2), 0)],
)
@pytest.mark.parametrize(("workers", "gpu"), [(("w0", "w1"), 8), (("w0",), 4)])
@pytest.mark.parametrize("one_rack", [False, True])
def test_task_with_fewest_stops_is_stopped_first(
    stops, victim, workers, gpu, one_rack
):
    pool_state = build.make_pool_state(
        _make_low_job(count=2, gpu=gpu),
        workers=workers,
        racks=("r0-0", "r0-1")[: len(workers)],
        guaranteed={"a": 8},
    )
    build.apply_plan(pool_state)
    tracked_step = pool_state.find_tracked_step(_LOW_TASK)
    for index, count in enumerate(stops):
        tracked_step.progress.stopped_runs[index] = set(range(90, 90 + count))
    urgent_step = build.make_step(1, gpu=gpu, one_rack=one_rack)
    build.add_job(
        pool_state, build.make_job("urgent", urgent_step, priority=0), now=5.0
    )
    plan = work.plan(pool_state, 5.0, build.WALL)
    assert [run.key.position for run, _ in plan.stops] == [victim]


# Stops for a run's own sake must not use up the bound.
@pytest.mark.parametrize(
    ("reason", "counted"),
    [
        ("it makes no progress", 0),
        ("cancelled", 0),
        (
            stop_limits.Claim("u", stop_limits.ClaimKind(0, False, True)),
            1,
        ),
        (stop_limits.Claim("u", stop_limits.ClaimKind(0, True, True)), 1),
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


_CLAIM = stop_limits.Claim("u", stop_limits.ClaimKind(0, False, True))


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

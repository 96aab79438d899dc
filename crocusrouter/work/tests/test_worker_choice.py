import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work import gang_progress
from crocusrouter.work import progress
from crocusrouter.work import relocation
from crocusrouter.work import speeds
from crocusrouter.work import waiting_steps
from crocusrouter.work import worker_choice
from crocusrouter.work.tests import build

_FAST_SPEED = 1.6
_SLOW_SPEED = 0.8


class _FixedSpeeds(speeds.WorkerSpeeds):
    """Groups that are given instead of estimated."""

    def __init__(self, fast=(), slow=(), slowed=()):
        self._speeds = dict.fromkeys(fast, _FAST_SPEED) | dict.fromkeys(
            slow, _SLOW_SPEED
        )
        self._groups = speeds.SpeedGroups()
        if fast:
            self._groups = speeds.SpeedGroups(
                frozenset(fast), frozenset(slow), _FAST_SPEED, _SLOW_SPEED
            )
        self._slowed = frozenset(slowed)

    def observe(self, run, tracked_step, members, now):
        pass

    def find_speed(self, worker_id):
        return self._speeds.get(worker_id)

    def is_slowed(self, worker_id, now):
        return worker_id in self._slowed

    def find_groups(self):
        return self._groups


def _make_pool_state(workers, racks=None, **groups):
    """Return a state of a pool whose workers f* are fast and s* are slow."""
    pool_state = build.make_pool_state(workers=workers, racks=racks)
    pool_state.speeds = _FixedSpeeds(
        **{
            "fast": [name for name in workers if name.startswith("f")],
            "slow": [name for name in workers if name.startswith("s")],
        }
        | groups
    )
    return pool_state


def _use(pool_state, **used_accelerators):
    """Let workers have fewer free accelerators."""
    for worker_id, count in used_accelerators.items():
        used = work.Room(0, 0, count)
        pool_state.workers[worker_id].used = used


def _plan_spots(pool_state, waited_s=0.0):
    plan = work.plan(pool_state, waited_s, build.WALL + waited_s)
    return [
        worker_id
        for placement in plan.placements
        for worker_id in placement.spots.values()
    ]


def _show(attempts):
    return [
        "{} {}{}".format(
            "stop" if attempt.stops else "free",
            attempt.group.value,
            " leaving rack" if attempt.leaves_rack else "",
        )
        for attempt in attempts
    ]


@pytest.mark.parametrize(
    ("is_split", "needs_fast", "needs_rack", "may_leave_rack", "expected"),
    [
        (False, True, True, False, ["free all", "stop all"]),
        (
            False,
            False,
            True,
            True,
            ["free all leaving rack", "stop all leaving rack"],
        ),
        (
            True,
            True,
            True,
            False,
            [
                "free fast",
                "free others",
                "free all",
                "stop fast",
                "stop others",
                "stop all",
            ],
        ),
        (
            True,
            False,
            True,
            False,
            [
                "free others",
                "free fast",
                "free all",
                "stop others",
                "stop fast",
                "stop all",
            ],
        ),
        (
            True,
            True,
            True,
            True,
            [
                "free fast",
                "free others",
                "free all",
                "free fast leaving rack",
                "free others leaving rack",
                "free all leaving rack",
                "stop fast",
                "stop others",
                "stop all",
                "stop fast leaving rack",
                "stop others leaving rack",
                "stop all leaving rack",
            ],
        ),
    ],
    ids=["alike", "alike-left-rack", "fast-first", "others-first", "left-rack"],
)
def test_order_of_attempts(
    is_split, needs_fast, needs_rack, may_leave_rack, expected
):
    attempts = worker_choice.order_attempts(
        is_split=is_split,
        has_slowed=False,
        needs_fast=needs_fast,
        needs_rack=needs_rack,
        may_leave_rack=may_leave_rack,
    )
    assert _show(attempts) == expected


def test_step_without_a_rack_searches_each_group_once():
    """Twice as many searches for victims would lengthen each decision."""
    attempts = worker_choice.order_attempts(
        is_split=True,
        has_slowed=False,
        needs_fast=True,
        needs_rack=False,
        may_leave_rack=True,
    )
    assert len(attempts) == 6


@pytest.mark.parametrize(
    ("fast", "worker_ids", "expected"),
    [
        ((), ["w0"], {}),
        (("f0", "f1"), ["f0", "f1", "f0"], {"speeds": "fast"}),
        (("f0",), ["s0", "new"], {"speeds": "other"}),
        (("f0",), ["s0", "f0"], {"speeds": "mixed"}),
    ],
)
def test_log_tells_the_group_of_a_start(fast, worker_ids, expected):
    groups = _FixedSpeeds(fast=fast).find_groups()
    assert worker_choice.describe_group(groups, worker_ids) == expected


# A gang across both groups runs at the slow speed and wastes the fast workers.
# An urgent gang on slow workers is late.
@pytest.mark.parametrize(
    ("priority", "workers", "used", "expected"),
    [
        (0, ("s0", "s1", "f0", "f1"), {}, {"f0", "f1"}),
        (1, ("f0", "f1", "s0", "s1"), {}, {"s0", "s1"}),
        # A worker without an estimate is one of the others.
        (1, ("f0", "f1", "s0", "new"), {}, {"s0", "new"}),
        # The preferred group is full.
        (0, ("f0", "f1", "s0", "s1"), {"f0": 1}, {"s0", "s1"}),
        (1, ("f0", "f1", "s0", "s1"), {"s0": 1}, {"f0", "f1"}),
        # Neither group is large enough.
        (0, ("f0", "s0"), {}, {"f0", "s0"}),
        (1, ("f0", "f1", "s0"), {"f1": 1}, {"f0", "s0"}),
    ],
)
def test_gang_starts_on_one_group_if_it_can(priority, workers, used, expected):
    pool_state = _make_pool_state(workers)
    _use(pool_state, **used)
    gang_step = build.make_step(2, gpu=8, gang=True)
    build.add_job(pool_state, build.make_job("j", gang_step, priority=priority))
    assert set(_plan_spots(pool_state)) == expected


# Small tasks on fast workers would take the room of urgent gangs.
@pytest.mark.parametrize(
    ("priority", "count", "used", "expected"),
    [
        (0, 2, {}, ["f0", "f0"]),
        (2, 2, {}, ["s0", "s0"]),
        # The tightest fit within the group.
        (2, 2, {"s1": 6}, ["s1", "s1"]),
        # The other group takes the rest.
        (2, 3, {"s0": 8, "s1": 6}, ["s1", "s1", "f0"]),
        (0, 3, {"f0": 6}, ["f0", "f0", "s0"]),
        (0, 1, {"f0": 8}, ["s0"]),
    ],
)
def test_single_tasks_fill_the_preferred_group_first(
    priority, count, used, expected
):
    pool_state = _make_pool_state(("s0", "f0", "s1"))
    _use(pool_state, **used)
    build.add_job(
        pool_state,
        build.make_job("j", build.make_step(count), priority=priority),
    )
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert [list(p.spots.values()) for p in plan.placements] == [expected]


# A job of 8 s takes 10 s on slow and 5 s on fast workers; its objective is 17 s
# after its acceptance.
@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [(6.9, "s0"), (7.1, "f0"), (11.9, "f0"), (12.1, "s0")],
    ids=["in-time-on-slow", "late-on-slow", "still-in-time", "late-anyway"],
)
def test_step_needs_fast_workers_if_it_would_be_late_on_slow_ones(
    waited_s, expected
):
    pool_state = _make_pool_state(("f0", "s0"))
    step = build.make_step(1, gpu=8, expected_s=8.0)
    build.add_job(pool_state, build.make_job("j", step, priority=1))
    assert _plan_spots(pool_state, waited_s) == [expected]


def test_lasting_step_needs_no_fast_workers():
    """Its declared time says nothing about an end; it runs until cancelled."""
    pool_state = _make_pool_state(("f0", "s0"))
    step = build.make_step(1, gpu=8, expected_s=8.0, lasting=True)
    build.add_job(pool_state, build.make_job("j", step, priority=1))
    assert _plan_spots(pool_state, 7.1) == ["s0"]


# Outside its rack a gang or a task takes three times as long, which is worse
# than a slow worker.
@pytest.mark.parametrize(
    ("overrides", "used", "waited_s", "expected"),
    [
        # A rack within the fast group.
        ({"one_rack": True}, {}, 0.0, {"f0", "f1"}),
        # The fast workers with room are in two racks, the slow ones in one.
        ({"one_rack": True}, {"f0": 8}, 0.0, {"s0", "s1"}),
        # One rack with workers of both groups.
        ({"one_rack": True}, {"f0": 8, "s0": 8}, 0.0, {"f2", "s1"}),
        # No rack has room; after the patience the group counts again.
        ({"one_rack": True}, {"f1": 8, "s0": 8, "s1": 8}, 0.0, set()),
        ({"one_rack": True}, {"f1": 8, "s0": 8, "s1": 8}, 30.0, {"f0", "f2"}),
        # The data are in a rack whose fast workers are too few.
        ({"rack": "r0-1"}, {}, 0.0, {"s0", "s1"}),
        ({"rack": "r0-1"}, {"s0": 8}, 0.0, {"f2", "s1"}),
    ],
)
def test_gang_tries_racks_within_a_group_first(
    overrides, used, waited_s, expected
):
    pool_state = _make_pool_state(
        ("f0", "f1", "f2", "s0", "s1"),
        racks=("r0-0", "r0-0", "r0-1", "r0-1", "r0-1"),
    )
    _use(pool_state, **used)
    gang_step = build.make_step(2, gpu=8, gang=True, **overrides)
    build.add_job(pool_state, build.make_job("j", gang_step, priority=0))
    assert set(_plan_spots(pool_state, waited_s)) == expected


@pytest.mark.parametrize(
    ("used", "waited_s", "expected"),
    [
        ({}, 0.0, ["f1"]),
        ({"f1": 8}, 0.0, ["s1"]),
        ({"f1": 8, "s1": 8}, 0.0, []),
        ({"f1": 8, "s1": 8}, 30.0, ["f0"]),
    ],
)
def test_single_task_stays_near_its_data_in_both_groups(
    used, waited_s, expected
):
    pool_state = _make_pool_state(
        ("f0", "s0", "f1", "s1"), racks=("r0-0", "r0-0", "r0-1", "r0-1")
    )
    _use(pool_state, **used)
    step = build.make_step(1, gpu=8, rack="r0-1")
    build.add_job(pool_state, build.make_job("j", step, priority=0))
    assert _plan_spots(pool_state, waited_s) == expected


def _start_low_priority(pool_state, ran_s):
    """Fill each worker with a run that has run for some seconds.

    Args:
        pool_state: State of the pool.
        ran_s: Seconds by worker; other workers get no run.
    """
    for worker_id, seconds in ran_s.items():
        job_id = f"on-{worker_id}"
        step = build.make_step(1, gpu=8)
        build.add_job(pool_state, build.make_job(job_id, step, priority=2))
        key = work.TaskKey(job_id, 0, 0, 0)
        run = pool_state.add_run(key, 1, worker_id, 0.0)
        pool_state.note_started(key, 1, 100.0 - seconds)
        run.progressed_at = 100.0


# Stopping runs on slow workers for an urgent gang costs their work and makes
# the gang late all the same.
@pytest.mark.parametrize(
    ("priority", "ran_s", "guaranteed", "stopped"),
    [
        # The runs on the fast workers lose more, yet within the bound of 10 s.
        (0, {"f0": 4, "f1": 4, "s0": 1, "s1": 1}, 0, {"f0", "f1"}),
        # Beyond the bound on the fast workers.
        (0, {"f0": 50, "f1": 50, "s0": 1, "s1": 1}, 0, {"s0", "s1"}),
        # Guaranteed work has no bound.
        (0, {"f0": 50, "f1": 50, "s0": 1, "s1": 1}, 16, {"f0", "f1"}),
        # Beyond the bound in each group, not in both together.
        (0, {"f0": 50, "f1": 1, "s0": 50, "s1": 1}, 0, {"f1", "s1"}),
        (0, {"f0": 50, "f1": 50, "s0": 50, "s1": 50}, 0, set()),
        # Other work may stop nothing that loses work.
        (1, {"f0": 4, "f1": 4, "s0": 1, "s1": 1}, 0, set()),
    ],
)
def test_victims_are_searched_group_by_group(
    priority, ran_s, guaranteed, stopped
):
    pool_state = _make_pool_state(("s0", "s1", "f0", "f1"))
    pool_state.guaranteed = {"a": guaranteed}
    _start_low_priority(pool_state, ran_s)
    gang_step = build.make_step(2, gpu=8, gang=True)
    build.add_job(
        pool_state,
        build.make_job("j", gang_step, priority=priority),
        now=100.0,
    )
    plan = work.plan(pool_state, 100.0, build.WALL)
    assert {run.worker_id for run, _ in plan.stops} == stopped
    assert {
        worker_id
        for placement in plan.reservations
        for worker_id in placement.spots.values()
    } == stopped


def test_free_workers_of_any_group_go_before_victims():
    """An urgent gang must not wait for stops while it could start at once."""
    pool_state = _make_pool_state(("s0", "s1", "f0", "f1"))
    _start_low_priority(pool_state, {"f0": 1, "f1": 1})
    gang_step = build.make_step(2, gpu=8, gang=True)
    build.add_job(
        pool_state, build.make_job("j", gang_step, priority=0), now=100.0
    )
    plan = work.plan(pool_state, 100.0, build.WALL)
    assert plan.stops == []
    assert set(plan.placements[0].spots.values()) == {"s0", "s1"}


def test_slowed_workers_are_tried_last():
    attempts = worker_choice.order_attempts(
        is_split=True,
        has_slowed=True,
        needs_fast=True,
        needs_rack=False,
        may_leave_rack=True,
    )
    assert [attempt.uses_slowed for attempt in attempts] == 6 * [False] + [
        True,
        True,
    ]
    assert _show(attempts[6:]) == [
        "free all leaving rack",
        "stop all leaving rack",
    ]


@pytest.mark.parametrize(
    ("slowed", "used", "avoided", "expected"),
    [
        # A gang across both groups, or on the other group, is better than one
        # with a slowed worker.
        ({"s0"}, {"f0": 8}, set(), {"f1", "s1"}),
        ({"f0", "f1"}, {}, set(), {"s0", "s1"}),
        # The other workers are too few or full.
        ({"f0"}, {"s0": 8, "s1": 8}, set(), {"f0", "f1"}),
        ({"f0", "s0", "s1"}, {"f0": 8}, set(), {"f1", "s0"}),
        ({"f0", "f1", "s0", "s1"}, {}, set(), {"f0", "f1"}),
        # A slowed worker is better than one on which the step has failed.
        ({"f0", "s0", "s1"}, {}, {"f1"}, {"f0", "s0"}),
    ],
    ids=["one", "group", "full", "too-few", "all", "avoided"],
)
@pytest.mark.parametrize("gang", [False, True])
def test_slowed_worker_gets_only_what_no_other_has_room_for(
    slowed, used, avoided, expected, gang
):
    pool_state = _make_pool_state(("f0", "f1", "s0", "s1"), slowed=slowed)
    _use(pool_state, **used)
    step = build.make_step(2, gpu=8, gang=gang)
    build.add_job(pool_state, build.make_job("j", step, priority=0))
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 0, 0))
    tracked_step.avoided_workers |= avoided
    assert set(_plan_spots(pool_state)) == expected


def test_runs_are_stopped_before_a_slowed_worker_is_used():
    """An urgent task on a slowed worker would be late."""
    pool_state = _make_pool_state(("f0", "s0"), slowed={"f0"})
    _start_low_priority(pool_state, {"s0": 1})
    step = build.make_step(1, gpu=8)
    build.add_job(pool_state, build.make_job("j", step, priority=0), now=100.0)
    plan = work.plan(pool_state, 100.0, build.WALL)
    assert [run.worker_id for run, _ in plan.stops] == ["s0"]


def test_guaranteed_work_may_stop_runs_on_slowed_workers():
    """It must have begun 2.7 s after its acceptance, wherever that is."""
    pool_state = _make_pool_state(("f0", "s0"), slowed={"f0", "s0"})
    pool_state.guaranteed = {"a": 8}
    _start_low_priority(pool_state, {"f0": 1, "s0": 50})
    step = build.make_step(1, gpu=8)
    build.add_job(pool_state, build.make_job("j", step, priority=0), now=100.0)
    plan = work.plan(pool_state, 100.0, build.WALL)
    assert [run.worker_id for run, _ in plan.stops] == ["f0"]


@pytest.mark.parametrize(
    ("gang", "used", "expected"),
    [
        (False, {}, {"f0"}),
        (False, {"f0": 8}, {"s0"}),
        # The worker that is not slowed has room for one member only.
        (True, {}, {"f0", "s0"}),
    ],
)
def test_suspected_step_is_tried_on_slowed_workers_if_others_lack_room(
    gang, used, expected
):
    pool_state = _make_pool_state(("f0", "s0"), slowed={"s0"})
    _use(pool_state, **used)
    step = build.make_step(2 if gang else 1, gpu=8, gang=gang)
    build.add_job(pool_state, build.make_job("j", step))
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 0, 0))
    tracked_step.progress.crashes[0] = [progress.Crash(1, early=True)]
    plan = work.plan(pool_state, 100.0, build.WALL)
    assert set(plan.placements[0].spots.values()) == expected
    assert plan.placements[0].is_trial


def test_room_on_slowed_workers_is_found_after_a_search_without_them():
    """A search that finds no room is not repeated for the same room.

    It must be repeated with the slowed workers.
    """
    pool_state = _make_pool_state(("f0", "s0", "s1"), slowed={"s1"})
    _use(pool_state, f0=8, s0=8)
    for job_id in ("j0", "j1"):
        job = build.make_job(job_id, build.make_step(1, gpu=4))
        build.add_job(pool_state, job)
    assert _plan_spots(pool_state) == ["s1", "s1"]


# Estimates may be wrong, and groups may name incarnations that are gone.
@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(
    ("groups", "used", "expected"),
    [
        # All workers of the slow group are full.
        ({}, {"s0": 8, "s1": 8}, {"f0", "f1"}),
        # All workers of the fast group are full.
        ({}, {"f0": 8, "f1": 8}, {"s0", "s1"}),
        # The fast workers are gone.
        ({"fast": ["old"]}, {"f0": 8, "f1": 8}, {"s0", "s1"}),
        # All named workers are gone.
        ({"fast": ["x"], "slow": ["y"]}, {"f0": 8, "f1": 8}, {"s0", "s1"}),
        # Every worker counts as fast.
        (
            {"fast": ["f0", "f1", "s0", "s1"], "slow": []},
            {"f0": 8, "f1": 8},
            {"s0", "s1"},
        ),
        # Every worker counts as slowed.
        (
            {"slowed": ["f0", "f1", "s0", "s1"]},
            {"f0": 8, "f1": 8},
            {"s0", "s1"},
        ),
        # Room is left on one worker of each group.
        ({}, {"f0": 8, "s0": 8}, {"f1", "s1"}),
    ],
    ids=[
        "slow-full",
        "fast-full",
        "fast-gone",
        "all-gone",
        "all-fast",
        "all-slowed",
        "both",
    ],
)
def test_wrong_speeds_block_no_work(groups, used, expected, gang, priority):
    pool_state = _make_pool_state(("f0", "f1", "s0", "s1"), **groups)
    _use(pool_state, **used)
    step = build.make_step(2, gpu=8, gang=gang)
    build.add_job(pool_state, build.make_job("j", step, priority=priority))
    assert set(_plan_spots(pool_state)) == expected


# Workers without two groups are placed on as if no speed were known.
@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("one_rack", [False, True])
def test_plans_do_not_change_without_groups(priority, gang, one_rack):
    def make_plan(pool_speeds):
        pool_state = build.make_pool_state(
            workers=("w0", "w1", "w2"), racks=("r0-0", "r0-1", "r0-1")
        )
        pool_state.speeds = pool_speeds
        _start_low_priority(pool_state, {"w0": 1, "w1": 2})
        for job_id, count in (("j0", 2), ("j1", 1)):
            step = build.make_step(count, gpu=4, gang=gang, one_rack=one_rack)
            build.add_job(
                pool_state,
                build.make_job(job_id, step, priority=priority),
                now=100.0,
            )
        plan = work.plan(pool_state, 100.0, build.WALL)
        return (
            plan.placements,
            plan.reservations,
            [(run.key, reason) for run, reason in plan.stops],
        )

    unknown = make_plan(speeds.WorkerSpeeds())
    known = make_plan(_FixedSpeeds(slow=["w1", "w2"], slowed=["w2"]))
    assert known == unknown


# The objective of a step of 8 s with a slack of 2 is 17 s after its acceptance.
@pytest.mark.parametrize(
    ("workers", "label", "latest_start_s"),
    [
        (("w0",), "", 9.0),
        (("f0", "s0"), "", 12.0),
        (("f0", "s0"), "b", 7.0),
    ],
    ids=["alike", "fast", "label-of-no-fast-worker"],
)
def test_latest_start_counts_with_the_fastest_group_of_a_step(
    workers, label, latest_start_s
):
    """A step that can be in time on fast workers must not count as late."""
    pool_state = _make_pool_state(workers)
    step = build.make_step(1, expected_s=8.0, label=label)
    build.add_job(pool_state, build.make_job("j", step))

    def find_step(waited_s):
        (waiting_step,) = waiting_steps.list_waiting_steps(
            pool_state, waited_s, build.WALL + waited_s
        )
        return waiting_step

    assert find_step(0.0).latest_start == pytest.approx(
        build.WALL + latest_start_s
    )
    assert not find_step(latest_start_s - 0.1).late
    assert find_step(latest_start_s + 0.1).late


# A run of a step of 8 s is expected to take 5 s on a fast and 10 s on a slow
# worker, until it has shown 5%.
@pytest.mark.parametrize(
    ("worker_id", "fast", "percent", "remaining_s"),
    [
        ("f0", ["f0"], 0.0, 4.0),
        ("s0", ["f0"], 0.0, 9.0),
        ("new", ["f0"], 0.0, 7.0),
        ("s0", [], 0.0, 7.0),
        ("f0", ["f0"], 5.0, 19.0),
    ],
    ids=["fast", "slow", "no-estimate", "no-groups", "measured"],
)
def test_remaining_time_counts_with_the_speed_of_the_worker(
    worker_id, fast, percent, remaining_s
):
    pool_state = _make_pool_state(("f0", "s0", "new"), fast=fast)
    step = build.make_step(1, expected_s=8.0)
    build.add_job(pool_state, build.make_job("j", step))
    key = work.TaskKey("j", 0, 0, 0)
    run = pool_state.add_run(key, 1, worker_id, 0.0)
    pool_state.note_started(key, 1, 0.0)
    run.percent = percent
    found_s = gang_progress.estimate_remaining_s(run, run.tracked_step, 1.0)
    assert found_s == pytest.approx(remaining_s)


@pytest.mark.parametrize(
    ("worker_id", "stays_s", "moved"),
    [("f0", 6.0, False), ("f0", 4.0, True), ("s0", 6.0, True)],
)
def test_run_that_ends_in_time_on_a_fast_worker_is_not_moved(
    worker_id, stays_s, moved
):
    pool_state = _make_pool_state(("f0", "s0"))
    step = build.make_step(1, expected_s=8.0)
    build.add_job(pool_state, build.make_job("j", step))
    key = work.TaskKey("j", 0, 0, 0)
    pool_state.add_run(key, 1, worker_id, 0.0)
    pool_state.note_started(key, 1, 0.0)
    entry = pool_state.workers[worker_id].entry
    leaving = dataclasses.replace(entry, draining=True, stays_s=stays_s)
    pool_state.set_worker(leaving, 0.0)
    relocations = relocation.list_relocations(pool_state, [], 0.0, build.WALL)
    assert bool(relocations) is moved

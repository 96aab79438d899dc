import pytest

from crocusrouter import work
from crocusrouter.work import tracking
from crocusrouter.work.tests import build


def _find_workers(plan, job):
    return [
        set(placement.spots.values())
        for placement in plan.placements
        if placement.step.job == job
    ]


@pytest.mark.parametrize(
    ("gpus", "free", "chosen_worker"),
    [
        (1, {"w0": 8, "w1": 2}, "w1"),
        (2, {"w0": 8, "w1": 2}, "w1"),
        (4, {"w0": 8, "w1": 2}, "w0"),
    ],
)
def test_small_tasks_leave_whole_workers_free(gpus, free, chosen_worker):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1, gpu=gpus))
    )
    for worker_id, count in free.items():
        used = pool_state.workers[worker_id].used
        pool_state.workers[worker_id].used = used._replace(
            accelerators=8 - count
        )
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert _find_workers(plan, "j") == [{chosen_worker}]


def test_gang_is_placed_whole_or_not_at_all():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(3, gpu=8, gang=True))
    )
    assert work.plan(pool_state, 0.0, build.WALL).placements == []


@pytest.mark.parametrize(("waited", "placed"), [(6.0, False), (11.0, True)])
def test_gang_waits_for_one_rack_for_a_while(waited, placed):
    """A gang across racks takes three times as long as one in a rack."""
    step = build.make_step(2, gpu=8, gang=True, one_rack=True)
    pool_state = build.make_pool_state(
        build.make_job("j", step), racks=("r0-0", "r0-1")
    )
    plan = work.plan(pool_state, waited, build.WALL + waited)
    assert bool(plan.placements) is placed


@pytest.mark.parametrize(
    ("overrides", "expected"),
    [
        ({"label": "b"}, set()),
        ({"label": "a"}, {"w0", "w1"}),
        ({"per_worker": 1}, {"w0", "w1"}),
        ({"rack": "r0-1"}, {"w1"}),
    ],
)
def test_workers_that_tasks_may_use(overrides, expected):
    step = build.make_step(2, gpu=5, **overrides)
    pool_state = build.make_pool_state(
        build.make_job("j", step), racks=("r0-0", "r0-1")
    )
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert set().union(*_find_workers(plan, "j")) == expected


def test_tasks_wait_for_the_steps_before():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2), build.make_step(1, after=(0,)))
    )
    plan = build.apply_plan(pool_state)
    assert [p.step.step for p in plan.placements] == [0]


@pytest.mark.parametrize(
    ("guaranteed", "ran_s", "stopped"),
    [
        (8, 100.0, True),
        (4, 100.0, False),
        (4, 1.0, True),
    ],
)
def test_first_priority_stops_runs_that_use_its_room(
    guaranteed, ran_s, stopped
):
    """A customer must get its guaranteed accelerators while others use all.

    Runs of lower priority are stopped, and the room is reserved until they have
    ended. Beyond the guarantee, only runs that lose little work are stopped.
    """
    pool_state = build.make_pool_state(
        build.make_job("low", build.make_step(16, gpu=1), priority=2),
        guaranteed={"a": guaranteed},
    )
    build.apply_plan(pool_state)
    for run in pool_state.runs.values():
        run.progressed_at = ran_s
    build.add_job(
        pool_state,
        build.make_job("high", build.make_step(1, gpu=8), priority=0),
    )
    plan = work.plan(pool_state, ran_s, build.WALL)
    assert bool(plan.stops) is stopped
    assert bool(plan.reservations) is stopped


def test_victims_are_the_runs_that_lose_least():
    pool_state = build.make_pool_state(
        build.make_job("old", build.make_step(1, gpu=8), priority=2),
        build.make_job("new", build.make_step(1, gpu=8), priority=2),
        guaranteed={"a": 8},
    )
    build.apply_plan(pool_state)
    old_run = pool_state.runs[work.TaskKey("old", 0, 0, 0)]
    new_run = pool_state.runs[work.TaskKey("new", 0, 0, 0)]
    old_run.confirmed_at, new_run.confirmed_at = 0.0, 50.0
    old_run.progressed_at = new_run.progressed_at = 60.0
    build.add_job(
        pool_state,
        build.make_job("high", build.make_step(1, gpu=8), priority=0),
    )
    plan = work.plan(pool_state, 60.0, build.WALL)
    assert [run for run, _ in plan.stops] == [new_run]


def test_gang_is_stopped_whole():
    pool_state = build.make_pool_state(
        build.make_job("g", build.make_step(2, gpu=8, gang=True), priority=2),
        guaranteed={"a": 8},
    )
    build.apply_plan(pool_state)
    build.add_job(
        pool_state,
        build.make_job("high", build.make_step(1, gpu=8), priority=0),
    )
    plan = work.plan(pool_state, 1.0, build.WALL)
    assert len(plan.stops) == 2


def test_large_task_is_not_starved_by_small_tasks():
    """A task that needs a whole worker must not wait for ever.

    Single accelerators that become free would go to smaller tasks behind it
    again and again. The worker that will have room first is held for it.
    """
    pool_state = build.make_pool_state(
        build.make_job("s", build.make_step(1, gpu=1), priority=2),
        workers=("w0",),
    )
    build.apply_plan(pool_state)
    build.add_job(pool_state, build.make_job("big", build.make_step(1, gpu=8)))
    build.add_job(
        pool_state, build.make_job("t", build.make_step(1), priority=2)
    )
    assert work.plan(pool_state, 1.0, build.WALL).placements == []


@pytest.mark.parametrize(
    ("blocks", "expected"),
    [
        (None, {"new"}),
        (frozenset({"old"}), {"new", "other"}),
        (frozenset(), {"new", "old", "other"}),
    ],
)
def test_jobs_that_may_start_before_every_worker_has_reported(blocks, expected):
    """A task must not start twice after a takeover.

    The previous owner may have started it on a worker that cannot be reached
    yet. Until that worker has reported, only jobs start that the previous owner
    cannot have known, or did not list as running there.
    """
    pool_state = build.make_pool_state()
    pool_state.epoch = 50
    build.add_job(
        pool_state, build.make_job("old", build.make_step()), created=40
    )
    build.add_job(
        pool_state, build.make_job("other", build.make_step()), created=41
    )
    build.add_job(
        pool_state, build.make_job("new", build.make_step()), created=60
    )
    pool_state.set_worker(build.make_entry("gone"), 0.0)
    pool_state.workers["gone"].possible_jobs = blocks
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert {placement.step.job for placement in plan.placements} == expected


def test_draining_and_silent_workers_get_nothing():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(4, gpu=4))
    )
    pool_state.set_worker(build.make_entry("w0", draining=True), 0.0)
    pool_state.note_silent("w1", 0.0)
    assert work.plan(pool_state, 0.0, build.WALL).placements == []


def test_stopping_run_keeps_its_room():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1, gpu=8)), workers=("w0",)
    )
    build.apply_plan(pool_state)
    run = pool_state.runs[work.TaskKey("j", 0, 0, 0)]
    pool_state.stop_run(run, "test", 1.0)
    build.add_job(pool_state, build.make_job("k", build.make_step(1, gpu=8)))
    assert run.phase is tracking.Phase.STOPPING
    assert work.plan(pool_state, 1.0, build.WALL).placements == []


@pytest.mark.parametrize(("waited", "reclaimed"), [(0.0, False), (2.0, True)])
def test_guaranteed_gang_stops_runs_in_one_rack_first(waited, reclaimed):
    """Runs must not be stopped across racks at once for a guaranteed gang.

    Such a gang takes three times as long, holds its room as long, and ends
    late. It may use several racks only after it has waited for one for as long
    as allowed.
    """
    low_job = build.make_job("low", build.make_step(2, gpu=8), priority=2)
    gang_step = build.make_step(2, gpu=8, gang=True, one_rack=True)
    pool_state = build.make_pool_state(
        low_job, racks=("r0-0", "r0-1"), guaranteed={"a": 16}
    )
    build.apply_plan(pool_state)
    build.add_job(pool_state, build.make_job("high", gang_step, priority=0))
    plan = work.plan(pool_state, waited, build.WALL + waited)
    assert bool(plan.reservations) is reclaimed


def test_late_step_goes_behind_steps_that_can_still_be_in_time():
    """A burst must not make all of its jobs late.

    If each job started just after its latest start, all would end late. Steps
    whose objective is past therefore go last.
    """
    pool_state = build.make_pool_state(workers=("w0",))
    build.add_job(
        pool_state,
        build.make_job(
            "late", build.make_step(1, gpu=8), accepted_at=build.WALL - 8
        ),
    )
    build.add_job(
        pool_state, build.make_job("early", build.make_step(1, gpu=8))
    )
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert [p.step.job for p in plan.placements] == ["early"]


# A gang of the second priority must not wait behind many small tasks of the
# third priority that would lose nothing by a stop.
@pytest.mark.parametrize(
    ("priority", "checkpoints", "stopped"),
    [
        (0, False, True),
        (1, True, True),
        (1, False, False),
        (2, True, False),
    ],
)
def test_runs_that_make_room_for_each_priority(priority, checkpoints, stopped):
    small_step = build.make_step(16, gpu=1, checkpoints=checkpoints)
    pool_state = build.make_pool_state(
        build.make_job("small", small_step, priority=3)
    )
    build.apply_plan(pool_state)
    gang_step = build.make_step(2, gpu=8, gang=True)
    build.add_job(
        pool_state,
        build.make_job("gang", gang_step, priority=priority),
        now=1.0,
    )
    plan = work.plan(pool_state, 1.0, build.WALL + 1.0)
    assert bool(plan.stops) is stopped


# Two urgent steps in one decision must not stop two runs if the room of one is
# enough for both.
def test_room_that_one_step_frees_serves_the_next_step_too():
    large = build.make_step(1, gpu=8)
    pool_state = build.make_pool_state(
        build.make_job("l0", large, priority=2),
        build.make_job("l1", large, priority=2),
    )
    build.apply_plan(pool_state)
    for number in range(2):
        urgent_step = build.make_step(1, gpu=4)
        build.add_job(
            pool_state, build.make_job(f"c{number}", urgent_step, priority=0)
        )
    plan = work.plan(pool_state, 1.0, build.WALL + 1.0)
    assert len(plan.stops) == 1
    assert len(plan.reservations) == 2


@pytest.mark.parametrize(
    ("priority", "lasting", "after_s", "placed"),
    [
        (0, False, 0.5, True),
        (1, False, 0.5, False),
        (2, False, 0.5, False),
        (2, True, 0.5, True),
        (1, False, 2.5, True),
        (1, False, None, True),
    ],
)
def test_room_is_left_to_urgent_work_after_it_had_to_stop_others(
    priority, lasting, after_s, placed
):
    """Runs must not be stopped repeatedly for a series of urgent gangs.

    In a full pool, runs that were stopped for one gang started again in the
    next free room. They were stopped again within a second for the next gang,
    which had to wait for that stop.
    """
    step = build.make_step(1, lasting=lasting)
    pool_state = build.make_pool_state(
        build.make_job("j", step, priority=priority)
    )
    now = 10.0
    if after_s is not None:
        pool_state.note_contention(now - after_s)
    plan = work.plan(pool_state, now, build.WALL)
    assert bool(plan.placements) is placed


@pytest.mark.parametrize(("priority", "contended"), [(0, True), (1, False)])
def test_plan_reports_that_the_first_priority_stops_others(priority, contended):
    pool_state = build.make_pool_state(
        build.make_job("low", build.make_step(2, checkpoints=True), priority=2)
    )
    build.apply_plan(pool_state)
    for worker in pool_state.workers.values():
        worker.used = work.Room(0, 0, 8)
    high_step = build.make_step(1, gpu=1, expected_s=50.0)
    build.add_job(
        pool_state, build.make_job("high", high_step, priority=priority)
    )
    plan = work.plan(pool_state, 1.0, build.WALL + 1.0)
    assert len(plan.stops) == 1
    assert plan.contended is contended


@pytest.mark.parametrize(
    ("step", "avoided", "chosen_workers"),
    [
        (build.make_step(2, gpu=8, gang=True), {"w0"}, {"w1", "w2"}),
        (
            build.make_step(4, gpu=8, gang=True),
            {"w0"},
            {"w0", "w1", "w2", "w3"},
        ),
        (
            build.make_step(3, gpu=8, gang=True),
            {"w0", "w1"},
            {"w0", "w1", "w2"},
        ),
        (build.make_step(1, gpu=8), {"w0", "w1", "w2"}, {"w3"}),
        (build.make_step(1, gpu=9), {"w3"}, {"w3"}),
        (
            build.make_step(2, gpu=1, gang=True, per_worker=1),
            {"w0", "w1", "w3"},
            {"w0", "w1"},
        ),
    ],
    ids=["rest", "whole-gang", "too-few", "task", "only-large-one", "one-each"],
)
def test_step_is_placed_although_it_has_failed_on_workers(
    step, avoided, chosen_workers
):
    """A job must not wait for ever if the other workers can't hold it.

    A gang of four had failed on two of five workers. The other three were free,
    and it was never started again.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=("w0", "w1", "w2")
    )
    large_worker = build.make_entry("w3", gpu=9, rack="r0-1")
    pool_state.set_worker(large_worker, 0.0)
    build.mark_usable(pool_state.workers["w3"])
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 0, 0))
    tracked_step.avoided_workers |= avoided
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert _find_workers(plan, "j") == [chosen_workers]


def test_gang_waits_for_workers_on_which_it_has_not_failed():
    """A gang would fail again on a bad worker while the others are full."""
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2, gpu=8, gang=True)),
        workers=("w0", "w1", "w2"),
    )
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 0, 0))
    tracked_step.avoided_workers.add("w0")
    full_worker = pool_state.workers["w2"]
    full_worker.used = full_worker.used._replace(accelerators=8)
    assert work.plan(pool_state, 0.0, build.WALL).placements == []


def test_step_that_waits_for_a_rack_holds_workers_of_one_rack():
    """It held idle workers of several racks, none of which was of use to it."""
    workers = ("w0", "w1", "w2", "w3", "w4", "w5")
    gang = build.make_step(2, gpu=8, gang=True, one_rack=True, expected_s=50.0)
    pool_state = build.make_pool_state(
        build.make_job("g", gang, priority=0),
        *(
            build.make_job(f"j{number}", build.make_step(1, gpu=8), priority=2)
            for number in range(3)
        ),
        workers=workers,
        racks=("r0-0", "r0-0", "r0-1", "r0-1", "r0-2", "r0-2"),
    )
    for worker_id in ("w0", "w2", "w4"):
        worker = pool_state.workers[worker_id]
        worker.used = worker.entry.room
    plan = work.plan(pool_state, 0.0, build.WALL)
    started = [placement.step.job for placement in plan.placements]
    assert started == ["j0", "j1"]

"""Tests for data centres that operators have closed to new work."""

import pytest

from crocusrouter import work
from crocusrouter.work import closures
from crocusrouter.work import progress
from crocusrouter.work import racks
from crocusrouter.work import tracking
from crocusrouter.work.tests import build

_RACKS = ("r0-0", "r0-0", "r0-1", "r0-1")
_WORKERS = ("w0", "w1", "w2", "w3")
# The data centre of the workers of each rack.
_LIEGE = frozenset({"liege"})


def _make_pool_state(*jobs, closed=_LIEGE, **options):
    """Return a pool with two workers in each of liege and namur."""
    pool_state = build.make_pool_state(
        *jobs, workers=_WORKERS, racks=_RACKS, **options
    )
    for name in ("w2", "w3"):
        entry = build.make_entry(name, "r0-1", data_centre="namur")
        pool_state.set_worker(entry, 0.0)
    work.set_closed_data_centres(pool_state, closed)
    return pool_state


def _find_workers(plan):
    placements = [*plan.placements, *plan.reservations]
    return {
        worker
        for placement in placements
        for worker in placement.spots.values()
    }


# Guards against starts in a closed data centre by any way of placing a step.
@pytest.mark.parametrize(
    ("step", "priority"),
    [
        (build.make_step(4, gpu=4), 1),
        (build.make_step(2, gpu=8, gang=True), 1),
        (build.make_step(2, gpu=8, gang=True, one_rack=True), 1),
        (build.make_step(2, gpu=8, rack="r0-0"), 1),
        (build.make_step(2, gpu=8, gang=True, rack="r0-0"), 1),
        (build.make_step(2, gpu=8), 0),
    ],
)
def test_steps_are_placed_in_open_data_centres(step, priority):
    job = build.make_job("j", step, priority=priority)
    pool_state = _make_pool_state(job)
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert _find_workers(plan) == {"w2", "w3"}


def test_suspected_step_has_no_trial_in_a_closed_data_centre():
    job = build.make_job("j", build.make_step(1))
    pool_state = _make_pool_state(job)
    step = pool_state.find_tracked_step(work.StepKey("j", 0, 0))
    step.progress.crashes[0] = [progress.Crash(1, early=True)]
    plan = work.plan(pool_state, 0.0, build.WALL)
    assert [placement.is_trial for placement in plan.placements] == [True]
    assert _find_workers(plan) <= {"w2", "w3"}


# Guards against a claim that stops work in a closed data centre, where it
# could not start afterwards.
def test_guaranteed_step_stops_work_in_open_data_centres_only():
    others = [
        build.make_job(f"o{number}", build.make_step(1, gpu=8), priority=2)
        for number in range(4)
    ]
    pool_state = _make_pool_state(
        *others, closed=frozenset(), guaranteed={"a": 8}
    )
    build.apply_plan(pool_state)
    work.set_closed_data_centres(pool_state, _LIEGE)
    urgent = build.make_job("u", build.make_step(1, gpu=8), priority=0)
    build.add_job(pool_state, urgent)
    plan = work.plan(pool_state, 0.0, build.WALL)
    stopped = {run.worker_id for run, _ in plan.stops}
    assert len(stopped) == 1
    assert stopped <= {"w2", "w3"}


# Guards against work in a closed data centre that is ended instead of running
# on to its end.
def test_closure_stops_nothing():
    job = build.make_job("j", build.make_step(4, gpu=8, checkpoints=True))
    pool_state = _make_pool_state(job, closed=frozenset())
    build.apply_plan(pool_state)
    work.set_closed_data_centres(pool_state, _LIEGE)
    plan = build.apply_plan(pool_state, 1.0)
    assert plan.stops == []
    assert len(pool_state.runs) == 4
    assert closures.count_runs_in_closed(pool_state) == 2


# Guards against workers that stay unused after the closure: those known
# before, those listed meanwhile, and those that a start was not sent to.
def test_opened_data_centre_is_used_at_once():
    job = build.make_job("j", build.make_step(5, gpu=8))
    pool_state = _make_pool_state(job, closed=frozenset())
    build.apply_plan(pool_state, confirm=False)
    work.set_closed_data_centres(pool_state, _LIEGE)
    for run in list(pool_state.runs.values()):
        if pool_state.workers[run.worker_id].closed:
            pool_state.note_never_started(
                run.key, run.number, tracking.DATA_CENTRE_CLOSED, 0.1
            )
    pool_state.set_worker(build.make_entry("w4", "r0-0"), 0.2)
    build.mark_usable(pool_state.workers["w4"])
    assert pool_state.workers["w4"].closed
    work.set_closed_data_centres(pool_state, frozenset())
    plan = work.plan(pool_state, 0.5, build.WALL)
    assert _find_workers(plan) == {"w0", "w1", "w4"}


# Guards against gangs that wait for a rack in a closed data centre.
@pytest.mark.parametrize(
    ("closed", "fits"), [(frozenset(), True), (_LIEGE, False)]
)
def test_closed_racks_hold_no_step(closed, fits):
    pool_state = _make_pool_state(closed=closed)
    step = build.make_step(2, gpu=8, gang=True, rack="r0-0")
    assert racks.Racks(pool_state).can_hold(step) is fits
    assert racks.Racks(pool_state).is_closed("r0-0") is not fits
    assert not racks.Racks(pool_state).is_closed("")


@pytest.mark.parametrize(
    ("closed", "guaranteed", "expected"),
    [
        (frozenset(), 32, 0),
        (_LIEGE, 16, 0),
        (_LIEGE, 20, 4),
        (frozenset({"liege", "namur"}), 20, 20),
        (frozenset({"nowhere"}), 32, 0),
    ],
)
def test_guarantees_that_have_no_room_left(closed, guaranteed, expected):
    pool_state = _make_pool_state(closed=closed, guaranteed={"a": guaranteed})
    assert closures.measure_shortfall(pool_state) == expected


def test_changes_are_logged_with_what_runs_there():
    job = build.make_job("j", build.make_step(4, gpu=8))
    pool_state = _make_pool_state(job, closed=frozenset())
    build.apply_plan(pool_state)
    pool_state.events.clear()
    work.set_closed_data_centres(pool_state, frozenset({"liege", "nowhere"}))
    work.set_closed_data_centres(pool_state, frozenset({"nowhere"}))
    assert list(pool_state.events) == [
        (
            "data-centre:closed",
            {"data_centre": "liege", "workers": 2, "runs": 2},
        ),
        (
            "data-centre:closed",
            {"data_centre": "nowhere", "workers": 0, "runs": 0},
        ),
        (
            "data-centre:opened",
            {"data_centre": "liege", "workers": 2, "runs": 2},
        ),
    ]

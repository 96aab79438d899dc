import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work import racks
from crocusrouter.work.tests import build

_WORKERS = ("w0", "w1", "w2")
_RACKS = ("r0-0", "r0-0", "r0-1")


@pytest.mark.parametrize(
    ("step", "fits"),
    [
        (build.make_step(2, gpu=8, gang=True), True),
        (build.make_step(3, gpu=8, gang=True), False),
        (build.make_step(9, gpu=8), True),
        (build.make_step(2, gpu=8, gang=True, rack="r0-1"), False),
        (build.make_step(1, gpu=8, gang=True, rack="r0-1"), True),
        (build.make_step(1, gpu=8, rack="r0-9"), False),
        (build.make_step(3, gpu=1, gang=True, per_worker=1), False),
        (build.make_step(1, gpu=1, label="b"), False),
    ],
)
def test_steps_that_fit_into_an_empty_rack(step, fits):
    pool_state = build.make_pool_state(workers=_WORKERS, racks=_RACKS)
    assert racks.Racks(pool_state).can_hold(step) is fits


def test_workers_that_leave_are_not_counted():
    pool_state = build.make_pool_state(workers=_WORKERS, racks=_RACKS)
    entry = pool_state.workers["w0"].entry
    pool_state.set_worker(dataclasses.replace(entry, draining=True), 1.0)
    assert not racks.Racks(pool_state).can_hold(
        build.make_step(2, gpu=8, gang=True)
    )


@pytest.mark.parametrize(("tasks", "crowded"), [(1, False), (2, True)])
def test_pool_is_crowded_when_more_than_half_is_in_use(tasks, crowded):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(tasks, gpu=8)),
        workers=_WORKERS,
        racks=_RACKS,
    )
    build.apply_plan(pool_state)
    assert racks.Racks(pool_state).is_crowded is crowded


def _occupy_workers(pool_state, job, worker_ids):
    """Run each task of a job on one of the workers."""
    for index, worker_id in enumerate(worker_ids):
        key = work.TaskKey(job, 0, 0, index)
        number = len(pool_state.runs) + 1
        pool_state.add_run(key, number, worker_id, 0.0)
        pool_state.note_started(key, number, 0.0)


@pytest.mark.parametrize(
    ("crowded", "waited_s", "placed"),
    [
        (False, 9.0, False),
        (False, 11.0, True),
        (True, 11.0, False),
        (True, 24.0, False),
        (True, 26.0, True),
    ],
)
def test_gang_waits_longer_for_its_rack_while_others_need_room(
    crowded, waited_s, placed
):
    """A gang of two whole workers waits for one of five racks.

    The racks have two workers each. One worker of three racks is in use, and
    the other two racks are in use or being emptied. The gang is expected to run
    for 5 s.
    """
    worker_ids = [f"w{number}" for number in range(10)]
    half_used_workers, other_workers = (
        ["w0", "w2", "w4"],
        ["w6", "w7", "w8", "w9"],
    )
    pool_state = build.make_pool_state(
        build.make_job("half", build.make_step(3, gpu=8)),
        build.make_job("rest", build.make_step(4, gpu=8)),
        workers=worker_ids,
        racks=[f"r0-{number // 2}" for number in range(10)],
    )
    _occupy_workers(pool_state, "half", half_used_workers)
    if crowded:
        _occupy_workers(pool_state, "rest", other_workers)
    else:
        pool_state.set_evacuating(set(other_workers))
        pool_state.forget_job("rest")
    gang_step = build.make_step(2, gpu=8, gang=True, one_rack=True)
    build.add_job(pool_state, build.make_job("gang", gang_step))
    plan = work.plan(pool_state, waited_s, build.WALL + waited_s)
    started = {placement.step.job for placement in plan.placements}
    assert ("gang" in started) is placed

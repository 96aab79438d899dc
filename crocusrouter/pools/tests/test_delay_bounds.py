"""Waits of jobs by reservations and by rule 5 of the lease contract."""

import collections
import types

import pytest

from crocusrouter import work
from crocusrouter.pools import owner
from crocusrouter.pools import reservations
from crocusrouter.pools import unanswered_starts
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_RACKS = ("r0-0", "r0-0", "r0-1", "r0-1", "r0-2", "r0-2")
_WORKERS = tuple(f"w{number}" for number in range(6))


def test_job_does_not_stand_beside_room_for_runs_that_stop_slowly():
    """It reserves room in its rack again and again; four workers are idle."""
    victims = build.make_step(2, gpu=8, expected_s=100.0, checkpoints=True)
    pool_state = build.make_pool_state(
        build.make_job("v", victims, priority=2),
        workers=_WORKERS[:2],
        racks=_RACKS[:2],
    )
    build.apply_plan(pool_state)
    for worker_id, rack in zip(_WORKERS[2:], _RACKS[2:], strict=True):
        pool_state.set_worker(build.make_entry(worker_id, rack), 0.0)
        build.mark_usable(pool_state.workers[worker_id])
    step = build.make_step(1, gpu=8, rack="r0-0", expected_s=20.0)
    job = build.make_job("j", step, priority=0)
    build.add_job(pool_state, job, now=1.0)
    reserved = reservations.Reservations()
    for tick in range(60):
        now = 1.0 + tick * 0.25
        assert not reserved.take_ready(pool_state, now)  # no run ever ends
        plan = build.apply_plan(
            pool_state, now, build.WALL + now, reserved=reserved.list_spots()
        )
        pool_state.note_delays(plan.delays, now)
        if any(placement.step.job == "j" for placement in plan.placements):
            break
        for placement in plan.reservations:
            reserved.add(placement, now)
    assert now - 1.0 < 3.0


@pytest.mark.parametrize("owned_since", [0.0, 99.0])
@pytest.mark.parametrize("others", [(), ("w1",)])
@pytest.mark.parametrize(
    ("accepted_revision", "parked"), [(0, False), (0, True), (60, False)]
)
def test_job_of_a_late_start_waits_until_it_can_run_nowhere(
    accepted_revision, parked, others, owned_since
):
    """A late start begins after 14.9 s, in a process that is listed at 16 s.

    By rule 5 its run may go on for 10 s more. The job was accepted before or
    after the takeover, and nothing of it ran then if it was parked; other
    workers have not answered either.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()), workers=()
    )
    pool_state.epoch = 50
    pool_state.jobs["j"].accepted_revision = accepted_revision
    pool_state.jobs["j"].parked = parked
    for other in others:
        pool_state.set_worker(build.make_entry(other), 90.0)
    starts = collections.defaultdict(unanswered_starts.UnansweredStarts)
    key = work.TaskKey("j", 0, 0, 0)
    entry = build.make_entry("w0@2")
    order = worker_port.Start(key, 1, "")
    starts[entry.worker].note(order, "w0@1", 100.0)
    pool_state.set_worker(entry, 116.0)
    pool_owner = types.SimpleNamespace(
        pool_state=pool_state,
        _owned_since=owned_since,
        _unanswered_starts=starts,
    )
    owner.PoolOwner._limit_possible_jobs(pool_owner, 116.0)  # noqa: SLF001
    assert "j" in pool_state.list_blocked_jobs()

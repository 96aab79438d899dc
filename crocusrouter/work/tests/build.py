"""Builders of jobs, workers and pool states for tests."""

import dataclasses

from crocusrouter import work
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

WALL = 1_000_000.0
# Six workers in three racks.
SIX_WORKERS = tuple(f"w{number}" for number in range(6))
SIX_RACKS = ("r0-0", "r0-0", "r0-1", "r0-1", "r0-2", "r0-2")


def make_step(count=1, gpu=1, **overrides):
    room = work.Room(
        overrides.pop("cpu", 1000), overrides.pop("memory_mb", 1000), gpu
    )
    return work.Step(count, room, **({"expected_s": 5.0} | overrides))


def make_job(job_id, *steps, **overrides):
    fields = {
        "queue": "q",
        "pool": "p",
        "customer": "a",
        "priority": 1,
        "max_attempts": 2,
        "slack": 2.0,
        "target_s": 1.0,
        "payload": job_id,
        "accepted_at": WALL,
    }
    return work.Job(job_id, steps=steps, **(fields | overrides))


def make_entry(worker_id, rack="r0-0", gpu=8, **overrides):
    entry = worker_port.WorkerEntry(
        worker_id,
        "p",
        f"{worker_id}:1",
        "liege",
        False,
        work.Room(32_000, 131_072, gpu),
        frozenset({"a", rack}),
    )
    return dataclasses.replace(entry, **overrides)


def make_pool_state(*jobs, workers=("w0", "w1"), racks=None, guaranteed=None):
    """Return a pool state whose workers have all answered."""
    pool_state = work.PoolState(epoch=1)
    pool_state.guaranteed = guaranteed or {}
    for number, worker_id in enumerate(workers):
        rack = racks[number] if racks else "r0-0"
        pool_state.set_worker(make_entry(worker_id, rack), 0.0)
        mark_usable(pool_state.workers[worker_id])
    for number, job in enumerate(jobs):
        add_job(pool_state, job, created=number + 2)
    return pool_state


def mark_usable(worker):
    """Mark a worker as recorded and reached by the pool's owner."""
    worker.is_recorded = True
    worker.reached = True


def make_six_workers(step, **overrides):
    """Return the state of three racks of two, with one step to place."""
    return make_pool_state(
        make_job("j", step, **overrides), workers=SIX_WORKERS, racks=SIX_RACKS
    )


def fill(pool_state, worker_ids):
    """Let runs that are not known take all room of some workers."""
    for worker_id in worker_ids:
        worker = pool_state.workers[worker_id]
        worker.used = worker.entry.room


def add_job(pool_state, job, created=99, now=0.0, wall=WALL):
    pool_state.put_job(job, work.Progress(), created, now)
    pool_state.open_due_occurrences(wall, now)


def apply_plan(pool_state, now=0.0, wall=WALL, confirm=True, **options):
    """Make a plan and start its placements; return the plan."""
    plan = work.plan(pool_state, now, wall, **options)
    # Run numbers rise over all starts, also after earlier runs have ended.
    next_number = 1 + max(
        getattr(pool_state, "last_run_number", 0),
        *(run.number for run in pool_state.runs.values()),
        0,
    )
    for placement in plan.placements:
        tracked_step = pool_state.find_tracked_step(placement.step)
        for index, worker_id in placement.spots.items():
            key = work.TaskKey(*placement.step, index)
            pool_state.add_run(
                key, next_number, worker_id, now, is_trial=placement.is_trial
            )
            if confirm:
                pool_state.note_started(key, next_number, now)
            if not tracked_step.step.gang:
                next_number += 1
        next_number += 1
    pool_state.last_run_number = next_number
    for run, reason in plan.stops:
        pool_state.stop_run(run, reason, now)
    return plan


def apply_report(
    pool_state, worker_id, *ends, now=1.0, sent_at=None, running=None
):
    """Apply a report of a worker's runs and of some ends.

    Args:
        ends: Pairs of a task and how its run ended; these runs are not reported
            as running.
        running: Running rows to report instead of those in the pool state.
    """
    worker = pool_state.workers[worker_id]
    ended = tuple(
        worker_port.RunEnd(
            worker.last_end_number + offset + 1,
            key,
            pool_state.runs[key].number,
            how,
        )
        for offset, (key, how) in enumerate(ends)
    )
    ended_keys = {key for key, _ in ends}
    if running is None:
        running = tuple(
            worker_port.ReportedRun(key, pool_state.runs[key].number)
            for key in worker.runs
            if key not in ended_keys
            and pool_state.runs[key].phase is not tracking.Phase.ORDERED
        )
    report = worker_port.Report(0, running, ended)
    asked_at = now if sent_at is None else sent_at
    work.apply_report(pool_state, worker_id, report, asked_at, now)

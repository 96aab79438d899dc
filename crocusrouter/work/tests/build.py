"""Short ways to make jobs, workers and books for tests."""

import dataclasses

from crocusrouter import work
from crocusrouter.work import orders
from crocusrouter.work import runs

WALL = 1_000_000.0


def make_step(count=1, gpu=1, **changes):
    room = work.Room(
        changes.pop("cpu", 1000), changes.pop("memory_mb", 1000), gpu
    )
    return work.Step(count, room, **({"expected_s": 5.0} | changes))


def make_job(job_id, *steps, **changes):
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
    return work.Job(job_id, steps=steps, **(fields | changes))


def make_entry(name, rack="r0-0", gpu=8, **changes):
    entry = orders.WorkerEntry(
        name,
        "p",
        f"{name}:1",
        "liege",
        False,
        work.Room(32_000, 131_072, gpu),
        frozenset({"a", rack}),
    )
    return dataclasses.replace(entry, **changes)


def make_book(*jobs, workers=("w0", "w1"), racks=None, guaranteed=None):
    """Return a book whose workers have all answered."""
    pool_state = work.Book(epoch=1)
    pool_state.guaranteed = guaranteed or {}
    for number, name in enumerate(workers):
        rack = racks[number] if racks else "r0-0"
        pool_state.set_worker(make_entry(name, rack), 0.0)
        pool_state.workers[name].reached = True
    for number, job in enumerate(jobs):
        put(pool_state, job, created=number + 2)
    return pool_state


def put(pool_state, job, created=99, now=0.0, wall=WALL):
    pool_state.put_job(job, work.Progress(), created, now)
    pool_state.open_due(wall, now)


def start_planned(pool_state, now=0.0, wall=WALL, confirm=True, **options):
    """Carry a plan's placements out; return it."""
    plan = work.plan(pool_state, now, wall, **options)
    known = (run.number for run in pool_state.runs.values())
    # Numbers rise over all starts, also when earlier runs have ended.
    numbers = max(known, default=getattr(pool_state, "last_number", 0)) + 1
    for placement in plan.placements:
        work_step = pool_state.find_work(placement.step)
        for index, worker in placement.spots.items():
            key = work.TaskKey(*placement.step, index)
            pool_state.add_run(key, numbers, worker, now, alone=placement.alone)
            if confirm:
                pool_state.note_taken(key, numbers, now)
            if not work_step.step.gang:
                numbers += 1
        numbers += 1
    pool_state.last_number = numbers
    for run, why in plan.stops:
        pool_state.stop_run(run, why, now)
    return plan


def report(pool_state, worker, *ends, now=1.0, sent_at=None, running=None):
    """Let a worker report its runs and some ends.

    Args:
        ends: (task, how) pairs; their runs leave the running list.
        running: Rows to show instead of what the book believes.
    """
    held = pool_state.workers[worker]
    ended = tuple(
        orders.Ended(held.noted + n + 1, key, pool_state.runs[key].number, how)
        for n, (key, how) in enumerate(ends)
    )
    over = {key for key, _ in ends}
    if running is None:
        running = tuple(
            orders.Running(key, pool_state.runs[key].number)
            for key in held.runs
            if key not in over
            and pool_state.runs[key].phase is not runs.Phase.ORDERED
        )
    shown = orders.Report(0, running, ended)
    asked_at = now if sent_at is None else sent_at
    work.take_report(pool_state, worker, shown, asked_at, now)

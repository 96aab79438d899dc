"""Which running work makes room for guaranteed work."""

import dataclasses

from crocusrouter.work import book as books
from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import runs

_FAR = 1e9


@dataclasses.dataclass(frozen=True)
class Victims:
    """Runs to stop, and where the guaranteed tasks go then.

    Attributes:
        runs: All runs to stop, whole gangs included.
        workers: A worker for each task, in turn.
        cost: Core-seconds of work that is lost.
    """

    runs: tuple[runs.Run, ...]
    workers: tuple[str, ...]
    cost: float


def count_guaranteed(book: books.Book, customer: str) -> int:
    """Return the accelerators that a customer's priority 0 uses now."""
    total = 0
    for run in book.runs.values():
        held = book.jobs.get(run.key.job)
        if held is None or held.job.customer != customer:
            continue
        work = book.find_work(run.key)
        if held.job.priority == 0 and work is not None:
            total += work.step.charge.accelerators
    return total


def estimate_rest(run: runs.Run, work: runs.StepWork, now: float) -> float:
    """Return the seconds that a run will still take."""
    ran = now - (run.confirmed_at if run.confirmed_at else run.since)
    if run.percent >= 5:
        return ran * (100 - run.percent) / run.percent
    return max(0.5, work.step.expected_s - ran)


def find_free_time(
    book: books.Book, worker: str, room: model.Room, now: float
) -> float:
    """Return in how many seconds a worker will have room for a task."""
    held = book.workers[worker]
    free = held.free
    if free.holds(room):
        return 0.0
    ends = []
    for key in held.runs:
        work = book.find_work(key)
        if work is not None:
            rest = estimate_rest(book.runs[key], work, now)
            ends.append((rest, work.step.charge))
    for rest, charge in sorted(ends):
        free = free.plus(charge)
        if free.holds(room):
            return rest
    return _FAR


def measure_loss(run: runs.Run, work: runs.StepWork, now: float) -> float:
    """Return the core-seconds that are lost if a run stops now.

    A task with checkpoints makes one at a stop and loses next to nothing.
    """
    if work.step.checkpoints:
        return 0.1 * work.step.charge.cores
    ran = now - (run.confirmed_at if run.confirmed_at else run.since)
    return max(0.1, ran) * work.step.charge.cores


def choose_victims(
    book: books.Book,
    priority: int,
    step: model.Step,
    count: int,
    spaces: dict[str, packing.Space],
    now: float,
    *,
    may_spread: bool,
) -> Victims | None:
    """Choose the cheapest runs whose end makes room for `count` tasks.

    Args:
        book: The pool's book.
        priority: Only runs of a higher number may be stopped.
        step: What the tasks ask for.
        count: How many tasks.
        spaces: Free room of the workers that may take them.
        now: Steady time in seconds.
        may_spread: Whether tasks that belong into one rack may run across
            racks, where they take several times as long, if no rack will do.
    """
    narrow = step.one_rack or bool(step.rack)
    found = []
    if narrow:
        for name, rack in packing.group_by_rack(spaces.values()).items():
            if step.rack and name != step.rack:
                continue
            names = [space.worker for space in rack]
            victims = _search(book, priority, step, count, names, spaces, now)
            if victims is not None:
                found.append(victims)
    if found:
        return min(found, key=lambda victims: victims.cost)
    if narrow and not may_spread:
        return None
    return _search(book, priority, step, count, list(spaces), spaces, now)


def _search(
    book: books.Book,
    priority: int,
    step: model.Step,
    count: int,
    names: list[str],
    spaces: dict[str, packing.Space],
    now: float,
) -> Victims | None:
    """Choose task by task the worker where the loss is least."""
    free = {name: spaces[name].free for name in names}
    stopped: dict[model.TaskKey, runs.Run] = {}
    workers: list[str] = []
    total = 0.0
    for _ in range(count):
        best: tuple[float, str, list[runs.Run]] | None = None
        for name in names:
            if step.per_worker and workers.count(name) >= step.per_worker:
                continue
            option = _free_one(
                book, priority, step.charge, name, free[name], stopped, now
            )
            if option is None:
                continue
            cost, chosen = option
            if best is None or cost < best[0]:
                best = cost, name, chosen
                if cost == 0:
                    break
        if best is None:
            return None
        cost, name, chosen = best
        total += cost
        for run in chosen:
            _stop_whole(book, run, stopped, free)
        free[name] = free[name].minus(step.charge)
        workers.append(name)
    fresh = tuple(
        run for run in stopped.values() if run.phase is not runs.Phase.STOPPING
    )
    return Victims(fresh, tuple(workers), total)


def _free_one(
    book: books.Book,
    priority: int,
    room: model.Room,
    worker: str,
    free: model.Room,
    stopped: dict[model.TaskKey, runs.Run],
    now: float,
) -> tuple[float, list[runs.Run]] | None:
    """Return the loss and the runs that make room for one task here."""
    if free.holds(room):
        return 0.0, []
    options = []
    for key in book.workers[worker].runs:
        run = book.runs[key]
        work = book.find_work(key)
        held = book.jobs.get(key.job)
        if work is None or held is None or key in stopped:
            continue
        if run.phase is runs.Phase.STOPPING:
            # Its room comes free anyway.
            options.append((0.0, run, work))
            continue
        if held.job.priority <= priority or work.step.lasting:
            continue
        options.append((_measure_whole(book, work, run, now), run, work))
    options.sort(
        key=lambda option: (
            option[0] / max(1, option[2].step.charge.accelerators)
        )
    )
    chosen: list[runs.Run] = []
    cost = 0.0
    for loss, run, work in options:
        chosen.append(run)
        cost += loss
        free = free.plus(work.step.charge)
        if free.holds(room):
            return cost, chosen
    return None


def _measure_whole(
    book: books.Book, work: runs.StepWork, run: runs.Run, now: float
) -> float:
    members = book.list_step_runs(work) if work.step.gang else [run]
    return sum(measure_loss(member, work, now) for member in members)


def _stop_whole(
    book: books.Book,
    run: runs.Run,
    stopped: dict[model.TaskKey, runs.Run],
    free: dict[str, model.Room],
) -> None:
    """Count a run as stopped, with its whole gang."""
    work = book.find_work(run.key)
    if work is None:
        return
    members = book.list_step_runs(work) if work.step.gang else [run]
    for member in members:
        if member.key in stopped:
            continue
        stopped[member.key] = member
        if member.worker in free:
            free[member.worker] = free[member.worker].plus(work.step.charge)

"""Packing of tasks into the free room of workers and racks."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from crocusrouter.work import model

SlotCounter = Callable[["Space"], int]


def find_rack(labels: Iterable[str]) -> str:
    """Return the rack among a worker's labels; empty for none.

    The labels are a kind and a rack; racks are named "r<number>-<number>".

    >>> find_rack({"a", "r1-3"})
    'r1-3'
    """
    return max(
        (label for label in labels if label.startswith("r") and "-" in label),
        default="",
    )


class Space:
    """Free room of one worker while a plan is made."""

    def __init__(self, worker: str, rack: str, free: model.Room) -> None:
        self.worker = worker
        self.rack = rack
        self.free = free
        self._tasks: collections.Counter[model.StepKey] = collections.Counter()

    def take(self, room: model.Room) -> None:
        """Subtract the room of one task."""
        self.free = self.free.minus(room)

    def note_task(self, key: model.StepKey) -> None:
        """Count a task of a step as placed here."""
        self._tasks[key] += 1

    def count_tasks(self, key: model.StepKey) -> int:
        """Return how many tasks of a step this plan has placed here."""
        return self._tasks[key]

    def measure_tightness(self, room: model.Room) -> tuple[int, int, int]:
        """Return the room left after a task; less is a tighter fit.

        The tightest fit keeps whole workers free for tasks that need all
        accelerators of a worker.
        """
        remaining = self.free.minus(room)
        return remaining.accelerators, remaining.cpu, remaining.memory_mb


def group_by_rack(spaces: Iterable[Space]) -> dict[str, list[Space]]:
    """Return the spaces of each rack."""
    spaces_by_rack: dict[str, list[Space]] = collections.defaultdict(list)
    for space in spaces:
        spaces_by_rack[space.rack].append(space)
    return spaces_by_rack


def fill(
    spaces: list[Space], room: model.Room, count: int, count_slots: SlotCounter
) -> list[Space] | None:
    """Return a space for each of `count` tasks, the tightest fit first.

    Returns:
        Spaces, which may occur several times; None if not all tasks fit.
    """
    chosen_spaces = fill_some(spaces, room, count, count_slots)
    return chosen_spaces if len(chosen_spaces) == count else None


def fill_some(
    spaces: list[Space], room: model.Room, count: int, count_slots: SlotCounter
) -> list[Space]:
    """Return a space for as many of `count` tasks as fit, the tightest first.

    Under load few workers have room, so the others are left out first.
    """
    chosen_spaces: list[Space] = []
    fitting_spaces = [space for space in spaces if space.free.holds(room)]
    for space in sorted(
        fitting_spaces, key=lambda space: space.measure_tightness(room)
    ):
        slots = min(
            space.free.count(room),
            count_slots(space),
            count - len(chosen_spaces),
        )
        chosen_spaces += [space] * max(0, slots)
        if len(chosen_spaces) == count:
            break
    return chosen_spaces


def choose_rack(
    racks: list[list[Space]],
    room: model.Room,
    count: int,
    count_slots: SlotCounter,
) -> list[Space] | None:
    """Return spaces in one rack, the rack that has the least free room."""
    best: tuple[int, list[Space]] | None = None
    for rack in racks:
        chosen_spaces = fill(rack, room, count, count_slots)
        if chosen_spaces is None:
            continue
        free_accelerators = sum(space.free.accelerators for space in rack)
        if best is None or free_accelerators < best[0]:
            best = free_accelerators, chosen_spaces
    return best[1] if best is not None else None


def count_slots(spaces: Iterable[Space], step: model.Step) -> int:
    """Return how many tasks of a step fit if none of them runs yet."""
    total = 0
    for space in spaces:
        slots = max(0, space.free.count(step.charge))
        total += min(slots, step.per_worker) if step.per_worker else slots
    return total


def estimate_worker_count(task_count: int, step: model.Step) -> int:
    """Return how many workers `task_count` tasks of a step would occupy."""
    tasks_per_worker = 1
    if step.charge.accelerators:
        # Workers of a pool are alike; they usually have eight accelerators.
        tasks_per_worker = max(1, 8 // step.charge.accelerators)
    if step.per_worker:
        tasks_per_worker = min(tasks_per_worker, step.per_worker)
    return -(-task_count // tasks_per_worker)

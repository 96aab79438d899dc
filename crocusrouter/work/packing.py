"""Where tasks fit: free room by worker and rack."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from crocusrouter.work import model

Bound = Callable[["Space"], int]


def find_rack(labels: Iterable[str]) -> str:
    """Return the rack among a worker's labels.

    Labels are a kind and a rack; racks are named "r<number>-<number>".

    >>> find_rack({"a", "r1-3"})
    'r1-3'
    """
    return max(
        (label for label in labels if label.startswith("r") and "-" in label),
        default="",
    )


class Space:
    """One worker's free room while a plan is worked out."""

    def __init__(self, worker: str, rack: str, free: model.Room) -> None:
        self.worker = worker
        self.rack = rack
        self.free = free
        self._tasks: collections.Counter[model.StepKey] = collections.Counter()

    def take(self, room: model.Room) -> None:
        """Take room for one task."""
        self.free = self.free.minus(room)

    def note_task(self, key: model.StepKey) -> None:
        """Count a task of a step."""
        self._tasks[key] += 1

    def count_task(self, key: model.StepKey) -> int:
        """Return the tasks of a step placed here in this plan."""
        return self._tasks[key]

    def measure_rest(self, room: model.Room) -> tuple[int, int, int]:
        """Return what is left after a task; less is a tighter fit.

        The tightest fit keeps whole workers free for tasks that need all
        accelerators of one.
        """
        rest = self.free.minus(room)
        return rest.accelerators, rest.cpu, rest.memory_mb


def group_by_rack(spaces: Iterable[Space]) -> dict[str, list[Space]]:
    """Return the spaces of each rack."""
    groups: dict[str, list[Space]] = collections.defaultdict(list)
    for space in spaces:
        groups[space.rack].append(space)
    return groups


def fill(
    spaces: list[Space], room: model.Room, count: int, bound: Bound
) -> list[Space] | None:
    """Return a space for each of `count` tasks, the tightest first.

    Returns:
        A space may stand several times; None if there is no room for all.
    """
    chosen = fill_some(spaces, room, count, bound)
    return chosen if len(chosen) == count else None


def fill_some(
    spaces: list[Space], room: model.Room, count: int, bound: Bound
) -> list[Space]:
    """Return a space for as many of `count` tasks as fit, the tightest first.

    Under load few workers have room, so the others are left out first.
    """
    chosen: list[Space] = []
    fitting = [space for space in spaces if space.free.holds(room)]
    for space in sorted(fitting, key=lambda space: space.measure_rest(room)):
        fits = min(space.free.count(room), bound(space), count - len(chosen))
        chosen += [space] * max(0, fits)
        if len(chosen) == count:
            break
    return chosen


def choose_rack(
    racks: list[list[Space]], room: model.Room, count: int, bound: Bound
) -> list[Space] | None:
    """Return places in the one rack that is left with the least room."""
    best: tuple[int, list[Space]] | None = None
    for rack in racks:
        chosen = fill(rack, room, count, bound)
        if chosen is None:
            continue
        rest = sum(space.free.accelerators for space in rack)
        if best is None or rest < best[0]:
            best = rest, chosen
    return best[1] if best is not None else None


def count_workers(missing: int, step: model.Step, spaces: list[Space]) -> int:
    """Return how many workers `missing` tasks of a step would take up."""
    if not spaces:
        return 0
    whole = 1
    if step.charge.accelerators:
        # Workers of a pool are alike; eight accelerators is the usual size.
        whole = max(1, 8 // step.charge.accelerators)
    if step.per_worker:
        whole = min(whole, step.per_worker)
    return min(len(spaces), -(-missing // whole))

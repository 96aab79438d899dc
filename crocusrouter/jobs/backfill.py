"""Backfill: small jobs go ahead of a large one only if they don't delay it.

When the first job of the queue finds no place, the unit that will have room
for it first is held for it. Jobs behind it may still use that unit if they
are expected to end before then; without that, small jobs would take each
accelerator as it gets free and a large job would never start.

References:
    D. Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995 (EASY backfill).
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from crocusrouter.jobs import cells
from crocusrouter.jobs import placement

# What runs on a worker: when it is expected to end, and its accelerators.
Ends = Mapping[str, Sequence[tuple[float, int]]]


@dataclasses.dataclass(frozen=True)
class Reservation:
    """A unit that is held for a waiting job.

    Attributes:
        workers: The workers of the unit.
        at: When the job is expected to start there, as Unix time.
    """

    workers: frozenset[str]
    at: float


def reserve_unit(
    ask: placement.Ask, floor: cells.Floor, ends: Ends, now: float
) -> Reservation | None:
    """Hold the unit that will have room for a job first.

    >>> floor = {"w": cells.Space("w", "r", 0b0011)}
    >>> ask = placement.Ask("dc.1", "a", cells.Level.WORKER, 4)
    >>> reserve_unit(ask, floor, {"w": [(50.0, 0b1100)]}, now=0.0).at
    50.0

    Args:
        ask: The job that waits.
        floor: Spaces of the data centre.
        ends: What runs on each worker, and until when.
        now: Unix time in seconds.

    Returns:
        The reservation, or None if no unit is large enough.
    """
    found = []
    for unit in cells.group_spaces(floor, ask.level):
        at = _find_time(unit, ask.accelerators, ends, now)
        if at is not None:
            workers = frozenset(space.worker for space in unit)
            found.append((at, min(workers), workers))
    if not found:
        return None
    at, _, workers = min(found)
    return Reservation(workers, at)


def _find_time(
    unit: list[cells.Space], wanted: int, ends: Ends, now: float
) -> float | None:
    """Return when a unit is expected to have `wanted` accelerators free."""
    free = cells.count_free(unit)
    if free >= wanted:
        return now
    running = sorted(
        (at, mask) for space in unit for at, mask in ends.get(space.worker, ())
    )
    for at, mask in running:
        free += mask.bit_count()
        if free >= wanted:
            return max(now, at)
    return None


def respect(
    reservation: Reservation | None, floor: cells.Floor, ends_at: float
) -> cells.Floor:
    """Return what of a floor a job may use that is expected to end then."""
    if reservation is None or ends_at <= reservation.at:
        return floor
    return {
        name: space._replace(free=0) if name in reservation.workers else space
        for name, space in floor.items()
    }

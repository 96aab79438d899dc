"""Backfill: small jobs overtake a large job only if they don't delay it.

When the first job of the queue finds no place, the unit that is expected to
have room for it first is reserved. Jobs behind it may use that unit only if
they are expected to end before the large job starts. Otherwise small jobs
would take each accelerator as it becomes free, and a large job would never
start.

References:
    D. Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995 (EASY backfill).
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from crocusrouter.jobs import cells
from crocusrouter.jobs import placement

# Expected end time and accelerator mask of each task, by worker name.
ExpectedEnds = Mapping[str, Sequence[tuple[float, int]]]


@dataclasses.dataclass(frozen=True)
class Reservation:
    """A unit that is reserved for a waiting job.

    Attributes:
        workers: Names of the unit's workers.
        starts_at: When the job is expected to start there, as Unix time.
    """

    workers: frozenset[str]
    starts_at: float


def reserve_unit(
    request: placement.PlacementRequest,
    capacities: cells.Capacities,
    expected_ends: ExpectedEnds,
    now: float,
) -> Reservation | None:
    """Reserve the unit that is expected to have room for a job first.

    >>> capacities = {"w": cells.WorkerCapacity("w", "r", 0b0011)}
    >>> request = placement.PlacementRequest("dc.1", "a", cells.Level.WORKER, 4)
    >>> ends = {"w": [(50.0, 0b1100)]}
    >>> reserve_unit(request, capacities, ends, now=0.0).starts_at
    50.0

    Args:
        request: The job that waits.
        capacities: Capacities of the workers of the data centre.
        expected_ends: Expected end and accelerators of each running task.
        now: Unix time in seconds.

    Returns:
        The reservation, or None if no unit is large enough.
    """
    candidates = []
    for unit in cells.group_by_level(capacities, request.level):
        starts_at = _find_start_time(
            unit, request.accelerators, expected_ends, now
        )
        if starts_at is not None:
            workers = frozenset(capacity.worker for capacity in unit)
            candidates.append((starts_at, min(workers), workers))
    if not candidates:
        return None
    starts_at, _, workers = min(candidates)
    return Reservation(workers, starts_at)


def _find_start_time(
    unit: list[cells.WorkerCapacity],
    size: int,
    expected_ends: ExpectedEnds,
    now: float,
) -> float | None:
    """Return when a unit is expected to have `size` accelerators free."""
    free_count = cells.count_free(unit)
    if free_count >= size:
        return now
    running_tasks = sorted(
        (ends_at, mask)
        for capacity in unit
        for ends_at, mask in expected_ends.get(capacity.worker, ())
    )
    for ends_at, mask in running_tasks:
        free_count += mask.bit_count()
        if free_count >= size:
            return max(now, ends_at)
    return None


def exclude_reserved_unit(
    reservation: Reservation | None,
    capacities: cells.Capacities,
    job_ends_at: float,
) -> cells.Capacities:
    """Return the capacities that a job with this expected end may use."""
    if reservation is None or job_ends_at <= reservation.starts_at:
        return capacities
    return {
        name: capacity._replace(free_mask=0)
        if name in reservation.workers
        else capacity
        for name, capacity in capacities.items()
    }

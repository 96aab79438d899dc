"""Cells: guaranteed shapes and the search that embeds them in free capacity.

A quota that is a mere count can be broken by fragmentation: enough
accelerators are free, but not next to each other. A guarantee is therefore a
set of cells. Each cell is a number of accelerators that must be in one worker,
one rack or one data centre; these are the topology units.

A guarantee holds as long as all cells embed together. The unclaimed part of a
cell must fit in free or reclaimable accelerators, in the same unit as its
claimed part. Without this condition, the rest of the rack of a partly claimed
cell could be given to another claim, and the whole cell would have no place
once the first claim ends.

References:
    H. Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning with
    Guarantees", OSDI 2020.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import NamedTuple

from crocusrouter.jobs import model
from crocusrouter.templates import Level

_LEVEL_ORDER = {Level.WORKER: 0, Level.RACK: 1, Level.DATA_CENTRE: 2}
_MAX_CANDIDATE_UNITS = 4
_MAX_SEARCH_NODES = 400


class WorkerCapacity(NamedTuple):
    """The available accelerators of one worker, as bit masks.

    This is a named tuple because each decision creates thousands of them.

    Attributes:
        worker: The worker's name.
        rack: The rack of the worker.
        free_mask: Accelerators that nobody uses.
        reclaimable_mask: Accelerators used beyond a guarantee; claims can
            take them back.
    """

    worker: str
    rack: str
    free_mask: int
    reclaimable_mask: int = 0

    @property
    def usable_mask(self) -> int:
        """Accelerators that a guarantee can count on: free or reclaimable."""
        return self.free_mask | self.reclaimable_mask


# Capacities of the workers of one data centre, by worker name.
Capacities = dict[str, WorkerCapacity]
# Usable and free counts of each worker of a unit, sorted.
_UnitShape = tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True)
class CellDemand:
    """One cell that must be embedded.

    Attributes:
        customer: Customer whose guarantee includes the cell.
        level: Kind of unit that must hold the whole cell.
        accelerators: Size of the whole cell.
        index: Index of the cell among the customer's cells.
        claimed_members: Claimed part of the cell, which is not reclaimable.
    """

    customer: str
    level: Level
    accelerators: int
    index: int = 0
    claimed_members: tuple[model.Member, ...] = ()

    @property
    def unclaimed_count(self) -> int:
        """The number of accelerators that are not claimed."""
        return self.accelerators - sum(
            member.size for member in self.claimed_members
        )


Allocation = tuple[model.Member, ...]


@dataclasses.dataclass(frozen=True)
class Embedding:
    """Disjoint allocations for the unclaimed parts of cells.

    Attributes:
        demands: The cells, in the order of the search.
        allocations: `allocations[i]` belongs to `demands[i]`.
    """

    demands: tuple[CellDemand, ...]
    allocations: tuple[Allocation, ...]


@dataclasses.dataclass(frozen=True)
class EmbeddingFailure:
    """The search found no embedding.

    Attributes:
        demand: The first cell for which no allocation was found.
    """

    demand: CellDemand


def embed(
    demands: Iterable[CellDemand], capacities: Capacities
) -> Embedding | EmbeddingFailure:
    """Find disjoint allocations for all cells in usable accelerators.

    Cells of narrow levels and large cells are placed first. Each cell takes
    the tightest unit that holds it, so that whole units stay available. If a
    cell then finds no place, a bounded search backtracks over the choices. The
    search first prefers units in which few loans have to stop, and if it fails,
    the tightest ones, however many loans they hold. It can miss an existing
    embedding and return `EmbeddingFailure`, but an embedding that it returns is
    always valid.

    >>> capacities = {
    ...     name: WorkerCapacity(name, "r1", 0b1111) for name in ("w1", "w2")
    ... }
    >>> rack_cell = CellDemand("a", Level.RACK, 6)
    >>> embed([rack_cell], capacities).allocations
    ((Member(worker='w1', mask=15), Member(worker='w2', mask=3)),)
    >>> worker_cell = CellDemand("b", Level.WORKER, 4)
    >>> embed([rack_cell, worker_cell], capacities).demand.customer
    'a'

    Args:
        demands: Cells that must be placed together.
        capacities: Capacities of the workers of one data centre.

    Returns:
        The embedding, or the cell for which the search failed.
    """
    ordered = tuple(sorted(demands, key=_build_demand_sort_key))
    if not ordered:
        return Embedding((), ())
    result = _EmbeddingSearch(ordered, capacities, spares_loans=True).run()
    if isinstance(result, EmbeddingFailure):
        result = _EmbeddingSearch(ordered, capacities, spares_loans=False).run()
    return result


def find_allocation(
    demand: CellDemand, capacities: Capacities
) -> Allocation | None:
    """Return the best allocation of usable accelerators for one cell."""
    return next(_iterate_allocations(demand, capacities), None)


def subtract_allocation(
    capacities: Capacities, allocation: Allocation
) -> Capacities:
    """Return the capacities without the accelerators of an allocation."""
    return subtract_allocations(capacities, (allocation,))


def subtract_allocations(
    capacities: Capacities, allocations: Iterable[Allocation]
) -> Capacities:
    """Return the capacities without the accelerators of all allocations."""
    remaining = dict(capacities)
    for allocation in allocations:
        for member in allocation:
            name, rack, free_mask, reclaimable_mask = remaining[member.worker]
            keep = ~member.mask
            remaining[name] = WorkerCapacity(
                name, rack, free_mask & keep, reclaimable_mask & keep
            )
    return remaining


def _build_demand_sort_key(demand: CellDemand) -> tuple[bool, int, int, str]:
    """Build a sort key that puts the most constrained cells first."""
    return (
        not demand.claimed_members,
        _LEVEL_ORDER[demand.level],
        -demand.unclaimed_count,
        demand.customer,
    )


class _EmbeddingSearch:
    """Depth-first search for an embedding with a bounded number of nodes."""

    def __init__(
        self,
        demands: tuple[CellDemand, ...],
        capacities: Capacities,
        *,
        spares_loans: bool,
    ) -> None:
        self._demands = demands
        self._capacities = capacities
        self._spares_loans = spares_loans
        self._visited_nodes = 0
        self._deepest_index = 0

    def run(self) -> Embedding | EmbeddingFailure:
        spots = self._place_from(0, self._capacities)
        if spots is None:
            return EmbeddingFailure(self._demands[self._deepest_index])
        return Embedding(self._demands, spots)

    def _place_from(
        self, index: int, capacities: Capacities
    ) -> tuple[Allocation, ...] | None:
        """Place the cells from `index` on, or return None."""
        if index == len(self._demands):
            return ()
        self._deepest_index = max(self._deepest_index, index)
        for allocation in _iterate_allocations(
            self._demands[index], capacities, spares_loans=self._spares_loans
        ):
            self._visited_nodes += 1
            rest = self._place_from(
                index + 1, subtract_allocation(capacities, allocation)
            )
            if rest is not None:
                return (allocation, *rest)
            if self._visited_nodes >= _MAX_SEARCH_NODES:
                return None
        return None


def _iterate_allocations(
    demand: CellDemand, capacities: Capacities, *, spares_loans: bool = True
) -> Iterator[Allocation]:
    """Yield allocations for a cell, tightest unit first.

    Of several units with the same shape, only the first is used.

    Args:
        demand: The cell.
        capacities: Capacities of the workers.
        spares_loans: Whether units in which fewer loans have to stop come
            before tighter ones.
    """
    if not demand.unclaimed_count:
        yield ()
        return
    size = demand.unclaimed_count
    seen_shapes = set()
    rack_shapes = _describe_racks(capacities)
    fitting_units = [
        unit
        for unit in _list_units(demand, capacities)
        if count_usable(unit) >= size
    ]
    fitting_units.sort(
        key=lambda unit: (
            *_score_unit(unit, size, spares_loans=spares_loans),
            rack_shapes[unit[0].rack],
            unit[0].worker,
        )
    )
    for unit in fitting_units:
        # Identical workers in different racks are not interchangeable: taking
        # one may break up a rack that a later cell needs as a whole.
        shape = (_describe_unit(unit), rack_shapes[unit[0].rack])
        if shape in seen_shapes:
            continue
        seen_shapes.add(shape)
        yield allocate_in_unit(unit, size)
        if len(seen_shapes) == _MAX_CANDIDATE_UNITS:
            return


def _list_units(
    demand: CellDemand, capacities: Capacities
) -> list[list[WorkerCapacity]]:
    """Return the units that contain all claimed workers of a cell."""
    units = group_by_level(capacities, demand.level)
    if not demand.claimed_members:
        return units
    claimed_workers = {member.worker for member in demand.claimed_members}
    return [
        unit
        for unit in units
        if claimed_workers <= {capacity.worker for capacity in unit}
    ]


def group_by_level(
    capacities: Capacities, level: Level
) -> list[list[WorkerCapacity]]:
    """Group the worker capacities into the units of one level."""
    if level is Level.WORKER:
        return [[capacity] for capacity in capacities.values()]
    if level is Level.DATA_CENTRE:
        return [list(capacities.values())]
    racks: dict[str, list[WorkerCapacity]] = collections.defaultdict(list)
    for capacity in capacities.values():
        racks[capacity.rack].append(capacity)
    return list(racks.values())


def count_usable(unit: Sequence[WorkerCapacity]) -> int:
    """Count the free and reclaimable accelerators of a unit."""
    return sum(capacity.usable_mask.bit_count() for capacity in unit)


def count_free(unit: Sequence[WorkerCapacity]) -> int:
    """Count the free accelerators of a unit."""
    return sum(capacity.free_mask.bit_count() for capacity in unit)


def _score_unit(
    unit: list[WorkerCapacity], size: int, *, spares_loans: bool
) -> tuple[int, int]:
    """Score a unit: fewest loans to break, then the tightest fit."""
    broken = max(0, size - count_free(unit)) if spares_loans else 0
    return (broken, count_usable(unit) - size)


def _describe_racks(
    capacities: Capacities,
) -> dict[str, tuple[int, _UnitShape]]:
    """Return the usable count and the shape of each rack."""
    racks = group_by_level(capacities, Level.RACK)
    return {
        unit[0].rack: (count_usable(unit), _describe_unit(unit))
        for unit in racks
    }


def _describe_unit(unit: list[WorkerCapacity]) -> _UnitShape:
    return tuple(sorted(_count_accelerators(capacity) for capacity in unit))


def _count_accelerators(capacity: WorkerCapacity) -> tuple[int, int]:
    """Return the usable and the free count of a worker."""
    return (
        capacity.usable_mask.bit_count(),
        capacity.free_mask.bit_count(),
    )


def allocate_in_unit(unit: Sequence[WorkerCapacity], size: int) -> Allocation:
    """Allocate `size` accelerators of a unit on as few workers as possible.

    Workers that are used completely come first, the largest first. The rest
    comes from the worker with the tightest fit. Free accelerators are used
    before reclaimable ones.

    >>> small_worker = WorkerCapacity("w1", "r", 0b11)
    >>> large_worker = WorkerCapacity("w2", "r", 0b1111)
    >>> allocate_in_unit([small_worker, large_worker], 5)
    (Member(worker='w2', mask=15), Member(worker='w1', mask=1))
    """
    members = []
    missing = size
    unused_capacities = [capacity for capacity in unit if capacity.usable_mask]
    while missing:
        capacity = _choose_worker(unused_capacities, missing)
        unused_capacities.remove(capacity)
        mask = select_accelerators(capacity, missing)
        members.append(model.Member(capacity.worker, mask))
        missing -= mask.bit_count()
    return tuple(members)


def _choose_worker(
    capacities: list[WorkerCapacity], missing: int
) -> WorkerCapacity:
    large_enough = [
        capacity
        for capacity in capacities
        if capacity.usable_mask.bit_count() >= missing
    ]
    if large_enough:
        return min(
            large_enough,
            key=lambda capacity: (
                -_count_free_up_to(capacity, missing),
                _count_accelerators(capacity),
            ),
        )
    return max(
        capacities,
        key=lambda capacity: (
            capacity.free_mask.bit_count(),
            _count_accelerators(capacity),
        ),
    )


def _count_free_up_to(capacity: WorkerCapacity, limit: int) -> int:
    return min(limit, capacity.free_mask.bit_count())


def select_accelerators(capacity: WorkerCapacity, size: int) -> int:
    """Return a mask of at most `size` accelerators, free ones first.

    >>> capacity = WorkerCapacity("w", "r", 0b0100, 0b0011)
    >>> bin(select_accelerators(capacity, 2))
    '0b101'
    """
    selected_mask = 0
    for available_mask in (capacity.free_mask, capacity.reclaimable_mask):
        while available_mask and selected_mask.bit_count() < size:
            lowest_bit = available_mask & -available_mask
            selected_mask |= lowest_bit
            available_mask ^= lowest_bit
    return selected_mask

"""Placement: chooses where a job starts, or says why it has to wait.

`place_job` is a pure function. It keeps one invariant: after every decision
the unclaimed parts of all cells embed together in free or reclaimable
accelerators. A guaranteed shape can therefore always be reclaimed.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from crocusrouter.jobs import cell_bindings
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import model
from crocusrouter.templates import Level

_MAX_CANDIDATE_UNITS = 6


class WaitReason(enum.StrEnum):
    """Why a job can't start now."""

    NO_FREE_SPOT = "no-free-spot"
    GUARANTEE_IN_THE_WAY = "guarantee-in-the-way"
    WORKERS_UNCERTAIN = "workers-uncertain"
    CLOSED = "data-centre-closed"


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """The shape for which a job needs an allocation."""

    job_id: str
    customer: str
    level: Level
    accelerators: int
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class Placement:
    """An allocation on which the job starts.

    Attributes:
        allocation: The accelerators of the job.
        claims: The cells of its customer's guarantee that the job uses; empty
            if the accelerators are lent.
        victims: Ids of jobs with loans that must stop first.
        new_binding: Key and allocation of a cell that the claim has bound to
            another place.
    """

    allocation: cells.Allocation
    claims: tuple[model.CellClaim, ...] = ()
    victims: tuple[str, ...] = ()
    new_binding: tuple[cell_bindings.CellKey, cells.Allocation] | None = None


@dataclasses.dataclass(frozen=True)
class NoPlacement:
    """The job has to wait."""

    reason: WaitReason
    detail: str


@dataclasses.dataclass(frozen=True)
class PlacementContext:
    """The state of a data centre on which a placement depends.

    Attributes:
        capacities: Free and reclaimable accelerators of each worker.
        demands: Every guaranteed cell, with its claimed part.
        bindings: The allocation to which each cell is bound.
        loans: Allocations of jobs that run beyond a guarantee.
    """

    capacities: cells.Capacities
    demands: claims.CellDemands = ()
    bindings: cell_bindings.CellBindings = dataclasses.field(
        default_factory=dict
    )
    loans: tuple[claims.JobAllocation, ...] = ()


def place_job(
    request: PlacementRequest, context: PlacementContext
) -> Placement | NoPlacement:
    """Choose where a job starts, or say why it has to wait.

    A job within its customer's guarantee uses a part of the accelerators to
    which one of the customer's cells is bound. If loans use them, the cell is
    first bound to a free place outside all bindings; if there is none, the
    loans must stop. A job beyond the guarantee borrows free accelerators only.
    They can be reclaimed, so this never weakens a guarantee.

    >>> capacities = {"w": cells.WorkerCapacity("w", "r", 0b11)}
    >>> request = PlacementRequest("dc.1", "a", Level.RACK, 1)
    >>> place_job(request, PlacementContext(capacities)).allocation
    (Member(worker='w', mask=1),)

    Args:
        request: The job's shape.
        context: The state of its data centre.

    Returns:
        The placement, or the reason to wait.
    """
    if claims.is_within_guarantee(
        context.demands, request.customer, request.level, request.accelerators
    ):
        return _claim(request, context)
    return _borrow(request, context)


def fits_in_capacity(
    request: PlacementRequest, total_capacities: cells.Capacities
) -> bool:
    """Tell whether the job would fit if nothing else ran.

    >>> capacities = {"w": cells.WorkerCapacity("w", "r", 0b11)}
    >>> request = PlacementRequest("dc.1", "a", Level.RACK, 3)
    >>> fits_in_capacity(request, capacities)
    False
    """
    demand = cells.CellDemand(
        request.customer, request.level, request.accelerators
    )
    return cells.find_allocation(demand, total_capacities) is not None


def _borrow(
    request: PlacementRequest, context: PlacementContext
) -> Placement | NoPlacement:
    """Allocate free accelerators, outside all cell bindings if possible.

    A loan inside a binding would have to stop when the cell is claimed.
    """
    free_capacities = _exclude_reclaimable(context.capacities)
    unbound_capacities = cell_bindings.subtract_unclaimed(
        free_capacities, context.demands, context.bindings
    )
    for capacities in (unbound_capacities, free_capacities):
        allocation = next(_iterate_allocations(request, capacities), None)
        if allocation is not None:
            return Placement(allocation)
    return NoPlacement(
        WaitReason.NO_FREE_SPOT, _describe_shortage(request, free_capacities)
    )


def _claim(
    request: PlacementRequest, context: PlacementContext
) -> Placement | NoPlacement:
    """Start a job within its customer's guarantee."""
    bound_cells = [
        demand
        for demand in claims.list_claimable_cells(
            context.demands,
            request.customer,
            request.level,
            request.accelerators,
        )
        if cell_bindings.get_cell_key(demand) in context.bindings
    ]
    for strategy in (
        _claim_free_part,
        _rebind_and_claim,
        _borrow_instead,
        _claim_lent_part,
    ):
        for demand in bound_cells:
            placement = strategy(request, context, demand)
            if placement is not None:
                return placement
    if request.level is Level.DATA_CENTRE:
        return _claim_several_cells(request, context)
    return _report_unbound_cell(request)


def _claim_free_part(
    request: PlacementRequest,
    context: PlacementContext,
    demand: cells.CellDemand,
) -> Placement | None:
    """Claim free accelerators to which the cell is bound."""
    unit = _list_unclaimed_capacities(
        context, demand, include_reclaimable=False
    )
    if cells.count_free(unit) < request.accelerators:
        return None
    allocation = cells.allocate_in_unit(unit, request.accelerators)
    return Placement(allocation, (model.CellClaim(demand.index, allocation),))


def _rebind_and_claim(
    request: PlacementRequest,
    context: PlacementContext,
    demand: cells.CellDemand,
) -> Placement | None:
    """Bind an unclaimed cell to a free place outside all bindings."""
    if demand.claimed_members:
        return None
    free_capacities = _exclude_reclaimable(context.capacities)
    unbound_capacities = cell_bindings.subtract_unclaimed(
        free_capacities, context.demands, context.bindings
    )
    binding = cells.find_allocation(demand, unbound_capacities)
    if binding is None:
        return None
    allocation = cells.allocate_in_unit(
        _restrict_to_allocation(binding, free_capacities), request.accelerators
    )
    claim = model.CellClaim(demand.index, allocation)
    return Placement(
        allocation,
        (claim,),
        new_binding=(cell_bindings.get_cell_key(demand), binding),
    )


def _borrow_instead(
    request: PlacementRequest,
    context: PlacementContext,
    demand: cells.CellDemand,
) -> Placement | None:
    """Borrow free accelerators instead of stopping another job's loan.

    The cell stays unclaimed and the guarantee stays whole. An urgent job never
    borrows here, because its loan could be reclaimed.
    """
    if request.urgent:
        return None
    result = _borrow(request, context)
    return result if isinstance(result, Placement) else None


def _claim_lent_part(
    request: PlacementRequest,
    context: PlacementContext,
    demand: cells.CellDemand,
) -> Placement | None:
    """Claim accelerators of the cell's binding and reclaim loans on them."""
    unit = _list_unclaimed_capacities(context, demand, include_reclaimable=True)
    if cells.count_usable(unit) < request.accelerators:
        return None
    allocation = cells.allocate_in_unit(unit, request.accelerators)
    victims = find_victims(allocation, context.loans)
    return Placement(
        allocation, (model.CellClaim(demand.index, allocation),), victims
    )


def _claim_several_cells(
    request: PlacementRequest, context: PlacementContext
) -> Placement | NoPlacement:
    """Claim parts of several cells for a job without adjacency needs."""
    sizes_by_cell = claims.split_over_cells(
        context.demands, request.customer, request.accelerators
    )
    demands_by_index = {
        demand.index: demand
        for demand in context.demands
        if demand.customer == request.customer
    }
    new_claims = []
    for index, size in (sizes_by_cell or {}).items():
        demand = demands_by_index[index]
        if cell_bindings.get_cell_key(demand) not in context.bindings:
            return _report_unbound_cell(request)
        unit = _list_unclaimed_capacities(
            context, demand, include_reclaimable=True
        )
        if cells.count_usable(unit) < size:
            return _borrow_instead(
                request, context, demand
            ) or _report_unusable_cell(request)
        new_claims.append(
            model.CellClaim(index, cells.allocate_in_unit(unit, size))
        )
    allocation = cell_bindings.merge_allocations(
        [claim.spot for claim in new_claims]
    )
    victims = find_victims(allocation, context.loans)
    return Placement(allocation, tuple(new_claims), victims)


def _report_unbound_cell(request: PlacementRequest) -> NoPlacement:
    return NoPlacement(
        WaitReason.GUARANTEE_IN_THE_WAY,
        f"a guaranteed cell of {request.customer} has no place; workers are"
        " missing or their tasks are unknown",
    )


def _report_unusable_cell(request: PlacementRequest) -> NoPlacement:
    return NoPlacement(
        WaitReason.GUARANTEE_IN_THE_WAY,
        f"a part of a guaranteed cell of {request.customer} is reserved for a"
        " job that waits longer, or on a worker on which the job failed",
    )


def _list_unclaimed_capacities(
    context: PlacementContext,
    demand: cells.CellDemand,
    *,
    include_reclaimable: bool,
) -> list[cells.WorkerCapacity]:
    """Return the capacity of the unclaimed part of a cell's binding."""
    binding = context.bindings[cell_bindings.get_cell_key(demand)]
    capacities = (
        context.capacities
        if include_reclaimable
        else _exclude_reclaimable(context.capacities)
    )
    return _restrict_to_allocation(
        cell_bindings.find_unclaimed_part(demand, binding), capacities
    )


def _restrict_to_allocation(
    allocation: cells.Allocation, capacities: cells.Capacities
) -> list[cells.WorkerCapacity]:
    """Return the capacities of the accelerators of an allocation."""
    return [
        cells.WorkerCapacity(
            member.worker,
            capacities[member.worker].rack,
            capacities[member.worker].free_mask & member.mask,
            capacities[member.worker].reclaimable_mask & member.mask,
        )
        for member in allocation
    ]


def find_victims(
    allocation: cells.Allocation, loans: Iterable[claims.JobAllocation]
) -> tuple[str, ...]:
    """Return the ids of the jobs whose loans overlap an allocation."""
    masks = {member.worker: member.mask for member in allocation}
    return tuple(
        loan.job_id
        for loan in loans
        if any(
            masks.get(member.worker, 0) & member.mask
            for member in loan.allocation
        )
    )


def _exclude_reclaimable(capacities: cells.Capacities) -> cells.Capacities:
    """Return the capacities with their free accelerators only."""
    return {
        name: cells.WorkerCapacity(name, capacity.rack, capacity.free_mask)
        for name, capacity in capacities.items()
    }


def _iterate_allocations(
    request: PlacementRequest, capacities: cells.Capacities
) -> Iterator[cells.Allocation]:
    """Yield allocations for a job, those that fragment least first."""
    units = [
        unit
        for unit in cells.group_by_level(capacities, request.level)
        if cells.count_usable(unit) >= request.accelerators
    ]
    if request.level is not Level.WORKER:
        # A job that one worker can hold should not span several.
        worker_units = cells.group_by_level(capacities, Level.WORKER)
        units += [
            unit
            for unit in worker_units
            if cells.count_usable(unit) >= request.accelerators
        ]
    usable_by_rack = _count_usable_by_rack(capacities)
    units.sort(
        key=lambda unit: _build_unit_sort_key(
            unit, request.accelerators, usable_by_rack
        )
    )
    for unit in units[:_MAX_CANDIDATE_UNITS]:
        yield cells.allocate_in_unit(unit, request.accelerators)


def _count_usable_by_rack(capacities: cells.Capacities) -> dict[str, int]:
    racks = cells.group_by_level(capacities, Level.RACK)
    return {unit[0].rack: cells.count_usable(unit) for unit in racks}


def _build_unit_sort_key(
    unit: list[cells.WorkerCapacity],
    size: int,
    usable_by_rack: dict[str, int],
) -> tuple[int, int, int, str]:
    """Sort by fewest reclaimed accelerators, fewest members, fullest rack."""
    reclaimed_count = max(0, size - cells.count_free(unit))
    spare_count = cells.count_usable(unit) - size
    return (
        reclaimed_count,
        min(len(unit), size),
        spare_count * 1000 + usable_by_rack[unit[0].rack],
        unit[0].worker,
    )


def _describe_shortage(
    request: PlacementRequest, free_capacities: cells.Capacities
) -> str:
    units = cells.group_by_level(free_capacities, request.level)
    largest = max(map(cells.count_usable, units), default=0)
    return (
        f"needs {request.accelerators} free accelerators in one"
        f" {request.level}; the largest has {largest}"
    )

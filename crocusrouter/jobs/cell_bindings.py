"""Cell bindings: the accelerators to which each guaranteed cell is bound.

A search for an embedding at each decision would cost more than the rest of
the decision. The embedding is therefore computed once and kept: each cell is
bound to as many accelerators as its size, disjoint from all other bindings.
Claims of a cell use accelerators of its binding, and loans avoid bindings
where they can. As long as all bindings are intact, the guarantees hold without
any search.

A cell is bound again only when its binding breaks: a worker is gone or
unknown, or an edit of the template changed the cell.

References:
    H. Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning with
    Guarantees", OSDI 2020 (binding of virtual cells to physical ones).
"""

from crocusrouter.jobs import cells
from crocusrouter.jobs import model

# Customer and index of a cell.
CellKey = tuple[str, int]
CellBindings = dict[CellKey, cells.Allocation]


def get_cell_key(demand: cells.CellDemand) -> CellKey:
    """Return the key of a cell in `CellBindings`."""
    return (demand.customer, demand.index)


def bind_cells(
    demands: tuple[cells.CellDemand, ...],
    capacities: cells.Capacities,
    bindings: CellBindings,
) -> CellBindings:
    """Bind all cells; bindings that are intact stay.

    If the other cells find no place around the intact bindings, all unclaimed
    parts are bound anew. If that fails too, workers are missing; then as many
    cells as possible are bound, in order.

    Args:
        demands: Every cell, with its claimed part.
        capacities: Capacities of the workers that can be used now.
        bindings: The present bindings.
    """
    intact_bindings = {
        get_cell_key(demand): bindings[get_cell_key(demand)]
        for demand in demands
        if is_binding_intact(
            demand, capacities, bindings.get(get_cell_key(demand))
        )
    }
    if len(intact_bindings) == len(demands):
        return intact_bindings
    for initial_bindings in (intact_bindings, {}):
        new_bindings = _bind_remaining(demands, capacities, initial_bindings)
        if new_bindings is not None:
            return new_bindings
    return _bind_as_many_as_possible(demands, capacities, intact_bindings)


def is_binding_intact(
    demand: cells.CellDemand,
    capacities: cells.Capacities,
    binding: cells.Allocation | None,
) -> bool:
    """Tell whether a binding still holds its whole cell."""
    if binding is None or _count_accelerators(binding) != demand.accelerators:
        return False
    claimed_masks = {
        member.worker: member.mask
        for member in merge_allocations([demand.claimed_members])
    }
    for member in binding:
        claimed_mask = claimed_masks.pop(member.worker, 0)
        capacity = capacities.get(member.worker)
        usable_mask = capacity.usable_mask if capacity is not None else 0
        if claimed_mask & ~member.mask or member.mask & ~(
            usable_mask | claimed_mask
        ):
            return False
    return not claimed_masks


def find_unclaimed_part(
    demand: cells.CellDemand, binding: cells.Allocation
) -> cells.Allocation:
    """Return the accelerators of a binding that are not claimed.

    >>> claimed = (model.Member("w", 0b01),)
    >>> demand = cells.CellDemand("a", cells.Level.RACK, 2, 0, claimed)
    >>> find_unclaimed_part(demand, (model.Member("w", 0b11),))
    (Member(worker='w', mask=2),)
    """
    claimed_masks = {
        member.worker: member.mask
        for member in merge_allocations([demand.claimed_members])
    }
    unclaimed_members = (
        model.Member(
            member.worker,
            member.mask & ~claimed_masks.get(member.worker, 0),
        )
        for member in binding
    )
    return tuple(member for member in unclaimed_members if member.mask)


def subtract_unclaimed(
    capacities: cells.Capacities,
    demands: tuple[cells.CellDemand, ...],
    bindings: CellBindings,
) -> cells.Capacities:
    """Return the capacities without the unclaimed parts of all bindings."""
    return cells.subtract_allocations(
        capacities,
        (
            find_unclaimed_part(demand, bindings[get_cell_key(demand)])
            for demand in demands
            if get_cell_key(demand) in bindings
        ),
    )


def merge_allocations(
    allocations: "list[cells.Allocation] | tuple[cells.Allocation, ...]",
) -> cells.Allocation:
    """Merge allocations so that each worker has one member.

    >>> first, second = model.Member("w", 0b01), model.Member("w", 0b10)
    >>> merge_allocations([(first,), (second,)])
    (Member(worker='w', mask=3),)
    """
    if not any(allocations):
        return ()
    masks: dict[str, int] = {}
    for allocation in allocations:
        for member in allocation:
            masks[member.worker] = masks.get(member.worker, 0) | member.mask
    return tuple(model.Member(name, mask) for name, mask in masks.items())


def _bind_remaining(
    demands: tuple[cells.CellDemand, ...],
    capacities: cells.Capacities,
    bindings: CellBindings,
) -> CellBindings | None:
    """Bind all unbound cells around the given bindings, or return None."""
    bound_demands = tuple(
        demand for demand in demands if get_cell_key(demand) in bindings
    )
    unbound_demands = tuple(
        demand for demand in demands if get_cell_key(demand) not in bindings
    )
    result = cells.embed(
        unbound_demands,
        subtract_unclaimed(capacities, bound_demands, bindings),
    )
    if isinstance(result, cells.EmbeddingFailure):
        return None
    all_bindings = dict(bindings)
    for demand, allocation in zip(
        result.demands, result.allocations, strict=True
    ):
        all_bindings[get_cell_key(demand)] = merge_allocations(
            [demand.claimed_members, allocation]
        )
    return all_bindings


def _bind_as_many_as_possible(
    demands: tuple[cells.CellDemand, ...],
    capacities: cells.Capacities,
    intact_bindings: CellBindings,
) -> CellBindings:
    """Bind cells in order while workers are missing."""
    bindings = dict(intact_bindings)
    for demand in demands:
        if get_cell_key(demand) in bindings:
            continue
        new_bindings = _bind_remaining(
            (
                *(
                    bound_demand
                    for bound_demand in demands
                    if get_cell_key(bound_demand) in bindings
                ),
                demand,
            ),
            capacities,
            bindings,
        )
        bindings = new_bindings if new_bindings is not None else bindings
    return bindings


def _count_accelerators(allocation: cells.Allocation) -> int:
    return sum(member.size for member in allocation)

"""Claims: how running jobs use their customers' guaranteed cells."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from crocusrouter.jobs import cells
from crocusrouter.jobs import model
from crocusrouter.templates import Catalog
from crocusrouter.templates import Level

_LEVEL_WIDTH = {Level.WORKER: 0, Level.RACK: 1, Level.DATA_CENTRE: 2}

CellDemands = tuple[cells.CellDemand, ...]


@dataclasses.dataclass(frozen=True)
class JobAllocation:
    """The accelerators that the latest attempt of a job uses."""

    job_id: str
    customer: str
    allocation: cells.Allocation
    claims: tuple[model.CellClaim, ...] = ()

    @property
    def size(self) -> int:
        """The number of accelerators."""
        return sum(member.size for member in self.allocation)


def list_demands(catalog: Catalog, data_centre: str) -> CellDemands:
    """Return every guaranteed cell of a data centre, with nothing claimed."""
    return tuple(
        demand
        for customer in sorted(catalog.templates)
        for demand in _iterate_customer_cells(catalog, customer, data_centre)
    )


def _iterate_customer_cells(
    catalog: Catalog, customer: str, data_centre: str
) -> Iterator[cells.CellDemand]:
    index = 0
    for cell in catalog.templates[customer].template.guarantee:
        if cell.data_centre != data_centre:
            continue
        for _ in range(cell.count):
            yield cells.CellDemand(
                customer, cell.level, cell.accelerators, index
            )
            index += 1


def assign_claims(
    demands: CellDemands, job_allocations: Iterable[JobAllocation]
) -> tuple[CellDemands, list[JobAllocation]]:
    """Mark the claimed part of each cell and find the loans.

    An edit of a template can remove or shrink a cell that is claimed. The
    claim then no longer counts, and its job runs on a loan.

    >>> demand = cells.CellDemand("a", Level.RACK, 4)
    >>> claim = model.CellClaim(0, (model.Member("w", 0b1),))
    >>> job_allocation = JobAllocation("dc.1", "a", claim.spot, (claim,))
    >>> claimed_demands, loans = assign_claims((demand,), [job_allocation])
    >>> claimed_demands[0].unclaimed_count, loans
    (3, [])

    Args:
        demands: Every cell, with nothing claimed.
        job_allocations: Allocations of the running attempts.

    Returns:
        The cells with their claimed parts, and the allocations that are
        loans.
    """
    unclaimed_counts = {
        (demand.customer, demand.index): demand.accelerators
        for demand in demands
    }
    claimed_parts: dict[tuple[str, int], cells.Allocation] = {}
    loans = []
    for job_allocation in job_allocations:
        if not job_allocation.claims or not _is_covered(
            unclaimed_counts, job_allocation
        ):
            loans.append(job_allocation)
            continue
        for claim in job_allocation.claims:
            key = (job_allocation.customer, claim.cell)
            unclaimed_counts[key] -= claim.size
            claimed_parts[key] = claimed_parts.get(key, ()) + claim.spot
    claimed_demands = tuple(
        dataclasses.replace(demand, claimed_members=claimed_parts[key])
        if key in claimed_parts
        else demand
        for demand in demands
        for key in [(demand.customer, demand.index)]
    )
    return claimed_demands, loans


def _is_covered(
    room: dict[tuple[str, int], int],
    job_allocation: JobAllocation,
) -> bool:
    """Tell whether the guarantee has room for all claims of an allocation."""
    return all(
        room.get((job_allocation.customer, claim.cell), 0) >= claim.size
        for claim in job_allocation.claims
    )


def add_claim(
    demands: CellDemands, customer: str, claim: model.CellClaim
) -> CellDemands:
    """Return the cells with one more claim on one of them."""
    return tuple(
        dataclasses.replace(
            demand, claimed_members=demand.claimed_members + claim.spot
        )
        if (demand.customer, demand.index) == (customer, claim.cell)
        else demand
        for demand in demands
    )


def list_claimable_cells(
    demands: CellDemands, customer: str, level: Level, size: int
) -> list[cells.CellDemand]:
    """Return the cells that have room for a whole job, the tightest first.

    A cell guarantees adjacency at its own level, so it serves jobs that ask
    for the same or a wider level. Jobs with one accelerator fit at any level.
    """
    claimable_cells = [
        demand
        for demand in demands
        if demand.customer == customer
        and demand.unclaimed_count >= size
        and (size == 1 or _LEVEL_WIDTH[demand.level] <= _LEVEL_WIDTH[level])
    ]
    return sorted(
        claimable_cells,
        key=lambda demand: (demand.unclaimed_count, demand.index),
    )


def split_over_cells(
    demands: CellDemands, customer: str, size: int
) -> dict[int, int] | None:
    """Split a job without adjacency needs over several cells.

    Returns:
        Accelerators by cell index, or None if the guarantee is too small.
    """
    sizes_by_cell: dict[int, int] = {}
    customer_cells = [
        demand for demand in demands if demand.customer == customer
    ]
    for demand in sorted(
        customer_cells, key=lambda demand: -demand.unclaimed_count
    ):
        part_size = min(size, demand.unclaimed_count)
        if part_size:
            sizes_by_cell[demand.index] = part_size
            size -= part_size
    return None if size else sizes_by_cell


def is_within_guarantee(
    demands: CellDemands, customer: str, level: Level, size: int
) -> bool:
    """Tell whether the guarantee has room for a job of this shape."""
    if list_claimable_cells(demands, customer, level, size):
        return True
    return (
        level is Level.DATA_CENTRE
        and split_over_cells(demands, customer, size) is not None
    )

"""Which running jobs use a guarantee, and what of it is unclaimed."""

from collections.abc import Iterable
import dataclasses

from crocusrouter.jobs import cells
from crocusrouter.templates import Catalog
from crocusrouter.templates import Cell
from crocusrouter.templates import Level

_WIDTH = {Level.WORKER: 0, Level.RACK: 1, Level.DATA_CENTRE: 2}


@dataclasses.dataclass(frozen=True)
class Holding:
    """The accelerators that one job's latest attempt uses."""

    job_id: str
    customer: str
    level: Level
    spot: cells.Spot

    @property
    def size(self) -> int:
        """The number of accelerators."""
        return sum(member.size for member in self.spot)


@dataclasses.dataclass(frozen=True)
class Claims:
    """How the holdings use the guarantees.

    Attributes:
        unclaimed: What each cell still owes; all of it must embed.
        borrowed: Ids of the jobs that use more than a guarantee.
    """

    unclaimed: tuple[cells.Need, ...]
    borrowed: frozenset[str]


def list_needs(catalog: Catalog, data_centre: str) -> tuple[cells.Need, ...]:
    """Return every guaranteed cell of a data centre as a need."""
    return tuple(
        cells.Need(customer, cell.level, cell.accelerators)
        for customer in sorted(catalog.templates)
        for cell in _list_cells(catalog, customer)
        if cell.data_centre == data_centre
        for _ in range(cell.count)
    )


def _list_cells(catalog: Catalog, customer: str) -> tuple[Cell, ...]:
    return catalog.templates[customer].template.guarantee


def settle_claims(
    needs: Iterable[cells.Need], holdings: Iterable[Holding]
) -> Claims:
    """Assign holdings to cells, the largest first.

    A claim shrinks its cell: what remains of the cell, at the same level, is
    still owed. Assignment starts afresh each time, so a loan turns into a
    claim as soon as its customer's guarantee has room.

    >>> need = cells.Need("a", Level.RACK, 4)
    >>> member = cells.model.Member("w", 0b1)
    >>> small = Holding("dc.1", "a", Level.WORKER, (member,))
    >>> settle_claims([need], [small]).unclaimed[0].accelerators
    3
    """
    unclaimed = list(needs)
    borrowed = set()
    ordered = sorted(holdings, key=lambda held: (-held.size, held.job_id))
    for holding in ordered:
        claimed = claim_cell(
            unclaimed, holding.customer, holding.level, holding.size
        )
        if claimed is None:
            borrowed.add(holding.job_id)
        else:
            unclaimed = list(claimed)
    return Claims(tuple(unclaimed), frozenset(borrowed))


def claim_cell(
    unclaimed: Iterable[cells.Need], customer: str, level: Level, size: int
) -> tuple[cells.Need, ...] | None:
    """Return the needs left after a claim, or None if no cell admits it.

    The tightest cell that is large enough and no wider than the job's own
    adjacency is used. A job that is adjacent only within the data centre may
    claim several cells.
    """
    needs = list(unclaimed)
    mine = [i for i, need in enumerate(needs) if need.customer == customer]
    fitting = [i for i in mine if _admits(needs[i], level, size)]
    if fitting:
        index = min(fitting, key=lambda i: needs[i].accelerators)
        return _shrink(needs, {index: size})
    if level is not Level.DATA_CENTRE:
        return None
    return _claim_many(needs, mine, size)


def _admits(need: cells.Need, level: Level, size: int) -> bool:
    # A single accelerator is adjacent to itself, whatever level is asked.
    adjacent = size == 1 or _WIDTH[need.level] <= _WIDTH[level]
    return adjacent and need.accelerators >= size


def _claim_many(
    needs: list[cells.Need], mine: list[int], size: int
) -> tuple[cells.Need, ...] | None:
    if sum(needs[i].accelerators for i in mine) < size:
        return None
    taken = {}
    for index in sorted(mine, key=lambda i: -needs[i].accelerators):
        taken[index] = min(size, needs[index].accelerators)
        size -= taken[index]
    return _shrink(needs, taken)


def _shrink(
    needs: list[cells.Need], taken: dict[int, int]
) -> tuple[cells.Need, ...]:
    shrunk = (
        dataclasses.replace(
            need, accelerators=need.accelerators - taken.get(index, 0)
        )
        for index, need in enumerate(needs)
    )
    return tuple(need for need in shrunk if need.accelerators)

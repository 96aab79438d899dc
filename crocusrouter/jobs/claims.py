"""Which running jobs use a guarantee, and what of it is unclaimed."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from crocusrouter.jobs import cells
from crocusrouter.jobs import model
from crocusrouter.templates import Catalog
from crocusrouter.templates import Level

_WIDTH = {Level.WORKER: 0, Level.RACK: 1, Level.DATA_CENTRE: 2}

Needs = tuple[cells.Need, ...]


@dataclasses.dataclass(frozen=True)
class Holding:
    """The accelerators that one job's latest attempt uses."""

    job_id: str
    customer: str
    spot: cells.Spot
    claims: tuple[model.Claim, ...] = ()

    @property
    def size(self) -> int:
        """The number of accelerators."""
        return sum(member.size for member in self.spot)


def list_needs(catalog: Catalog, data_centre: str) -> Needs:
    """Return every guaranteed cell of a data centre, nothing claimed."""
    return tuple(
        need
        for customer in sorted(catalog.templates)
        for need in _list_cells(catalog, customer, data_centre)
    )


def _list_cells(
    catalog: Catalog, customer: str, data_centre: str
) -> Iterator[cells.Need]:
    index = 0
    for cell in catalog.templates[customer].template.guarantee:
        if cell.data_centre != data_centre:
            continue
        for _ in range(cell.count):
            yield cells.Need(customer, cell.level, cell.accelerators, index)
            index += 1


def pin_holdings(
    needs: Needs, holdings: Iterable[Holding]
) -> tuple[Needs, list[Holding]]:
    """Mark what is claimed of each cell.

    A claim on a cell that an edit has removed or shrunk doesn't count; its
    job holds a loan from then on.

    >>> need = cells.Need("a", Level.RACK, 4)
    >>> claim = model.Claim(0, (model.Member("w", 0b1),))
    >>> held = Holding("dc.1", "a", claim.spot, (claim,))
    >>> pinned, loans = pin_holdings((need,), [held])
    >>> pinned[0].unclaimed, loans
    (3, [])

    Args:
        needs: Every cell, nothing claimed.
        holdings: What running attempts hold.

    Returns:
        The cells with what is claimed of them, and the holdings that are
        loans.
    """
    room = {(n.customer, n.index): n.accelerators for n in needs}
    pinned: dict[tuple[str, int], cells.Spot] = {}
    loans = []
    for holding in holdings:
        if not holding.claims or not _is_backed(room, holding):
            loans.append(holding)
            continue
        for claim in holding.claims:
            key = (holding.customer, claim.cell)
            room[key] -= claim.size
            pinned[key] = pinned.get(key, ()) + claim.spot
    marked = tuple(
        dataclasses.replace(need, pinned=pinned[key]) if key in pinned else need
        for need in needs
        for key in [(need.customer, need.index)]
    )
    return marked, loans


def _is_backed(room: dict[tuple[str, int], int], holding: Holding) -> bool:
    """Tell whether a guarantee has room for all that a holding claims."""
    return all(
        room.get((holding.customer, claim.cell), 0) >= claim.size
        for claim in holding.claims
    )


def pin(needs: Needs, customer: str, claim: model.Claim) -> Needs:
    """Return the needs with one more claim on a cell."""
    return tuple(
        dataclasses.replace(need, pinned=need.pinned + claim.spot)
        if (need.customer, need.index) == (customer, claim.cell)
        else need
        for need in needs
    )


def list_cells(
    needs: Needs, customer: str, level: Level, size: int
) -> list[cells.Need]:
    """Return the cells that could take a whole job, the tightest first.

    A cell guarantees adjacency at its own level, so it serves jobs that ask
    for no narrower one. A single accelerator is adjacent to itself.
    """
    fitting = [
        need
        for need in needs
        if need.customer == customer
        and need.unclaimed >= size
        and (size == 1 or _WIDTH[need.level] <= _WIDTH[level])
    ]
    return sorted(fitting, key=lambda need: (need.unclaimed, need.index))


def split_over_cells(
    needs: Needs, customer: str, size: int
) -> dict[int, int] | None:
    """Spread a job that is adjacent nowhere over several cells.

    Returns:
        Accelerators by cell index, or None if the guarantee is too small.
    """
    parts: dict[int, int] = {}
    mine = [need for need in needs if need.customer == customer]
    for need in sorted(mine, key=lambda need: -need.unclaimed):
        part = min(size, need.unclaimed)
        if part:
            parts[need.index] = part
            size -= part
    return None if size else parts


def is_claimable(needs: Needs, customer: str, level: Level, size: int) -> bool:
    """Tell whether the guarantee has room for a job of this shape."""
    if list_cells(needs, customer, level, size):
        return True
    return (
        level is Level.DATA_CENTRE
        and split_over_cells(needs, customer, size) is not None
    )

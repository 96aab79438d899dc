"""Homes: the place that each guaranteed cell is bound to.

Searching for an embedding at each decision costs more than everything else
together. So an embedding is found once and kept: every cell has a home, as
many accelerators as it has, disjoint from all other homes. Claims of a cell
take accelerators of its home, loans keep out of homes while they can, and as
long as homes stay intact the guarantees hold without any search.

A home is bound anew only when it breaks: its worker went or is unknown, or an
edit changed the cell.

References:
    H. Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning with
    Guarantees", OSDI 2020 (binding of virtual cells to physical ones).
"""

from crocusrouter.jobs import cells
from crocusrouter.jobs import model

Key = tuple[str, int]
Homes = dict[Key, cells.Spot]


def find_key(need: cells.Need) -> Key:
    """Return the key of a cell among the homes."""
    return (need.customer, need.index)


def bind(
    needs: tuple[cells.Need, ...], floor: cells.Floor, homes: Homes
) -> Homes:
    """Return homes for all cells, keeping those that are intact.

    If the broken ones find no place around the intact ones, everything that
    isn't claimed is bound afresh. If that fails too, workers are missing:
    then as many cells as possible get a home, in order.

    Args:
        needs: Every cell, with what is claimed of it.
        floor: Spaces of the workers that can be used now.
        homes: The homes so far.
    """
    kept = {
        find_key(need): homes[find_key(need)]
        for need in needs
        if is_intact(need, floor, homes.get(find_key(need)))
    }
    if len(kept) == len(needs):
        return kept
    for start in (kept, {}):
        found = _bind_rest(needs, floor, start)
        if found is not None:
            return found
    return _bind_some(needs, floor, kept)


def is_intact(
    need: cells.Need, floor: cells.Floor, home: cells.Spot | None
) -> bool:
    """Tell whether a home still holds its whole cell."""
    if home is None or _count(home) != need.accelerators:
        return False
    pinned = {member.worker: member.mask for member in merge([need.pinned])}
    for member in home:
        claimed = pinned.pop(member.worker, 0)
        space = floor.get(member.worker)
        usable = space.usable if space is not None else 0
        if claimed & ~member.mask or member.mask & ~(usable | claimed):
            return False
    return not pinned


def find_unclaimed(need: cells.Need, home: cells.Spot) -> cells.Spot:
    """Return what of a home isn't claimed.

    >>> claimed = (model.Member("w", 0b01),)
    >>> need = cells.Need("a", cells.Level.RACK, 2, pinned=claimed)
    >>> find_unclaimed(need, (model.Member("w", 0b11),))
    (Member(worker='w', mask=2),)
    """
    pinned = {member.worker: member.mask for member in merge([need.pinned])}
    rest = (
        model.Member(m.worker, m.mask & ~pinned.get(m.worker, 0)) for m in home
    )
    return tuple(member for member in rest if member.mask)


def take_away(
    floor: cells.Floor, needs: tuple[cells.Need, ...], homes: Homes
) -> cells.Floor:
    """Return the floor without the unclaimed parts of all homes."""
    return cells.remove_spots(
        floor,
        (
            find_unclaimed(need, homes[find_key(need)])
            for need in needs
            if find_key(need) in homes
        ),
    )


def merge(spots: "list[cells.Spot] | tuple[cells.Spot, ...]") -> cells.Spot:
    """Join spots into one member a worker.

    >>> one, two = model.Member("w", 0b01), model.Member("w", 0b10)
    >>> merge([(one,), (two,)])
    (Member(worker='w', mask=3),)
    """
    if not any(spots):
        return ()
    masks: dict[str, int] = {}
    for spot in spots:
        for member in spot:
            masks[member.worker] = masks.get(member.worker, 0) | member.mask
    return tuple(model.Member(name, mask) for name, mask in masks.items())


def _bind_rest(
    needs: tuple[cells.Need, ...], floor: cells.Floor, kept: Homes
) -> Homes | None:
    """Bind all cells without a home around those that have one."""
    settled = tuple(need for need in needs if find_key(need) in kept)
    rest = tuple(need for need in needs if find_key(need) not in kept)
    found = cells.embed(rest, take_away(floor, settled, kept))
    if isinstance(found, cells.Unfit):
        return None
    bound = dict(kept)
    for need, spot in zip(found.needs, found.spots, strict=True):
        bound[find_key(need)] = merge([need.pinned, spot])
    return bound


def _bind_some(
    needs: tuple[cells.Need, ...], floor: cells.Floor, kept: Homes
) -> Homes:
    """Bind what can be bound while workers are missing."""
    bound = dict(kept)
    for need in needs:
        if find_key(need) in bound:
            continue
        found = _bind_rest(
            (*(n for n in needs if find_key(n) in bound), need), floor, bound
        )
        bound = found if found is not None else bound
    return bound


def _count(spot: cells.Spot) -> int:
    return sum(member.size for member in spot)

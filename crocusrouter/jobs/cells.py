"""Cells: guaranteed shapes and how they embed in the free accelerators.

A quota in mere counts is broken by fragmentation even when the counts add up.
A guarantee is therefore a set of cells, each a number of accelerators that
must be adjacent within a worker, a rack or a data centre. It holds as long as
all cells embed together: what is unclaimed of a cell in what is free or lent,
and in the same unit as what is claimed of it. Without the last condition a
cell could be claimed in part, the rest of its rack be given to another claim,
and the whole cell find no place once the first claim ends.

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
_CANDIDATES = 4
_NODE_LIMIT = 400


class Space(NamedTuple):
    """The accelerators of one worker, as bit masks.

    A named tuple, since decisions make thousands of them.

    Attributes:
        worker: The worker's name.
        rack: Its rack.
        free: Accelerators that nobody uses.
        lent: Accelerators used beyond a guarantee, which can be taken back.
    """

    worker: str
    rack: str
    free: int
    lent: int = 0

    @property
    def usable(self) -> int:
        """What a guarantee can count on: free or lent."""
        return self.free | self.lent


Floor = dict[str, Space]
_Shape = tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True)
class Need:
    """One cell that must find a place.

    Attributes:
        customer: Whose guarantee it is.
        level: The unit that must hold it whole.
        accelerators: Its whole size.
        index: Its index among the customer's cells.
        pinned: What is claimed of it; in use, so neither free nor lent.
    """

    customer: str
    level: Level
    accelerators: int
    index: int = 0
    pinned: tuple[model.Member, ...] = ()

    @property
    def unclaimed(self) -> int:
        """How many accelerators are still owed."""
        return self.accelerators - sum(m.size for m in self.pinned)


Spot = tuple[model.Member, ...]


@dataclasses.dataclass(frozen=True)
class Embedding:
    """A place for what is unclaimed; `spots[i]` belongs to `needs[i]`."""

    needs: tuple[Need, ...]
    spots: tuple[Spot, ...]


@dataclasses.dataclass(frozen=True)
class Unfit:
    """No embedding was found; `need` is the first that found no place."""

    need: Need


def embed(needs: Iterable[Need], floor: Floor) -> Embedding | Unfit:
    """Find disjoint places for all needs in what is free or lent.

    Tight levels and large cells go first; each takes the tightest unit that
    holds it, so that whole units stay whole. Where that runs into a wall, a
    bounded search goes back over the choices. The search can miss an
    embedding that exists (it then says `Unfit`), but what it returns always
    is one.

    >>> floor = {name: Space(name, "r1", 0b1111) for name in ("w1", "w2")}
    >>> pair = Need("a", Level.RACK, 6)
    >>> embed([pair], floor).spots
    ((Member(worker='w1', mask=15), Member(worker='w2', mask=3)),)
    >>> embed([pair, Need("b", Level.WORKER, 4)], floor).need.customer
    'a'

    Args:
        needs: Cells that must be placed together.
        floor: Spaces by worker, of one data centre.

    Returns:
        The embedding, its needs in the order in which they were placed, or
        the need that fails.
    """
    ordered = tuple(sorted(needs, key=_order_need))
    if not ordered:
        return Embedding((), ())
    return _Search(ordered, floor).run()


def find_spot(need: Need, floor: Floor) -> Spot | None:
    """Return the best place for one need in `usable`, or None."""
    return next(_find_spots(need, floor), None)


def remove_spot(floor: Floor, spot: Spot) -> Floor:
    """Return the floor without the accelerators of `spot`."""
    return remove_spots(floor, (spot,))


def remove_spots(floor: Floor, spots: Iterable[Spot]) -> Floor:
    """Return the floor without the accelerators of several spots."""
    changed = dict(floor)
    for spot in spots:
        for member in spot:
            name, rack, free, lent = changed[member.worker]
            keep = ~member.mask
            changed[name] = Space(name, rack, free & keep, lent & keep)
    return changed


def _order_need(need: Need) -> tuple[bool, int, int, str]:
    """Put what has least choice first."""
    return (
        not need.pinned,
        _LEVEL_ORDER[need.level],
        -need.unclaimed,
        need.customer,
    )


class _Search:
    """Depth-first search for an embedding, bounded by a count of nodes."""

    def __init__(self, needs: tuple[Need, ...], floor: Floor) -> None:
        self._needs = needs
        self._floor = floor
        self._nodes = 0
        self._deepest = 0

    def run(self) -> Embedding | Unfit:
        spots = self._place(0, self._floor)
        if spots is None:
            return Unfit(self._needs[self._deepest])
        return Embedding(self._needs, spots)

    def _place(self, index: int, floor: Floor) -> tuple[Spot, ...] | None:
        if index == len(self._needs):
            return ()
        self._deepest = max(self._deepest, index)
        for spot in _find_spots(self._needs[index], floor):
            self._nodes += 1
            rest = self._place(index + 1, remove_spot(floor, spot))
            if rest is not None:
                return (spot, *rest)
            if self._nodes >= _NODE_LIMIT:
                return None
        return None


def _find_spots(need: Need, floor: Floor) -> Iterator[Spot]:
    """Yield places for a need, tightest unit first, alike units once."""
    if not need.unclaimed:
        yield ()
        return
    size = need.unclaimed
    seen = set()
    rack_shapes = _describe_racks(floor)
    fits = [
        unit for unit in _list_units(need, floor) if count_usable(unit) >= size
    ]
    fits.sort(
        key=lambda unit: (
            *_rate_unit(unit, size),
            rack_shapes[unit[0].rack],
            unit[0].worker,
        )
    )
    for unit in fits:
        # Workers alike in themselves differ if their racks do: taking one
        # may break up a rack that a later need wants whole.
        shape = (_describe_unit(unit), rack_shapes[unit[0].rack])
        if shape in seen:
            continue
        seen.add(shape)
        yield fill_unit(unit, size)
        if len(seen) == _CANDIDATES:
            return


def _list_units(need: Need, floor: Floor) -> list[list[Space]]:
    """Return the units that could hold a cell with what is claimed of it."""
    units = group_spaces(floor, need.level)
    if not need.pinned:
        return units
    pinned = {member.worker for member in need.pinned}
    return [u for u in units if pinned <= {space.worker for space in u}]


def group_spaces(floor: Floor, level: Level) -> list[list[Space]]:
    """Group the spaces of a floor into the units of one level."""
    if level is Level.WORKER:
        return [[space] for space in floor.values()]
    if level is Level.DATA_CENTRE:
        return [list(floor.values())]
    racks: dict[str, list[Space]] = collections.defaultdict(list)
    for space in floor.values():
        racks[space.rack].append(space)
    return list(racks.values())


def count_usable(spaces: Sequence[Space]) -> int:
    """Count the free and lent accelerators of a unit."""
    return sum(space.usable.bit_count() for space in spaces)


def count_free(spaces: Sequence[Space]) -> int:
    """Count the free accelerators of a unit."""
    return sum(space.free.bit_count() for space in spaces)


def _rate_unit(unit: list[Space], size: int) -> tuple[int, int]:
    """Prefer units that break fewest loans, then the tightest."""
    broken = max(0, size - count_free(unit))
    return (broken, count_usable(unit) - size)


def _describe_racks(floor: Floor) -> dict[str, tuple[int, _Shape]]:
    """Return the usable count and the shape of each rack."""
    racks = group_spaces(floor, Level.RACK)
    return {
        unit[0].rack: (count_usable(unit), _describe_unit(unit))
        for unit in racks
    }


def _describe_unit(unit: list[Space]) -> _Shape:
    return tuple(sorted(_rate_space(space) for space in unit))


def _rate_space(space: Space) -> tuple[int, int]:
    return (space.usable.bit_count(), space.free.bit_count())


def fill_unit(unit: Sequence[Space], size: int) -> Spot:
    """Take `size` accelerators of a unit, on as few workers as possible.

    Workers that fit whole go first, largest first; the rest comes from the
    worker that it fits tightest. Free accelerators go before lent ones.

    >>> unit = [Space("w1", "r", 0b11), Space("w2", "r", 0b1111)]
    >>> fill_unit(unit, 5)
    (Member(worker='w2', mask=15), Member(worker='w1', mask=1))
    """
    members = []
    left = size
    spaces = [space for space in unit if space.usable]
    while left:
        space = _choose_space(spaces, left)
        spaces.remove(space)
        mask = take_bits(space, left)
        members.append(model.Member(space.worker, mask))
        left -= mask.bit_count()
    return tuple(members)


def _choose_space(spaces: list[Space], left: int) -> Space:
    enough = [space for space in spaces if space.usable.bit_count() >= left]
    if enough:
        return min(enough, key=lambda s: (-_free_part(s, left), _rate_space(s)))
    return max(spaces, key=lambda s: (s.free.bit_count(), _rate_space(s)))


def _free_part(space: Space, size: int) -> int:
    return min(size, space.free.bit_count())


def take_bits(space: Space, size: int) -> int:
    """Return a mask of at most `size` accelerators, free ones first.

    >>> bin(take_bits(Space("w", "r", free=0b0100, lent=0b0011), 2))
    '0b101'
    """
    mask = 0
    for available in (space.free, space.lent):
        while available and mask.bit_count() < size:
            lowest = available & -available
            mask |= lowest
            available ^= lowest
    return mask

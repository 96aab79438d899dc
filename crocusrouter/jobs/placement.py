"""Placement: where a job starts, or why it waits.

`place` is a pure function. It keeps the invariant that after every step all
cells embed together, what is unclaimed of them in what is free or lent, so a
guaranteed shape can always be taken back.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import homes
from crocusrouter.jobs import model
from crocusrouter.templates import Level

_CANDIDATES = 6


class WaitReason(enum.StrEnum):
    """Why a job can't start now."""

    NO_FREE_SPOT = "no-free-spot"
    GUARANTEE_IN_THE_WAY = "guarantee-in-the-way"
    WORKERS_UNCERTAIN = "workers-uncertain"


@dataclasses.dataclass(frozen=True)
class Ask:
    """What a job asks of placement."""

    job_id: str
    customer: str
    level: Level
    accelerators: int
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class Placed:
    """The job starts here.

    Attributes:
        spot: Its accelerators.
        claims: The cells of its customer's guarantee that it uses; empty if
            the accelerators are lent.
        victims: Jobs with loans that must stop first.
        moved: A cell's new home, if the claim moved it.
    """

    spot: cells.Spot
    claims: tuple[model.Claim, ...] = ()
    victims: tuple[str, ...] = ()
    moved: tuple[homes.Key, cells.Spot] | None = None


@dataclasses.dataclass(frozen=True)
class Waits:
    """The job waits."""

    reason: WaitReason
    detail: str


@dataclasses.dataclass(frozen=True)
class Situation:
    """All that placement looks at.

    Attributes:
        floor: Spaces by worker, with what is free and what is lent.
        needs: Every guaranteed cell, with what is claimed of it.
        bound: The home of each cell.
        loans: Holdings that are borrowed.
    """

    floor: cells.Floor
    needs: claims.Needs = ()
    bound: homes.Homes = dataclasses.field(default_factory=dict)
    loans: tuple[claims.Holding, ...] = ()


def place(ask: Ask, situation: Situation) -> Placed | Waits:
    """Decide where a job starts, or why it waits.

    A job within its customer's guarantee takes a part of a home of its
    customer's cells. If loans are there, the home first moves to a free place
    outside all homes; if there is none, the loans must stop. A job beyond the
    guarantee takes free accelerators only: what it takes is lent, which never
    weakens a guarantee.

    >>> floor = {"w": cells.Space("w", "r", 0b11)}
    >>> place(Ask("dc.1", "a", Level.RACK, 1), Situation(floor)).spot
    (Member(worker='w', mask=1),)

    Args:
        ask: The job's shape.
        situation: The state of its data centre.

    Returns:
        Placed or Waits.
    """
    if claims.is_claimable(
        situation.needs, ask.customer, ask.level, ask.accelerators
    ):
        return _claim(ask, situation)
    return _borrow(ask, situation)


def check_fits(ask: Ask, empty_floor: cells.Floor) -> bool:
    """Tell whether the job would fit if nothing else ran.

    >>> floor = {"w": cells.Space("w", "r", 0b11)}
    >>> check_fits(Ask("dc.1", "a", Level.RACK, 3), floor)
    False
    """
    need = cells.Need(ask.customer, ask.level, ask.accelerators)
    return cells.find_spot(need, empty_floor) is not None


def _borrow(ask: Ask, situation: Situation) -> Placed | Waits:
    """Take free accelerators, away from all homes if possible.

    A loan on a home would have to stop when the cell is claimed.
    """
    free = _keep_free(situation.floor)
    apart = homes.take_away(free, situation.needs, situation.bound)
    for floor in (apart, free):
        spot = next(_list_spots(ask, floor), None)
        if spot is not None:
            return Placed(spot)
    return Waits(WaitReason.NO_FREE_SPOT, _describe_lack(ask, free))


def _claim(ask: Ask, situation: Situation) -> Placed | Waits:
    admitting = [
        need
        for need in claims.list_cells(
            situation.needs, ask.customer, ask.level, ask.accelerators
        )
        if homes.find_key(need) in situation.bound
    ]
    for attempt in (_claim_free, _claim_moved, _borrow_instead, _claim_lent):
        for need in admitting:
            placed = attempt(ask, situation, need)
            if placed is not None:
                return placed
    if ask.level is Level.DATA_CENTRE:
        return _claim_many(ask, situation)
    return _wait_for_home(ask)


def _claim_free(
    ask: Ask, situation: Situation, need: cells.Need
) -> Placed | None:
    """Claim a free part of the cell's home."""
    unit = _open_home(situation, need, with_lent=False)
    if cells.count_free(unit) < ask.accelerators:
        return None
    spot = cells.fill_unit(unit, ask.accelerators)
    return Placed(spot, (model.Claim(need.index, spot),))


def _claim_moved(
    ask: Ask, situation: Situation, need: cells.Need
) -> Placed | None:
    """Move an unclaimed cell to a free place outside all homes."""
    if need.pinned:
        return None
    free = _keep_free(situation.floor)
    apart = homes.take_away(free, situation.needs, situation.bound)
    home = cells.find_spot(need, apart)
    if home is None:
        return None
    spot = cells.fill_unit(_limit(home, free), ask.accelerators)
    claim = model.Claim(need.index, spot)
    return Placed(spot, (claim,), moved=(homes.find_key(need), home))


def _borrow_instead(
    ask: Ask, situation: Situation, need: cells.Need
) -> Placed | None:
    """Take free accelerators as a loan rather than stop another's loan.

    The cell stays unclaimed and the guarantee whole. An urgent job claims: a
    loan could be taken back from it.
    """
    if ask.urgent:
        return None
    found = _borrow(ask, situation)
    return found if isinstance(found, Placed) else None


def _claim_lent(
    ask: Ask, situation: Situation, need: cells.Need
) -> Placed | None:
    """Claim a part of the cell's home and take the loans on it back."""
    unit = _open_home(situation, need, with_lent=True)
    if cells.count_usable(unit) < ask.accelerators:
        return None
    spot = cells.fill_unit(unit, ask.accelerators)
    victims = find_victims(spot, situation.loans)
    return Placed(spot, (model.Claim(need.index, spot),), victims)


def _claim_many(ask: Ask, situation: Situation) -> Placed | Waits:
    """Claim parts of several cells for a job that is adjacent nowhere."""
    parts = claims.split_over_cells(
        situation.needs, ask.customer, ask.accelerators
    )
    by_index = {
        need.index: need
        for need in situation.needs
        if need.customer == ask.customer
    }
    taken = []
    for index, size in (parts or {}).items():
        need = by_index[index]
        if homes.find_key(need) not in situation.bound:
            return _wait_for_home(ask)
        unit = _open_home(situation, need, with_lent=True)
        taken.append(model.Claim(index, cells.fill_unit(unit, size)))
    spot = homes.merge([claim.spot for claim in taken])
    victims = find_victims(spot, situation.loans)
    return Placed(spot, tuple(taken), victims)


def _wait_for_home(ask: Ask) -> Waits:
    return Waits(
        WaitReason.GUARANTEE_IN_THE_WAY,
        f"{ask.customer}'s cell has no place; workers are missing or unknown",
    )


def _open_home(
    situation: Situation, need: cells.Need, *, with_lent: bool
) -> list[cells.Space]:
    """Return the unclaimed part of a cell's home as spaces."""
    home = situation.bound[homes.find_key(need)]
    floor = situation.floor if with_lent else _keep_free(situation.floor)
    return _limit(homes.find_unclaimed(need, home), floor)


def _limit(spot: cells.Spot, floor: cells.Floor) -> list[cells.Space]:
    """Return the spaces of a floor, limited to a spot."""
    return [
        cells.Space(
            member.worker,
            floor[member.worker].rack,
            floor[member.worker].free & member.mask,
            floor[member.worker].lent & member.mask,
        )
        for member in spot
    ]


def find_victims(
    spot: cells.Spot, loans: Iterable[claims.Holding]
) -> tuple[str, ...]:
    """Return the jobs whose loans overlap `spot`."""
    masks = {member.worker: member.mask for member in spot}
    return tuple(
        loan.job_id
        for loan in loans
        if any(masks.get(m.worker, 0) & m.mask for m in loan.spot)
    )


def _keep_free(floor: cells.Floor) -> cells.Floor:
    """Return the floor as if lent accelerators were taken."""
    return {
        name: cells.Space(name, space.rack, space.free)
        for name, space in floor.items()
    }


def _list_spots(ask: Ask, floor: cells.Floor) -> Iterator[cells.Spot]:
    """Yield spots for a job, the one that breaks up least first."""
    units = [
        unit
        for unit in cells.group_spaces(floor, ask.level)
        if cells.count_usable(unit) >= ask.accelerators
    ]
    if ask.level is not Level.WORKER:
        # A job that one worker can hold should not span several.
        whole = cells.group_spaces(floor, Level.WORKER)
        units += [u for u in whole if cells.count_usable(u) >= ask.accelerators]
    rack_sizes = _count_racks(floor)
    units.sort(key=lambda unit: _rate(unit, ask.accelerators, rack_sizes))
    for unit in units[:_CANDIDATES]:
        yield cells.fill_unit(unit, ask.accelerators)


def _count_racks(floor: cells.Floor) -> dict[str, int]:
    racks = cells.group_spaces(floor, Level.RACK)
    return {unit[0].rack: cells.count_usable(unit) for unit in racks}


def _rate(
    unit: list[cells.Space], size: int, rack_sizes: dict[str, int]
) -> tuple[int, int, int, str]:
    """Order units: fewest loans broken, fewest members, fullest rack."""
    broken = max(0, size - cells.count_free(unit))
    spare = cells.count_usable(unit) - size
    return (
        broken,
        min(len(unit), size),
        spare * 1000 + rack_sizes[unit[0].rack],
        unit[0].worker,
    )


def _describe_lack(ask: Ask, free: cells.Floor) -> str:
    units = cells.group_spaces(free, ask.level)
    largest = max(map(cells.count_usable, units), default=0)
    return (
        f"needs {ask.accelerators} free accelerators in one {ask.level}; "
        f"the largest has {largest}"
    )

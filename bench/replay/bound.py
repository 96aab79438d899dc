"""What no policy can exceed on a replayed day.

The pool is taken as one fluid: work may be split, moved and interrupted at no
cost, racks and gangs don't matter, nothing fails, and all that will come is
known. A job keeps one limit of its own: it can't run faster than all its tasks
at once. Slots of a second have prices; by weak duality any prices give an
upper bound (S. Boyd and L. Vandenberghe, Convex Optimization, 2004, section
5.2.2), and prices that fall where room is left and rise where it is short bring
the bound down.
"""

from collections.abc import Callable
import dataclasses
import math

from bench.replay import load as loads
from crocusrouter import work

_SLOT_S = 1.0
_LATE_FACTOR = 3.0
_ROUNDS = 150
_FIRST_STEP = 0.5

Measure = Callable[[work.Room], float]
# A bound by each of these holds; the lowest one counts.
_MEASURES: tuple[Measure, ...] = (
    lambda room: room.accelerators / 8,
    lambda room: room.cpu / 32_000,
    lambda room: (room.accelerators / 8 + room.cpu / 32_000) / 2,
)


@dataclasses.dataclass(frozen=True)
class _Chance:
    """One way for a job to earn: all its work within a window.

    Attributes:
        value: What it earns.
        first: The window's first slot.
        last: The slot after its last one.
    """

    value: float
    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class _Demand:
    """A job as the fluid sees it.

    Attributes:
        rate: Room that all its tasks take at once.
        slots: For how many slots they would need it, the fastest worker's
            speed taken.
        longest: Slots that its longest task takes there.
        chances: In time, and late.
    """

    rate: float
    slots: float
    longest: float
    chances: tuple[_Chance, ...]


def measure_bound(
    site: loads.Site,
    arrivals: list[loads.Arrival],
    troubles: list[loads.Trouble],
    seed: int,
    length_s: float,
) -> float:
    """Return the share of what is owed that no policy can exceed.

    Args:
        site: Workers and kinds.
        arrivals: What comes.
        troubles: What goes wrong; only slow and missing workers count.
        seed: The day's, which draws how fast workers are.
        length_s: Seconds that are played, the calm at the end included.
    """
    owed = [a for a in arrivals if a.cancelled_at is None and not a.poisoned]
    total = sum(arrival.value for arrival in owed)
    if not total:
        return 1.0
    # Jobs that can never be done earn when they are shown as failed.
    poisoned = [a for a in arrivals if a.cancelled_at is None and a.poisoned]
    easy = sum(arrival.value for arrival in poisoned)
    best = min(
        _minimize(
            [_describe(site, arrival, measure, length_s) for arrival in owed],
            _list_room(site, troubles, seed, measure, length_s),
        )
        for measure in _MEASURES
    )
    return min(1.0, (best + easy) / (total + easy))


def _describe(
    site: loads.Site,
    arrival: loads.Arrival,
    measure: Measure,
    length_s: float,
) -> _Demand:
    [step] = arrival.job.steps
    fastest = max(site.speeds)
    mean_s = sum(arrival.task_s) / len(arrival.task_s)
    late = arrival.value * arrival.kind.late_worth / arrival.kind.worth
    ends = (arrival.objective_s, _LATE_FACTOR * arrival.objective_s)
    chances = tuple(
        _Chance(
            value,
            math.floor(arrival.at / _SLOT_S),
            math.ceil(min(arrival.at + end_s, length_s) / _SLOT_S),
        )
        for value, end_s in zip((arrival.value, late), ends, strict=True)
    )
    return _Demand(
        measure(step.room) * step.count,
        mean_s / fastest / _SLOT_S,
        max(arrival.task_s) / fastest / _SLOT_S,
        chances,
    )


def _list_room(
    site: loads.Site,
    troubles: list[loads.Trouble],
    seed: int,
    measure: Measure,
    length_s: float,
) -> list[float]:
    """Return the room of the pool in each slot, fast workers counted as more.

    A worker counts by its best moment in the slot.
    """
    fastest = max(site.speeds)
    room = []
    for slot in range(math.ceil(length_s / _SLOT_S)):
        total = 0.0
        for name in loads.name_workers(site):
            speed = loads.draw_speed(site, seed, name) / fastest
            for trouble in troubles:
                if trouble.worker == name:
                    speed *= _find_share(trouble, slot)
            total += speed
        room.append(total * measure(site.room))
    return room


def _find_share(trouble: loads.Trouble, slot: int) -> float:
    """Return how much of a worker is there in a slot, at most."""
    begin, end = slot * _SLOT_S, (slot + 1) * _SLOT_S
    if trouble.leaves:
        gone = trouble.end <= begin and end <= trouble.replaced_at
        return 0.0 if gone else 1.0
    whole = trouble.start <= begin and end <= trouble.end
    return trouble.speed if whole else 1.0


def _minimize(demands: list[_Demand], room: list[float]) -> float:
    """Return the lowest bound that a subgradient method finds."""
    # What a second of room is worth on the whole. Small jobs are worth many
    # times as much; steps of that size never settle.
    scale = sum(d.chances[0].value for d in demands) / sum(
        d.rate * d.slots for d in demands
    )
    prices = [0.0] * len(room)
    best = math.inf
    for number in range(_ROUNDS):
        used = [0.0] * len(room)
        bound = sum(map(_multiply, prices, room))
        for demand in demands:
            bound += _take_best(demand, prices, used)
        best = min(best, bound)
        step = scale * _FIRST_STEP / math.sqrt(number + 1)
        prices = [
            max(0.0, price + step * (taken - has) / has) if has else scale
            for price, taken, has in zip(prices, used, room, strict=True)
        ]
    return best


def _multiply(price: float, has: float) -> float:
    return price * has


def _take_best(
    demand: _Demand, prices: list[float], used: list[float]
) -> float:
    """Let a job buy the cheapest seconds of its best chance.

    Returns:
        What it earns beyond their price; 0 if none pays.
    """
    best, bought = 0.0, []
    for chance in demand.chances:
        if chance.last - chance.first < demand.longest:
            continue
        slots = sorted(range(chance.first, chance.last), key=prices.__getitem__)
        taken = _split(slots, demand.slots)
        cost = demand.rate * sum(prices[slot] * part for slot, part in taken)
        if chance.value - cost > best:
            best, bought = chance.value - cost, taken
    for slot, part in bought:
        used[slot] += demand.rate * part
    return best


def _split(slots: list[int], needed: float) -> list[tuple[int, float]]:
    """Return the first slots, with how much of each is needed.

    >>> _split([4, 2, 3], 1.5)
    [(4, 1.0), (2, 0.5)]
    """
    taken = []
    for slot in slots:
        if needed <= 0:
            break
        part = min(1.0, needed)
        taken.append((slot, part))
        needed -= part
    return taken

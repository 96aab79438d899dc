"""Upper bound of the share of value that any policy can earn on a day.

The problem is relaxed to one divisible capacity: work may be split, moved and
interrupted at no cost, racks and gangs don't matter, nothing fails, and all
future jobs are known. One limit per job remains: it can't run faster than with
all its tasks at once. Each time slot of one second has a price. By weak duality
any prices give an upper bound (S. Boyd and L. Vandenberghe, Convex
Optimization, 2004, section 5.2.2). Lowering the price of slots with unused
capacity and raising it for overbooked slots tightens the bound.
"""

from collections.abc import Callable
import dataclasses
import math

from bench.replay import load as loads
from crocusrouter import work

_SLOT_S = 1.0
_LATE_FACTOR = 3.0
_ITERATIONS = 150
_FIRST_STEP = 0.5

CapacityMeasure = Callable[[work.Room], float]
# Each measure of capacity gives a valid bound; the lowest bound is used.
_MEASURES: tuple[CapacityMeasure, ...] = (
    lambda room: room.accelerators / 8,
    lambda room: room.cpu / 32_000,
    lambda room: (room.accelerators / 8 + room.cpu / 32_000) / 2,
)


@dataclasses.dataclass(frozen=True)
class _Window:
    """A value that a job earns if all its work is done within a window.

    Attributes:
        value: Value that the job earns.
        first: First slot of the window.
        end: Slot after the last slot of the window.
    """

    value: float
    first: int
    end: int


@dataclasses.dataclass(frozen=True)
class _Demand:
    """Capacity that a job needs in the relaxed problem.

    Attributes:
        rate: Capacity that all its tasks use at once.
        slots: Number of slots for which they use it on the fastest worker.
        longest: Number of slots of its longest task on the fastest worker.
        windows: The windows for ending in time and for ending late.
    """

    rate: float
    slots: float
    longest: float
    windows: tuple[_Window, ...]


def measure_bound(
    site: loads.Site,
    arrivals: list[loads.Arrival],
    disruptions: list[loads.Disruption],
    seed: int,
    length_s: float,
) -> float:
    """Return an upper bound of the share of value that any policy earns.

    Args:
        site: Workers and kinds of jobs.
        arrivals: Jobs that arrive.
        disruptions: Disruptions; only slow and missing workers count.
        seed: Seed of the day, from which worker speeds are drawn.
        length_s: Simulated seconds, including the idle period at the end.
    """
    finishable = [
        a for a in arrivals if a.cancelled_at is None and not a.poisoned
    ]
    finishable_value = sum(arrival.value for arrival in finishable)
    if not finishable_value:
        return 1.0
    # Poisoned jobs earn their value once they are reported as failed.
    poisoned = [a for a in arrivals if a.cancelled_at is None and a.poisoned]
    poisoned_value = sum(arrival.value for arrival in poisoned)
    best = min(
        _minimize(
            [
                _build_demand(site, arrival, measure, length_s)
                for arrival in finishable
            ],
            _list_capacity(site, disruptions, seed, measure, length_s),
        )
        for measure in _MEASURES
    )
    return min(
        1.0, (best + poisoned_value) / (finishable_value + poisoned_value)
    )


def _build_demand(
    site: loads.Site,
    arrival: loads.Arrival,
    measure: CapacityMeasure,
    length_s: float,
) -> _Demand:
    [step] = arrival.job.steps
    fastest = max(site.speeds)
    mean_s = sum(arrival.task_s) / len(arrival.task_s)
    late_value = (
        arrival.value * arrival.kind.value_late / arrival.kind.value_on_time
    )
    deadlines_s = (arrival.objective_s, _LATE_FACTOR * arrival.objective_s)
    windows = tuple(
        _Window(
            value,
            math.floor(arrival.at / _SLOT_S),
            math.ceil(min(arrival.at + deadline_s, length_s) / _SLOT_S),
        )
        for value, deadline_s in zip(
            (arrival.value, late_value), deadlines_s, strict=True
        )
    )
    return _Demand(
        measure(step.room) * step.count,
        mean_s / fastest / _SLOT_S,
        max(arrival.task_s) / fastest / _SLOT_S,
        windows,
    )


def _list_capacity(
    site: loads.Site,
    disruptions: list[loads.Disruption],
    seed: int,
    measure: CapacityMeasure,
    length_s: float,
) -> list[float]:
    """Return the capacity of the pool in each slot, weighted by speed.

    A worker counts with its highest speed within the slot.
    """
    fastest = max(site.speeds)
    capacities = []
    for slot in range(math.ceil(length_s / _SLOT_S)):
        worker_sum = 0.0
        for name in loads.name_workers(site):
            speed = loads.draw_speed(site, seed, name) / fastest
            for disruption in disruptions:
                if disruption.worker == name:
                    speed *= _find_speed_share(disruption, slot)
            worker_sum += speed
        capacities.append(worker_sum * measure(site.room))
    return capacities


def _find_speed_share(disruption: loads.Disruption, slot: int) -> float:
    """Return the highest share of its speed that a worker has in a slot."""
    begin, end = slot * _SLOT_S, (slot + 1) * _SLOT_S
    if disruption.leaves:
        is_absent = disruption.end <= begin and end <= disruption.replaced_at
        return 0.0 if is_absent else 1.0
    lasts_whole_slot = disruption.start <= begin and end <= disruption.end
    return disruption.speed if lasts_whole_slot else 1.0


def _minimize(demands: list[_Demand], capacities: list[float]) -> float:
    """Return the lowest bound that a subgradient method finds."""
    # Mean value of a second of capacity. Scaling by the value of small jobs,
    # which is many times higher, would give steps that never converge.
    scale = sum(d.windows[0].value for d in demands) / sum(
        d.rate * d.slots for d in demands
    )
    prices = [0.0] * len(capacities)
    best = math.inf
    for number in range(_ITERATIONS):
        used = [0.0] * len(capacities)
        bound = sum(map(_compute_cost, prices, capacities))
        for demand in demands:
            bound += _book_best_window(demand, prices, used)
        best = min(best, bound)
        step = scale * _FIRST_STEP / math.sqrt(number + 1)
        prices = [
            max(0.0, price + step * (used_capacity - available) / available)
            if available
            else scale
            for price, used_capacity, available in zip(
                prices, used, capacities, strict=True
            )
        ]
    return best


def _compute_cost(price: float, available: float) -> float:
    return price * available


def _book_best_window(
    demand: _Demand, prices: list[float], used: list[float]
) -> float:
    """Book the cheapest slots of a job's most profitable window in `used`.

    Returns:
        The job's value minus the price of the slots; 0 if no window pays off.
    """
    best, booked = 0.0, []
    for window in demand.windows:
        if window.end - window.first < demand.longest:
            continue
        slots = sorted(range(window.first, window.end), key=prices.__getitem__)
        parts = _fill_slots(slots, demand.slots)
        cost = demand.rate * sum(prices[slot] * part for slot, part in parts)
        if window.value - cost > best:
            best, booked = window.value - cost, parts
    for slot, part in booked:
        used[slot] += demand.rate * part
    return best


def _fill_slots(slots: list[int], needed: float) -> list[tuple[int, float]]:
    """Return the slots to use, each with the part of the slot needed.

    >>> _fill_slots([4, 2, 3], 1.5)
    [(4, 1.0), (2, 0.5)]
    """
    parts = []
    for slot in slots:
        if needed <= 0:
            break
        part = min(1.0, needed)
        parts.append((slot, part))
        needed -= part
    return parts

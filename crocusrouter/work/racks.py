"""Capacity of whole racks, to decide whether to wait for room in one rack."""

import collections
import functools

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking

# Share of a pool's accelerators in use. Above it, room that a step holds for
# three times as long is missing to others.
_CROWDED_SHARE = 0.5


class Racks:
    """The racks of a pool, as they are during one plan."""

    def __init__(self, pool_state: pool_states.PoolState) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
        """
        self._pool_state = pool_state
        self._can_hold_by_step: dict[model.Step, bool] = {}

    @functools.cached_property
    def _workers_by_rack(self) -> dict[str, list[tracking.Worker]]:
        """Workers by rack; computed only when a step waits for a rack."""
        workers_by_rack = collections.defaultdict(list)
        for worker in self._pool_state.workers.values():
            if (
                worker.listed
                and not worker.was_draining
                and not worker.closed
                and not worker.replaced
            ):
                workers_by_rack[packing.find_rack(worker.entry.labels)].append(
                    worker
                )
        return workers_by_rack

    @functools.cached_property
    def is_crowded(self) -> bool:
        """Whether more than half of the pool's accelerators are in use."""
        accelerators = [
            (worker.entry.room.accelerators, worker.used.accelerators)
            for rack in self._workers_by_rack.values()
            for worker in rack
        ]
        total = sum(
            offered_accelerators for offered_accelerators, _ in accelerators
        )
        return (
            sum(used_accelerators for _, used_accelerators in accelerators)
            > _CROWDED_SHARE * total
        )

    @functools.cached_property
    def _closed_racks(self) -> frozenset[str]:
        """Racks all of whose workers are in closed data centres."""
        racks_by_closed: dict[bool, set[str]] = {True: set(), False: set()}
        for worker in self._pool_state.workers.values():
            if worker.listed:
                racks_by_closed[worker.closed].add(
                    packing.find_rack(worker.entry.labels)
                )
        return frozenset(racks_by_closed[True] - racks_by_closed[False])

    def is_closed(self, rack: str) -> bool:
        """Tell whether a rack is in a data centre closed to new work."""
        return rack in self._closed_racks

    def can_hold(self, step: model.Step) -> bool:
        """Tell whether a step fits into one rack if that rack is empty."""
        if step not in self._can_hold_by_step:
            workers_by_rack = self._workers_by_rack
            if step.rack:
                workers_by_rack = {
                    step.rack: self._workers_by_rack.get(step.rack, [])
                }
            self._can_hold_by_step[step] = any(
                _count_tasks(rack, step) >= (step.count if step.gang else 1)
                for rack in workers_by_rack.values()
            )
        return self._can_hold_by_step[step]


def _count_tasks(rack: list[tracking.Worker], step: model.Step) -> int:
    """Return how many tasks of a step fit into a rack that is empty."""
    total = 0
    for worker in rack:
        if step.label and step.label not in worker.entry.labels:
            continue
        slots = worker.entry.room.count(step.charge)
        total += min(slots, step.per_worker) if step.per_worker else slots
    return total

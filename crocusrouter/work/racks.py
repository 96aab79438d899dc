"""What whole racks hold, and whether waiting for one can pay."""

import collections
import functools

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs

# Share of a pool's accelerators. With more than half of them taken, what a step
# holds for three times as long is missing to others.
_CROWDED_SHARE = 0.5


class Racks:
    """The racks of a pool as they are during one plan."""

    def __init__(self, pool_state: pool_states.Book) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
        """
        self._pool_state = pool_state
        self._known: dict[model.Step, bool] = {}

    @functools.cached_property
    def _workers(self) -> dict[str, list[runs.Worker]]:
        """Workers by rack; looked for only when a step waits for a rack."""
        found = collections.defaultdict(list)
        for held in self._pool_state.workers.values():
            if held.listed and not held.sealed and not held.gone:
                found[packing.find_rack(held.entry.labels)].append(held)
        return found

    @functools.cached_property
    def is_crowded(self) -> bool:
        """Whether more than half of the pool's accelerators are taken."""
        rooms = [
            (held.entry.room.accelerators, held.used.accelerators)
            for rack in self._workers.values()
            for held in rack
        ]
        total = sum(has for has, _ in rooms)
        return sum(used for _, used in rooms) > _CROWDED_SHARE * total

    def may_hold(self, step: model.Step) -> bool:
        """Tell whether all tasks of a step fit into one rack that is empty."""
        if step not in self._known:
            chosen = self._workers
            if step.rack:
                chosen = {step.rack: self._workers.get(step.rack, [])}
            self._known[step] = any(
                _count_tasks(rack, step) >= (step.count if step.gang else 1)
                for rack in chosen.values()
            )
        return self._known[step]


def _count_tasks(rack: list[runs.Worker], step: model.Step) -> int:
    """Return how many tasks of a step an empty rack takes."""
    total = 0
    for held in rack:
        if step.label and step.label not in held.entry.labels:
            continue
        fits = held.entry.room.count(step.charge)
        total += min(fits, step.per_worker) if step.per_worker else fits
    return total

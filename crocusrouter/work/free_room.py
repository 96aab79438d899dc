"""Room of a pool that no run takes, whoever may use it."""

from collections.abc import Iterable
import functools

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states


class FreeRoom:
    """Room that is left once a plan's tasks have started.

    Room counts although it is reserved, and on workers that take no tasks for
    a while. A job that waits beside it stands still for its callers.
    """

    def __init__(
        self,
        pool_state: pool_states.PoolState,
        starts: Iterable[tuple[model.StepKey, Iterable[str]]],
    ) -> None:
        """Prepare to count room.

        Args:
            pool_state: State of the pool; not changed.
            starts: Steps of which tasks start, with the worker of each task.
        """
        self._pool_state = pool_state
        self._starts = list(starts)
        self._slot_counts: dict[tuple[model.Room, str, int], int] = {}

    @functools.cached_property
    def _spaces(self) -> list[packing.Space]:
        spaces = {
            worker_id: packing.Space(worker_id, "", worker.free)
            for worker_id, worker in self._pool_state.workers.items()
            if worker.may_take_tasks_later
            and worker.silent_since is None
            and not worker.evacuating
        }
        for key, worker_ids in self._starts:
            tracked_step = self._pool_state.find_tracked_step(key)
            assert tracked_step is not None
            for worker_id in worker_ids:
                spaces[worker_id].take(tracked_step.step.charge)
        return list(spaces.values())

    def count_slots(self, step: model.Step) -> int:
        """Return how many tasks of a step fit; kept for equal needs."""
        key = step.charge, step.label, step.per_worker
        if key not in self._slot_counts:
            spaces = (
                space
                for space in self._spaces
                if self._has_label(space.worker, step.label)
            )
            self._slot_counts[key] = packing.count_slots(spaces, step)
        return self._slot_counts[key]

    def _has_label(self, worker_id: str, label: str) -> bool:
        return (
            not label
            or label in self._pool_state.workers[worker_id].entry.labels
        )

"""Choice of the workers on which the tasks of a step start.

The choice depends on the workers' labels and free room, on where the step has
failed, on its racks, and on the permits of advised jobs.
"""

from collections.abc import Callable

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import planner_policy as policies
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import racks
from crocusrouter.work import waiting_steps


class _ExhaustedRooms:
    """Rooms that no worker offers any more.

    Free room only shrinks while a plan is made, so a room that no worker
    offered is not looked for again. Under load this ends the search for most
    steps.
    """

    def __init__(self) -> None:
        self._exhausted: set[tuple[model.Room, str]] = set()

    def note(self, waiting_step: waiting_steps.WaitingStep) -> None:
        """Record that no worker has room for one task of a step.

        Nothing is recorded for a step with restrictions that don't apply to
        others.
        """
        if (
            not waiting_step.tracked_step.avoided_workers
            and not waiting_step.tracked_job.job.advised
        ):
            step = waiting_step.tracked_step.step
            self._exhausted.add((step.charge, step.label))

    def is_known(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether no worker can have room for one task of a step."""
        step = waiting_step.tracked_step.step
        return (step.charge, step.label) in self._exhausted


class WorkerChoice:
    """Chooses workers for the steps of one plan.

    Attributes:
        spaces: Free room of the workers that may start tasks, by worker id; the
            plan takes room from it.
        held_workers: Workers that later steps must not use.
    """

    def __init__(
        self,
        pool_state: pool_states.PoolState,
        spaces: dict[str, packing.Space],
        policy: policies.PlannerPolicy,
        now: float,
        is_guaranteed: Callable[[waiting_steps.WaitingStep], bool],
    ) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
            spaces: Free room of the workers that may start tasks.
            policy: Weights and limits of the planner.
            now: Steady time in seconds.
            is_guaranteed: Tells whether a step is covered by its customer's
                guarantee.
        """
        self.spaces = spaces
        self.held_workers: set[str] = set()
        self._pool_state = pool_state
        self._policy = policy
        self._now = now
        self._is_guaranteed = is_guaranteed
        self._racks = racks.Racks(pool_state)
        self._exhausted_rooms = _ExhaustedRooms()

    def list_allowed(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        """Return the workers that may run a step.

        Workers on which the step failed are left out if the others can hold it.
        """
        tracked_step = waiting_step.tracked_step
        allowed_spaces = [
            space
            for space in self.spaces.values()
            if space.worker not in self.held_workers
            and self._has_label(space.worker, tracked_step.step.label)
            and self._is_permitted(waiting_step, space.worker)
        ]
        preferred_spaces = [
            space
            for space in allowed_spaces
            if space.worker not in tracked_step.avoided_workers
        ]
        if self._could_rest_hold(waiting_step):
            return preferred_spaces or allowed_spaces
        return allowed_spaces

    def _could_rest_hold(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether workers on which a step has not failed could hold it.

        Workers that are full or reserved for a while count as if they were
        empty.
        """
        tracked_step = waiting_step.tracked_step
        if not tracked_step.avoided_workers:
            return True
        step = tracked_step.step
        limit = step.per_worker or step.count
        slot_count = sum(
            min(limit, worker.entry.room.count(step.charge))
            for worker_id, worker in self._pool_state.workers.items()
            if worker_id not in tracked_step.avoided_workers
            and worker.may_take_tasks_later
            and self._has_label(worker_id, step.label)
            and self._is_permitted(waiting_step, worker_id)
        )
        return slot_count >= (step.count if step.gang else 1)

    def list_fitting(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        """Return the allowed spaces with room for at least one task."""
        charge = waiting_step.tracked_step.step.charge
        if self._exhausted_rooms.is_known(waiting_step):
            return []
        fitting_spaces = [
            space
            for space in self.list_allowed(waiting_step)
            if space.free.holds(charge)
        ]
        if not fitting_spaces:
            self._exhausted_rooms.note(waiting_step)
        return fitting_spaces

    def _has_label(self, worker_id: str, label: str) -> bool:
        return (
            not label
            or label in self._pool_state.workers[worker_id].entry.labels
        )

    def _is_permitted(
        self, waiting_step: waiting_steps.WaitingStep, worker_id: str
    ) -> bool:
        if not waiting_step.tracked_job.job.advised:
            return True
        return bool(
            waiting_step.tracked_step.permits.find_ticket(worker_id, self._now)
        )

    def count_free_slots(
        self, waiting_step: waiting_steps.WaitingStep, space: packing.Space
    ) -> int:
        """Return how many more tasks of the step a worker may take."""
        limit = waiting_step.tracked_step.step.per_worker
        if not limit:
            return waiting_step.tracked_step.step.count
        running_count = sum(
            1
            for key in self._pool_state.workers[space.worker].runs
            if model.get_step_key(key) == waiting_step.tracked_step.key
        )
        return max(
            0,
            limit
            - running_count
            - space.count_tasks(waiting_step.tracked_step.key),
        )

    def choose_spaces(
        self, waiting_step: waiting_steps.WaitingStep, count: int
    ) -> list[packing.Space]:
        """Return a space for each task that fits, the tightest fit first."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self.count_free_slots(waiting_step, space)

        spaces = self.list_fitting(waiting_step)
        if not step.rack:
            return packing.fill_some(spaces, step.charge, count, count_slots)
        local_spaces = [space for space in spaces if space.rack == step.rack]
        chosen = packing.fill_some(
            local_spaces, step.charge, count, count_slots
        )
        if len(chosen) < count and self.may_leave_rack(waiting_step):
            remote_spaces = [
                space for space in spaces if space.rack != step.rack
            ]
            remaining = count - len(chosen)
            chosen += packing.fill_some(
                remote_spaces, step.charge, remaining, count_slots
            )
        return chosen

    def may_leave_rack(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step has waited long enough for its rack.

        A rack that operators have closed is not waited for: the closure has no
        known end.
        """
        if self._racks.is_closed(waiting_step.tracked_step.step.rack):
            return True
        waiting_since = waiting_step.tracked_step.waiting_since
        waited_s = (
            self._now - waiting_since if waiting_since is not None else 0.0
        )
        step = waiting_step.tracked_step.step
        patience_factor = self._policy.idle_rack_patience
        if self._racks.is_crowded and self._racks.can_hold(step):
            patience_factor = self._policy.rack_patience
        patience_s = patience_factor * step.expected_s
        if self._is_guaranteed(waiting_step):
            patience_s = min(
                patience_s, self._policy.guaranteed_rack_patience_s
            )
        return waited_s >= patience_s

    def choose_gang(
        self,
        waiting_step: waiting_steps.WaitingStep,
        spaces: list[packing.Space],
    ) -> list[packing.Space] | None:
        """Return a space for each gang member; None if they don't all fit."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self.count_free_slots(waiting_step, space)

        needs_rack = step.one_rack or bool(step.rack)
        spaces_by_rack = packing.group_by_rack(spaces)
        if step.rack and step.rack in spaces_by_rack:
            spaces_by_rack = {step.rack: spaces_by_rack[step.rack]}
        rack_spaces = packing.choose_rack(
            list(spaces_by_rack.values()), step.charge, step.count, count_slots
        )
        if rack_spaces is not None:
            return rack_spaces
        if needs_rack and not self.may_leave_rack(waiting_step):
            return None
        return packing.fill(spaces, step.charge, step.count, count_slots)

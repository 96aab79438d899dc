"""Choice of the workers on which the tasks of a step start.

The choice depends on the workers' labels and free room, on where the step has
failed, on its racks, and on the permits of advised jobs. In a pool with fast
and slow workers, groups of workers of like speed are tried one after another.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import planner_policy as policies
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import racks
from crocusrouter.work import speeds
from crocusrouter.work import waiting_steps


class Group(enum.Enum):
    """Workers among which a step is placed."""

    ALL = "all"
    FAST = "fast"
    OTHERS = "others"  # all that are not in the fast group


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One way of placing a step.

    Attributes:
        group: Workers that may be used.
        stops: Whether runs are stopped to make room; otherwise only free room
            is used.
        leaves_rack: Whether tasks that belong in one rack, or near their data,
            may run elsewhere, where they take several times as long.
        uses_slowed: Whether workers that are slowed for a while may be used.
    """

    group: Group
    stops: bool
    leaves_rack: bool
    uses_slowed: bool = False


def order_attempts(
    *,
    is_split: bool,
    has_slowed: bool,
    needs_fast: bool,
    needs_rack: bool,
    may_leave_rack: bool,
) -> list[Attempt]:
    """Return the ways of placing a step, the preferred one first.

    Free room in any group goes before stopping runs, so that a step starts at
    once wherever it can. A rack goes before a group: leaving a rack costs a
    factor of three, the slow group usually less. Slowed workers come last.

    Args:
        is_split: Whether the pool has a fast and a slow group.
        has_slowed: Whether some of its workers are slowed for a while.
        needs_fast: Whether the step needs the fast group.
        needs_rack: Whether the step belongs in one rack or near its data.
        may_leave_rack: Whether it has waited long enough for its rack.
    """
    if not is_split:
        return [
            Attempt(Group.ALL, stops, may_leave_rack) for stops in (False, True)
        ]
    groups = [Group.FAST, Group.OTHERS, Group.ALL]
    if not needs_fast:
        groups = [Group.OTHERS, Group.FAST, Group.ALL]
    if needs_rack and may_leave_rack:
        rack_choices = [False, True]
    else:
        rack_choices = [may_leave_rack]
    attempts = [
        Attempt(group, stops, leaves_rack)
        for stops in (False, True)
        for leaves_rack in rack_choices
        for group in groups
    ]
    if has_slowed:
        attempts += [
            Attempt(Group.ALL, stops, may_leave_rack, uses_slowed=True)
            for stops in (False, True)
        ]
    return attempts


def describe_group(
    groups: speeds.SpeedGroups, worker_ids: Iterable[str]
) -> dict[str, str]:
    """Return the log field that tells on which group a step starts.

    Returns:
        `speeds`: "fast" if all workers are in the fast group, "other" if none
        is, else "mixed"; nothing if the pool has no groups.
    """
    if not groups.is_split:
        return {}
    are_fast = {worker_id in groups.fast for worker_id in worker_ids}
    if len(are_fast) > 1:
        return {"speeds": "mixed"}
    return {"speeds": "fast" if True in are_fast else "other"}


class _ExhaustedRooms:
    """Rooms that no worker offers any more.

    Free room only shrinks while a plan is made, so a room that no worker
    offered is not looked for again. Under load this ends the search for most
    steps.
    """

    def __init__(self) -> None:
        self._exhausted: set[tuple[model.Room, str, bool]] = set()

    def note(
        self, waiting_step: waiting_steps.WaitingStep, *, uses_slowed: bool
    ) -> None:
        """Record that no worker has room for one task of a step.

        Nothing is recorded for a step with restrictions that don't apply to
        others.

        Args:
            waiting_step: The step.
            uses_slowed: Whether slowed workers were among the workers.
        """
        if (
            not waiting_step.tracked_step.avoided_workers
            and not waiting_step.tracked_job.job.advised
        ):
            step = waiting_step.tracked_step.step
            self._exhausted.add((step.charge, step.label, uses_slowed))

    def is_known(
        self, waiting_step: waiting_steps.WaitingStep, *, uses_slowed: bool
    ) -> bool:
        """Tell whether no worker can have room for one task of a step."""
        step = waiting_step.tracked_step.step
        return (step.charge, step.label, uses_slowed) in self._exhausted


class WorkerChoice:
    """Chooses workers for the steps of one plan.

    Attributes:
        spaces: Free room of the workers that may start tasks, by worker id; the
            plan takes room from it.
        held_workers: Workers that later steps must not use.
        groups: Fast and slow workers.
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
        self._allowed_spaces: list[packing.Space] = []
        self._allowed_for: tuple[model.StepKey, int, bool] | None = None
        self._fallback_slots: dict[tuple[model.Room, str, int], int] = {}
        self._could_hold_by_step: dict[model.Step, bool] = {}
        self.groups = pool_state.speeds.find_groups()
        self._slowed_workers: frozenset[str] = frozenset()
        if self.groups.is_split:
            self._slowed_workers = frozenset(
                worker_id
                for worker_id in pool_state.workers
                if pool_state.speeds.is_slowed(worker_id, now)
            )

    @property
    def has_slowed(self) -> bool:
        """Whether some workers are slowed for a while."""
        return bool(self._slowed_workers)

    def list_allowed(
        self,
        waiting_step: waiting_steps.WaitingStep,
        *,
        uses_slowed: bool = False,
    ) -> list[packing.Space]:
        """Return the workers that may run a step.

        Workers on which the step failed are left out if the others can hold it.
        The result is kept for the further attempts to place the same step.

        Args:
            waiting_step: The step.
            uses_slowed: Whether to include workers that are slowed for a while.
        """
        key = (
            waiting_step.tracked_step.key,
            len(self.held_workers),
            uses_slowed,
        )
        if self._allowed_for != key:
            self._allowed_spaces = self._find_allowed(waiting_step)
            if not uses_slowed and self._slowed_workers:
                self._allowed_spaces = [
                    space
                    for space in self._allowed_spaces
                    if space.worker not in self._slowed_workers
                ]
            self._allowed_for = key
        return self._allowed_spaces

    def list_usable(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        """Return the workers that may run a step, preferred or not."""
        label = waiting_step.tracked_step.step.label
        return [
            space
            for space in self.spaces.values()
            if self._has_label(space.worker, label)
            and self._is_permitted(waiting_step, space.worker)
        ]

    def may_have_fallback(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> bool:
        """Tell whether a step may fit if it may use any worker.

        The count is kept for all steps with equal needs. Room only shrinks, so
        there may be less by now.
        """
        step = waiting_step.tracked_step.step
        if waiting_step.tracked_job.job.advised:
            return True
        key = step.charge, step.label, step.per_worker
        if key not in self._fallback_slots:
            self._fallback_slots[key] = packing.count_slots(
                self.list_usable(waiting_step), step
            )
        return self._fallback_slots[key] >= (step.count if step.gang else 1)

    def list_fallbacks(
        self,
        waiting_step: waiting_steps.WaitingStep,
        excluded_workers: Container[str],
    ) -> Iterator[list[packing.Space]]:
        """Yield spaces for a step that must start now, the better ones first.

        First those that it may always use, then those that other steps hold,
        then workers on which it has failed too.

        Args:
            waiting_step: The step.
            excluded_workers: Workers that it must not use.
        """
        usable_spaces = [
            space
            for space in self.list_usable(waiting_step)
            if space.worker not in excluded_workers
            and space.free.holds(waiting_step.tracked_step.step.charge)
        ]
        avoided_workers = waiting_step.tracked_step.avoided_workers
        yield [
            space
            for space in usable_spaces
            if space.worker not in self.held_workers
            and space.worker not in avoided_workers
        ]
        yield [
            space
            for space in usable_spaces
            if space.worker not in avoided_workers
        ]
        yield usable_spaces

    def _find_allowed(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        tracked_step = waiting_step.tracked_step
        allowed_spaces = [
            space
            for space in self.list_usable(waiting_step)
            if space.worker not in self.held_workers
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

    def could_hold(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step could start if all workers were empty."""
        step = waiting_step.tracked_step.step
        if not step.gang:
            return True
        if step not in self._could_hold_by_step:
            workers = self._pool_state.workers.items()
            slot_count = sum(
                min(
                    step.per_worker or step.count,
                    worker.entry.room.count(step.charge),
                )
                for worker_id, worker in workers
                if worker.may_take_tasks_later
                and self._has_label(worker_id, step.label)
            )
            self._could_hold_by_step[step] = slot_count >= step.count
        return self._could_hold_by_step[step]

    def list_fitting(
        self,
        waiting_step: waiting_steps.WaitingStep,
        *,
        uses_slowed: bool = False,
    ) -> list[packing.Space]:
        """Return the allowed spaces with room for at least one task."""
        charge = waiting_step.tracked_step.step.charge
        if self._exhausted_rooms.is_known(
            waiting_step, uses_slowed=uses_slowed
        ):
            return []
        fitting_spaces = [
            space
            for space in self.list_allowed(
                waiting_step, uses_slowed=uses_slowed
            )
            if space.free.holds(charge)
        ]
        if not fitting_spaces:
            self._exhausted_rooms.note(waiting_step, uses_slowed=uses_slowed)
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

    def list_attempts(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[Attempt]:
        """Return the ways of placing a step now, the preferred one first."""
        step = waiting_step.tracked_step.step
        needs_rack = step.one_rack or bool(step.rack)
        may_stop = (
            self._policy.find_loss_factor(waiting_step.tracked_job.job.priority)
            and not waiting_step.hopeless
            and not step.lasting
        )
        return [
            attempt
            for attempt in order_attempts(
                is_split=self.groups.is_split,
                has_slowed=self.has_slowed,
                needs_fast=waiting_step.needs_fast,
                needs_rack=needs_rack,
                may_leave_rack=self.may_use_any_rack(waiting_step),
            )
            if may_stop or not attempt.stops
        ]

    def list_group(
        self, spaces: list[packing.Space], group: Group
    ) -> list[packing.Space]:
        """Return the spaces of the workers of a group."""
        if group is Group.ALL:
            return spaces
        return [
            space
            for space in spaces
            if (space.worker in self.groups.fast) is (group is Group.FAST)
        ]

    def drop_rack(self, step: model.Step, attempt: Attempt) -> model.Step:
        """Return a step as an attempt treats it in the search for victims.

        In a pool with groups, racks have been searched by an earlier attempt if
        this one may leave them, except for slowed workers.
        """
        if not self.groups.is_split or not attempt.leaves_rack:
            return step
        if attempt.uses_slowed:
            return step
        if not step.one_rack and not step.rack:
            return step
        return dataclasses.replace(step, one_rack=False, rack="")

    def choose_free(
        self,
        waiting_step: waiting_steps.WaitingStep,
        spaces: list[packing.Space],
        count: int,
        attempt: Attempt,
    ) -> list[packing.Space]:
        """Return a space with free room for each task that fits.

        Args:
            waiting_step: The step.
            spaces: Result of `list_fitting` for the step.
            count: Number of tasks.
            attempt: Workers that may be used.

        Returns:
            Spaces, which may occur several times; for a gang as many as tasks,
            or none.
        """
        if waiting_step.tracked_step.step.gang:
            return self._choose_gang(waiting_step, spaces, attempt) or []
        return self._choose_spaces(waiting_step, spaces, count, attempt)

    def _choose_spaces(
        self,
        waiting_step: waiting_steps.WaitingStep,
        spaces: list[packing.Space],
        count: int,
        attempt: Attempt,
    ) -> list[packing.Space]:
        """Return a space for each task that fits, the tightest fit first."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self.count_free_slots(waiting_step, space)

        spaces = self.list_group(spaces, attempt.group)
        if not step.rack:
            return packing.fill_some(spaces, step.charge, count, count_slots)
        local_spaces = [space for space in spaces if space.rack == step.rack]
        chosen = packing.fill_some(
            local_spaces, step.charge, count, count_slots
        )
        if len(chosen) < count and attempt.leaves_rack:
            remote_spaces = [
                space for space in spaces if space.rack != step.rack
            ]
            remaining = count - len(chosen)
            chosen += packing.fill_some(
                remote_spaces, step.charge, remaining, count_slots
            )
        return chosen

    def _choose_gang(
        self,
        waiting_step: waiting_steps.WaitingStep,
        spaces: list[packing.Space],
        attempt: Attempt,
    ) -> list[packing.Space] | None:
        """Return a space for each gang member; None if they don't all fit."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self.count_free_slots(waiting_step, space)

        rack_spaces = spaces
        if step.rack:
            local_spaces = [
                space for space in spaces if space.rack == step.rack
            ]
            rack_spaces = local_spaces or spaces
        spaces_by_rack = packing.group_by_rack(
            self.list_group(rack_spaces, attempt.group)
        )
        gang_spaces = packing.choose_rack(
            list(spaces_by_rack.values()), step.charge, step.count, count_slots
        )
        if gang_spaces is not None or not attempt.leaves_rack:
            return gang_spaces
        spaces = self.list_group(spaces, attempt.group)
        return packing.fill(spaces, step.charge, step.count, count_slots)

    def may_use_any_rack(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step needs no rack, or need not wait for it."""
        step = waiting_step.tracked_step.step
        if not step.one_rack and not step.rack:
            return True
        return self.may_leave_rack(waiting_step)

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

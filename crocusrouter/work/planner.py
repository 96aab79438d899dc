"""Planner: which tasks start now, where, and which runs make room for them.

`plan` reads the state of a pool and returns what to do; it changes nothing.
Steps are placed by priority, then by the latest time at which they can start
and still meet their objective. A step that finds no place holds the workers
that will have room for it first, and later steps don't use these.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import planner_policy as policies
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import racks
from crocusrouter.work import relocation
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking
from crocusrouter.work import trials
from crocusrouter.work import waiting_steps

_DEFAULT = policies.PlannerPolicy()


@dataclasses.dataclass(frozen=True)
class Placement:
    """Tasks of one step that start together.

    Attributes:
        step: The step.
        spots: Id of the worker by index of the task.
        is_trial: Whether the workers take no other task for a while.
    """

    step: model.StepKey
    spots: dict[int, str]
    is_trial: bool = False


@dataclasses.dataclass
class Plan:
    """Decisions of the planner.

    Attributes:
        placements: Tasks to start.
        stops: Runs to stop, with the reason for the log.
        reservations: Workers reserved for tasks that start once runs in `stops`
            have ended.
        contended: Whether the first priority stops other work to find room.
        kept: Runs that were left out of a search because of the bound.
    """

    placements: list[Placement] = dataclasses.field(default_factory=list)
    stops: list[tuple[tracking.Run, stop_limits.Reason]] = dataclasses.field(
        default_factory=list
    )
    reservations: list[Placement] = dataclasses.field(default_factory=list)
    contended: bool = False
    kept: list[tracking.Run] = dataclasses.field(default_factory=list)


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


class Planner:
    """Makes one plan on a copy of the workers' free room."""

    def __init__(
        self,
        pool_state: pool_states.PoolState,
        now: float,
        wall: float,
        reserved: Iterable[tuple[model.StepKey, dict[int, str]]] = (),
        policy: policies.PlannerPolicy = _DEFAULT,
    ) -> None:
        self._pool_state = pool_state
        self._policy = policy
        self._now = now
        self._wall = wall
        self._stalled_runs = relocation.list_stalled(pool_state, now)
        stalled_workers = {run.worker_id for run in self._stalled_runs}
        self._spaces = {
            name: packing.Space(
                name, packing.find_rack(worker.entry.labels), worker.free
            )
            for name, worker in pool_state.workers.items()
            if worker.may_start_tasks(now) and name not in stalled_workers
        }
        self._racks = racks.Racks(pool_state)
        self._held_workers: set[str] = set()
        self._trial_workers = trials.list_trial_workers(pool_state, now)
        self._exhausted_rooms = _ExhaustedRooms()
        self._free_times = preemption.FreeTimes(pool_state, now)
        self._losses = preemption.Losses(pool_state, now, policy)
        self._plan = Plan(kept=self._losses.kept)
        self._guaranteed_used = preemption.count_guaranteed(pool_state)
        self._reservations = self._losses.select_reserved(dict(reserved))
        for key, spots in self._reservations.items():
            self._take_reserved(key, spots)

    def _take_reserved(self, key: model.StepKey, spots: dict[int, str]) -> None:
        tracked_step = self._pool_state.find_tracked_step(key)
        if tracked_step is None:
            return
        for worker_id in spots.values():
            space = self._spaces.get(worker_id)
            if space is not None:
                space.take(tracked_step.step.charge)

    def run(self) -> Plan:
        """Choose the runs to relocate, then place all steps in order."""
        relocations = relocation.list_relocations(
            self._pool_state, self._stalled_runs, self._now, self._wall
        )
        runs_to_stop = relocation.add_gang_members(
            self._pool_state, relocations
        )
        self._plan.stops += list(runs_to_stop.values())
        holding_count = 0
        ordered_steps = waiting_steps.list_waiting_steps(
            self._pool_state, self._now, self._wall, self._policy
        )
        for waiting_step in ordered_steps:
            if waiting_step.tracked_step.key in self._reservations:
                continue
            if self._is_held_back(waiting_step):
                continue
            placed = self._place(waiting_step)
            if placed or holding_count >= self._policy.max_holding_steps:
                continue
            self._hold_workers(waiting_step)
            holding_count += 1
        return self._plan

    def _is_held_back(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step leaves free room to urgent work that may follow.

        If the first priority had to stop other work a moment ago, more urgent
        work is likely to follow. Anything that starts in the free room
        meanwhile would be stopped again at once, and the urgent job would wait
        for that stop. Steps that are late already still start, so no step is
        held back for good.
        """
        contended_at = self._pool_state.contended_at
        if contended_at is None or waiting_step.tracked_job.job.priority == 0:
            return False
        if waiting_step.late or waiting_step.tracked_step.step.lasting:
            return False
        return self._now < contended_at + self._policy.hold_back_s

    def _place(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Place as many tasks of a step as possible.

        Returns:
            Whether no task of the step needs further room.
        """
        if (
            waiting_step.tracked_step.progress.is_suspect
            and self._place_suspect(waiting_step)
        ):
            return True
        if waiting_step.tracked_step.step.gang:
            return self._place_gang(waiting_step)
        indices = sorted(waiting_step.tracked_step.waiting_indices)
        spaces = self._choose_spaces(waiting_step, len(indices))
        for space in spaces:
            space.take(waiting_step.tracked_step.step.charge)
            space.note_task(waiting_step.tracked_step.key)
        spots = {
            index: space.worker
            for index, space in zip(indices, spaces, strict=False)
        }
        if spots:
            self._plan.placements.append(
                Placement(waiting_step.tracked_step.key, spots)
            )
        if len(spots) == len(waiting_step.tracked_step.waiting_indices):
            return True
        return self._preempt(
            waiting_step,
            set(waiting_step.tracked_step.waiting_indices) - set(spots),
        )

    def _place_suspect(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Start a task or gang that may crash its workers alone on its workers.

        It stops no other runs, and holds no room while it waits.

        Returns:
            Whether it was placed or has to wait; otherwise it is placed like
            any other step.
        """
        spaces = [
            space
            for space in self._list_fitting_spaces(waiting_step)
            if self._count_free_slots(waiting_step, space) > 0
        ]
        spaces_by_index = trials.choose_trial(
            self._pool_state,
            waiting_step.tracked_step,
            spaces,
            self._trial_workers,
            self._now,
        )
        if spaces_by_index is None:
            return not trials.may_skip_trial(
                self._pool_state, waiting_step.tracked_step, self._now
            )
        for space in spaces_by_index.values():
            space.take(waiting_step.tracked_step.step.charge)
            self._held_workers.add(space.worker)
            self._trial_workers.add(space.worker)
        spots = {
            index: space.worker for index, space in spaces_by_index.items()
        }
        placement = Placement(
            waiting_step.tracked_step.key, spots, is_trial=True
        )
        self._plan.placements.append(placement)
        return True

    def _list_allowed_spaces(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        """Return the workers that may run a step.

        Workers on which the step failed are left out if the others can hold it.
        """
        tracked_step = waiting_step.tracked_step
        allowed_spaces = [
            space
            for space in self._spaces.values()
            if space.worker not in self._held_workers
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

    def _list_fitting_spaces(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> list[packing.Space]:
        """Return the allowed spaces with room for at least one task."""
        charge = waiting_step.tracked_step.step.charge
        if self._exhausted_rooms.is_known(waiting_step):
            return []
        fitting_spaces = [
            space
            for space in self._list_allowed_spaces(waiting_step)
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

    def _count_free_slots(
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

    def _choose_spaces(
        self, waiting_step: waiting_steps.WaitingStep, count: int
    ) -> list[packing.Space]:
        """Return a space for each task that fits, the tightest fit first."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self._count_free_slots(waiting_step, space)

        spaces = self._list_fitting_spaces(waiting_step)
        if not step.rack:
            return packing.fill_some(spaces, step.charge, count, count_slots)
        local_spaces = [space for space in spaces if space.rack == step.rack]
        chosen = packing.fill_some(
            local_spaces, step.charge, count, count_slots
        )
        if len(chosen) < count and self._may_leave_rack(waiting_step):
            remote_spaces = [
                space for space in spaces if space.rack != step.rack
            ]
            remaining = count - len(chosen)
            chosen += packing.fill_some(
                remote_spaces, step.charge, remaining, count_slots
            )
        return chosen

    def _may_leave_rack(self, waiting_step: waiting_steps.WaitingStep) -> bool:
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

    def _place_gang(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        spaces = self._choose_gang(
            waiting_step, self._list_fitting_spaces(waiting_step)
        )
        if spaces is None:
            return self._preempt(
                waiting_step, set(waiting_step.tracked_step.waiting_indices)
            )
        indices = sorted(waiting_step.tracked_step.waiting_indices)
        for space in spaces:
            space.take(waiting_step.tracked_step.step.charge)
        self._plan.placements.append(
            Placement(
                waiting_step.tracked_step.key,
                {
                    index: space.worker
                    for index, space in zip(indices, spaces, strict=True)
                },
            )
        )
        return True

    def _choose_gang(
        self,
        waiting_step: waiting_steps.WaitingStep,
        spaces: list[packing.Space],
    ) -> list[packing.Space] | None:
        """Return a space for each gang member; None if they don't all fit."""
        step = waiting_step.tracked_step.step

        def count_slots(space: packing.Space) -> int:
            return self._count_free_slots(waiting_step, space)

        needs_rack = step.one_rack or bool(step.rack)
        spaces_by_rack = packing.group_by_rack(spaces)
        if step.rack and step.rack in spaces_by_rack:
            spaces_by_rack = {step.rack: spaces_by_rack[step.rack]}
        rack_spaces = packing.choose_rack(
            list(spaces_by_rack.values()), step.charge, step.count, count_slots
        )
        if rack_spaces is not None:
            return rack_spaces
        if needs_rack and not self._may_leave_rack(waiting_step):
            return None
        return packing.fill(spaces, step.charge, step.count, count_slots)

    # Guarantees and victims.

    def _is_guaranteed(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step is covered by its customer's guarantee."""
        return preemption.is_guaranteed(
            self._pool_state, self._guaranteed_used, waiting_step
        )

    def _preempt(
        self, waiting_step: waiting_steps.WaitingStep, missing_indices: set[int]
    ) -> bool:
        """Stop runs of lower priority to make room for the missing tasks.

        A guaranteed step may stop whatever is needed. Other steps may stop only
        runs whose lost work is small compared to their own work.

        Returns:
            Whether room was reserved.
        """
        job = waiting_step.tracked_job.job
        step = waiting_step.tracked_step.step
        loss_factor = self._policy.find_loss_factor(job.priority)
        if not loss_factor or waiting_step.hopeless or step.lasting:
            return False
        claim = self._losses.make_claim(
            waiting_step, self._is_guaranteed(waiting_step)
        )
        preempted = preemption.choose_victims(
            self._losses,
            claim.kind,
            step,
            len(missing_indices),
            {
                space.worker: space
                for space in self._list_allowed_spaces(waiting_step)
                if self._count_free_slots(waiting_step, space) > 0
            },
            may_leave_rack=self._may_leave_rack(waiting_step),
        )
        if preempted is None:
            return False
        own_cost = step.charge.cores * step.expected_s * len(missing_indices)
        if not claim.allows_loss(preempted.cost, loss_factor * own_cost):
            return False
        spots = dict(
            zip(sorted(missing_indices), preempted.workers, strict=True)
        )
        self._plan.stops += [(run, claim) for run in preempted.runs]
        if preempted.runs and job.priority == 0:
            self._plan.contended = True
        self._losses.note_chosen(preempted)
        self._plan.reservations.append(
            Placement(waiting_step.tracked_step.key, spots)
        )
        for worker in preempted.workers:
            self._spaces[worker].take(step.charge)
        return True

    def _hold_workers(self, waiting_step: waiting_steps.WaitingStep) -> None:
        """Keep later steps off the workers that will fit this step first."""
        step = waiting_step.tracked_step.step
        task_count = len(waiting_step.tracked_step.waiting_indices)
        ranked_spaces = sorted(
            self._list_allowed_spaces(waiting_step),
            key=lambda space: self._free_times.find(space.worker, step.charge),
        )
        for space in ranked_spaces[
            : packing.count_workers(task_count, step, ranked_spaces)
        ]:
            self._held_workers.add(space.worker)


def plan(
    pool_state: pool_states.PoolState,
    now: float,
    wall: float,
    *,
    reserved: Iterable[tuple[model.StepKey, dict[int, str]]] = (),
    policy: policies.PlannerPolicy = _DEFAULT,
) -> Plan:
    """Return what to start and stop now.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
        wall: Unix time in seconds.
        reserved: Room reserved for steps whose victims have not ended yet.
        policy: Weights and limits of the planner.
    """
    return Planner(pool_state, now, wall, reserved, policy).run()

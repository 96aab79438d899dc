"""Planner: which tasks start now, where, and which runs make room for them.

`plan` reads the state of a pool and returns what to do; it changes nothing.
Steps are placed by priority, then by the latest time at which they can start
and still meet their objective. A step that finds no place holds the workers
that will have room for it first, and later steps don't use these.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import free_room as free_rooms
from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import planner_policy as policies
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import relocation
from crocusrouter.work import start_delays
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking
from crocusrouter.work import trials
from crocusrouter.work import waiting_steps
from crocusrouter.work import worker_choice

_DEFAULT = policies.PlannerPolicy()
# How many overdue steps are placed on any worker in one plan. The search looks
# at all workers, and the next plan follows at once.
_MAX_FALLBACKS = 16
_ANYWHERE = worker_choice.Attempt(
    worker_choice.Group.ALL, stops=False, leaves_rack=True, uses_slowed=True
)


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
        kept: Runs that were not stopped since their tasks have been stopped for
            other jobs too often.
        delays: Why steps of jobs none of whose tasks run are left waiting
            although there is room for them.
    """

    placements: list[Placement] = dataclasses.field(default_factory=list)
    stops: list[tuple[tracking.Run, stop_limits.Reason]] = dataclasses.field(
        default_factory=list
    )
    reservations: list[Placement] = dataclasses.field(default_factory=list)
    contended: bool = False
    kept: list[tracking.Run] = dataclasses.field(default_factory=list)
    delays: dict[model.StepKey, start_delays.Cause] = dataclasses.field(
        default_factory=dict
    )


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
        spaces = {
            name: packing.Space(
                name, packing.find_rack(worker.entry.labels), worker.free
            )
            for name, worker in pool_state.workers.items()
            if worker.may_start_tasks(now) and name not in stalled_workers
        }
        self._choice = worker_choice.WorkerChoice(
            pool_state, spaces, policy, now, self._is_guaranteed
        )
        self._trial_workers = trials.list_trial_workers(pool_state, now)
        self._free_times = preemption.FreeTimes(pool_state, now)
        self._losses = preemption.Losses(pool_state, now, policy.max_stops)
        self._plan = Plan(kept=self._losses.kept)
        self._guaranteed_used = preemption.count_guaranteed(pool_state)
        # Why steps are left waiting, where the search for room doesn't tell.
        self._wait_causes: dict[model.StepKey, start_delays.Cause] = {}
        self._fallback_count = 0
        self._cause_count = 0
        # Which steps hold workers, in the order of their rank.
        self._holds: list[tuple[model.StepKey, set[str]]] = []
        self._reservations = dict(reserved)
        for key, spots in self._reservations.items():
            self._take_reserved(key, spots)

    def _take_reserved(self, key: model.StepKey, spots: dict[int, str]) -> None:
        tracked_step = self._pool_state.find_tracked_step(key)
        if tracked_step is None:
            return
        for worker_id in spots.values():
            space = self._choice.spaces.get(worker_id)
            if space is not None:
                space.take(tracked_step.step.charge)
                space.note_task(key)

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
            self._pool_state,
            self._now,
            self._wall,
            self._policy,
            self._choice.groups,
        )
        for waiting_step in ordered_steps:
            if waiting_step.tracked_step.key in self._reservations:
                continue
            if self._is_held_back(waiting_step):
                self._wait_causes[waiting_step.tracked_step.key] = (
                    start_delays.Cause.HELD_BACK
                )
                continue
            placed = self._place(waiting_step)
            if placed or holding_count >= self._policy.max_holding_steps:
                continue
            holding_count += self._hold_workers(waiting_step)
        self._plan.delays = waiting_steps.list_blocked_steps(self._pool_state)
        self._plan.delays |= self._find_delays(ordered_steps)
        return self._plan

    def _find_delays(
        self, ordered_steps: list[waiting_steps.WaitingStep]
    ) -> dict[model.StepKey, start_delays.Cause]:
        """Return why steps wait for which this plan leaves room."""
        started_steps = {
            placement.step
            for placement in (
                *self._plan.placements,
                *self._plan.reservations,
            )
        }
        started_steps |= self._reservations.keys()
        started_jobs = {key.job for key in started_steps}
        free_room = free_rooms.FreeRoom(
            self._pool_state,
            (
                (placement.step, placement.spots.values())
                for placement in self._plan.placements
            ),
        )
        causes = {}
        for waiting_step in ordered_steps:
            key = waiting_step.tracked_step.key
            if waiting_step.tracked_step.step.lasting:
                stands = key not in started_steps
            else:
                stands = (
                    key.job not in started_jobs
                    and not waiting_step.tracked_job.has_runs
                )
            if stands and self._has_room(waiting_step, free_room):
                causes[key] = self._find_cause(waiting_step)
        return causes

    def _has_room(
        self,
        waiting_step: waiting_steps.WaitingStep,
        free_room: free_rooms.FreeRoom,
    ) -> bool:
        """Tell whether a step could start, and leave as much room again.

        Its time goes on as long as it could start at all; otherwise room that
        comes and goes would begin it anew.
        """
        step = waiting_step.tracked_step.step
        needed_slots = step.count if step.gang else 1
        delays = self._pool_state.start_delays
        if delays.find(waiting_step.tracked_step.key) is None:
            needed_slots *= 2
        return free_room.count_slots(step) >= needed_slots

    def _find_cause(
        self, waiting_step: waiting_steps.WaitingStep
    ) -> start_delays.Cause:
        """Return why a step waits for which there is room.

        The cause is looked for when it is about to be logged.
        """
        key = waiting_step.tracked_step.key
        if key in self._wait_causes:
            return self._wait_causes[key]
        delay = self._pool_state.start_delays.find(key)
        if delay is None or not delay.needs_cause(self._now):
            return delay.cause if delay else start_delays.Cause.UNKNOWN
        self._cause_count += 1
        if self._cause_count > start_delays.MAX_LINES:
            return delay.cause
        step = waiting_step.tracked_step.step
        needed_slots = step.count if step.gang else 1
        usable_spaces = self._choice.list_usable(waiting_step)
        if packing.count_slots(usable_spaces, step) < needed_slots:
            if waiting_step.tracked_job.job.advised:
                return start_delays.Cause.TICKETS
            return start_delays.Cause.RESERVED_ROOM
        held_workers = self._list_held_before(key)
        unheld_spaces = [
            space for space in usable_spaces if space.worker not in held_workers
        ]
        if packing.count_slots(unheld_spaces, step) < needed_slots:
            return start_delays.Cause.HELD_WORKERS
        preferred_spaces = [
            space
            for space in unheld_spaces
            if space.worker not in waiting_step.tracked_step.avoided_workers
        ]
        if packing.count_slots(preferred_spaces, step) < needed_slots:
            return start_delays.Cause.AVOIDED_WORKERS
        if step.one_rack or step.rack:
            return start_delays.Cause.RACK
        return start_delays.Cause.OTHER

    def _list_held_before(self, key: model.StepKey) -> set[str]:
        """Return the workers that steps before a step hold."""
        held_workers: set[str] = set()
        for holder, workers in self._holds:
            if holder == key:
                break
            held_workers |= workers
        return held_workers

    def _is_held_back(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step leaves free room to urgent work that may follow.

        If the first priority had to stop other work a moment ago, more urgent
        work is likely to follow. Anything that starts in the free room
        meanwhile would be stopped again at once, and the urgent job would wait
        for that stop. Steps that are late or overdue still start, so no step is
        held back for good.
        """
        contended_at = self._pool_state.contended_at
        if contended_at is None or waiting_step.tracked_job.job.priority == 0:
            return False
        if waiting_step.late or waiting_step.tracked_step.step.lasting:
            return False
        if self._is_overdue(waiting_step):
            return False
        return self._now < contended_at + self._policy.hold_back_s

    def _is_overdue(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step has waited beside room for as long as it may."""
        waited_s = self._pool_state.start_delays.measure(
            waiting_step.tracked_step.key, self._now
        )
        return waited_s >= self._policy.max_delay_s

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
        missing_indices = set(waiting_step.tracked_step.waiting_indices)
        spots: dict[int, str] = {}
        for attempt in self._choice.list_attempts(waiting_step):
            if not attempt.stops:
                spots |= self._take_free(waiting_step, missing_indices, attempt)
                missing_indices -= spots.keys()
            elif self._preempt(waiting_step, missing_indices, attempt):
                missing_indices = set()
            if not missing_indices:
                break
        if missing_indices and not spots and self._is_overdue(waiting_step):
            spots = self._take_anywhere(waiting_step, missing_indices)
            missing_indices -= spots.keys()
        if spots:
            self._plan.placements.append(
                Placement(waiting_step.tracked_step.key, spots)
            )
        return not missing_indices

    def _take_free(
        self,
        waiting_step: waiting_steps.WaitingStep,
        indices: set[int],
        attempt: worker_choice.Attempt,
    ) -> dict[int, str]:
        """Take free room for the tasks that fit; return their workers."""
        free_spaces = self._choice.list_fitting(
            waiting_step, uses_slowed=attempt.uses_slowed
        )
        if not free_spaces:
            return {}
        spaces = self._choice.choose_free(
            waiting_step, free_spaces, len(indices), attempt
        )
        return self._take(waiting_step, indices, spaces)

    def _take_anywhere(
        self, waiting_step: waiting_steps.WaitingStep, indices: set[int]
    ) -> dict[int, str]:
        """Take free room for the tasks of an overdue step, wherever it is."""
        if self._fallback_count >= _MAX_FALLBACKS:
            return {}
        if not self._choice.may_have_fallback(waiting_step):
            return {}
        self._fallback_count += 1
        for free_spaces in self._choice.list_fallbacks(
            waiting_step, self._trial_workers
        ):
            spaces = self._choice.choose_free(
                waiting_step, free_spaces, len(indices), _ANYWHERE
            )
            if spaces:
                return self._take(waiting_step, indices, spaces)
        return {}

    def _take(
        self,
        waiting_step: waiting_steps.WaitingStep,
        indices: set[int],
        spaces: list[packing.Space],
    ) -> dict[int, str]:
        """Take room for tasks in the chosen spaces; return their workers."""
        for space in spaces:
            space.take(waiting_step.tracked_step.step.charge)
            space.note_task(waiting_step.tracked_step.key)
        return {
            index: space.worker
            for index, space in zip(sorted(indices), spaces, strict=False)
        }

    def _place_suspect(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Start a task or gang that may crash its workers alone on its workers.

        It stops no other runs, and holds no room while it waits.

        Returns:
            Whether it was placed or has to wait; otherwise it is placed like
            any other step.
        """
        spaces_by_index = self._choose_trial(waiting_step)
        if spaces_by_index is None and self._choice.has_slowed:
            spaces_by_index = self._choose_trial(waiting_step, uses_slowed=True)
        if spaces_by_index is None:
            if trials.may_skip_trial(
                self._pool_state, waiting_step.tracked_step, self._now
            ):
                return False
            self._wait_causes[waiting_step.tracked_step.key] = (
                start_delays.Cause.TRIAL
            )
            return True
        for space in spaces_by_index.values():
            space.take(waiting_step.tracked_step.step.charge)
        workers = {space.worker for space in spaces_by_index.values()}
        self._hold(waiting_step, workers)
        self._trial_workers |= workers
        spots = {
            index: space.worker for index, space in spaces_by_index.items()
        }
        placement = Placement(
            waiting_step.tracked_step.key, spots, is_trial=True
        )
        self._plan.placements.append(placement)
        return True

    def _choose_trial(
        self,
        waiting_step: waiting_steps.WaitingStep,
        *,
        uses_slowed: bool = False,
    ) -> dict[int, packing.Space] | None:
        spaces = [
            space
            for space in self._choice.list_fitting(
                waiting_step, uses_slowed=uses_slowed
            )
            if self._choice.count_free_slots(waiting_step, space) > 0
        ]
        return trials.choose_trial(
            self._pool_state,
            waiting_step.tracked_step,
            spaces,
            self._trial_workers,
            self._now,
        )

    # Guarantees and victims.

    def _is_guaranteed(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Tell whether a step is covered by its customer's guarantee."""
        job = waiting_step.tracked_job.job
        if job.priority != 0:
            return False
        needed = waiting_step.tracked_step.step.charge.accelerators * len(
            waiting_step.tracked_step.waiting_indices
        )
        used = self._guaranteed_used.get(job.customer, 0)
        return used + needed <= self._pool_state.guaranteed.get(job.customer, 0)

    def _preempt(
        self,
        waiting_step: waiting_steps.WaitingStep,
        missing_indices: set[int],
        attempt: worker_choice.Attempt,
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
        is_guaranteed = self._is_guaranteed(waiting_step)
        claim = stop_limits.Claim(
            job.id, stop_limits.ClaimKind(job.priority, is_guaranteed)
        )
        spaces = self._choice.list_group(
            self._choice.list_allowed(
                waiting_step, uses_slowed=attempt.uses_slowed
            ),
            attempt.group,
        )
        slots = {
            space.worker: self._choice.count_free_slots(waiting_step, space)
            for space in spaces
        }
        preempted = preemption.choose_victims(
            self._losses,
            claim.kind,
            self._choice.drop_rack(step, attempt),
            len(missing_indices),
            {
                space.worker: space
                for space in spaces
                if slots[space.worker] > 0
            },
            slots,
            may_leave_rack=attempt.leaves_rack,
        )
        if preempted is None:
            return False
        own_cost = step.charge.cores * step.expected_s * len(missing_indices)
        if not is_guaranteed and preempted.cost > loss_factor * own_cost:
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
            self._choice.spaces[worker].take(step.charge)
            self._choice.spaces[worker].note_task(waiting_step.tracked_step.key)
        return True

    def _hold_workers(self, waiting_step: waiting_steps.WaitingStep) -> bool:
        """Keep later steps off the workers that will fit this step first.

        A gang that could not start if all workers were empty holds none: it
        would keep every other step waiting for as long as it is there.

        Returns:
            Whether it may hold workers.
        """
        if not self._choice.could_hold(waiting_step):
            return False
        step = waiting_step.tracked_step.step
        ranked_spaces = sorted(
            self._choice.list_allowed(waiting_step)
            or self._choice.list_allowed(waiting_step, uses_slowed=True),
            key=lambda space: self._free_times.find(space.worker, step.charge),
        )
        worker_count = packing.estimate_worker_count(
            len(waiting_step.tracked_step.waiting_indices), step
        )
        if not self._choice.may_use_any_rack(waiting_step):
            ranked_spaces = self._choose_first_rack(
                step, ranked_spaces, worker_count
            )
        self._hold(
            waiting_step,
            {space.worker for space in ranked_spaces[:worker_count]},
        )
        return True

    def _choose_first_rack(
        self,
        step: model.Step,
        ranked_spaces: list[packing.Space],
        worker_count: int,
    ) -> list[packing.Space]:
        """Return the workers of the rack that will have room for a step first.

        Args:
            step: A step that waits for its rack.
            ranked_spaces: The workers that may run it, by when they have room.
            worker_count: How many workers it needs.

        Returns:
            Workers of one rack; all of them if no rack has enough.
        """
        racks = [
            spaces
            for rack, spaces in packing.group_by_rack(ranked_spaces).items()
            if len(spaces) >= worker_count and step.rack in ("", rack)
        ]
        return min(
            racks,
            key=lambda spaces: self._free_times.find(
                spaces[worker_count - 1].worker, step.charge
            ),
            default=ranked_spaces,
        )

    def _hold(
        self, waiting_step: waiting_steps.WaitingStep, workers: set[str]
    ) -> None:
        self._choice.held_workers |= workers
        self._holds.append((waiting_step.tracked_step.key, workers))


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

"""Preemption: choice of the running tasks that make room for urgent ones."""

import collections
from collections.abc import Mapping
import dataclasses
import heapq
from typing import NamedTuple

from crocusrouter.work import gang_progress
from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking

_NEVER_S = 1e9
# Limits of one search, so that the duration of a decision doesn't grow with the
# pool. Victims in the racks or on the workers with the most free room are
# usually the cheapest.
_MAX_RACKS = 24
_MAX_WORKERS = 256


@dataclasses.dataclass(frozen=True)
class Victims:
    """Runs to stop, and the workers that the waiting tasks use afterwards.

    Attributes:
        runs: All runs to stop, whole gangs included.
        workers: Id of a worker for each task, in turn.
        cost: Core-seconds of lost work.
    """

    runs: tuple[tracking.Run, ...]
    workers: tuple[str, ...]
    cost: float


def count_guaranteed(pool_state: pool_states.PoolState) -> dict[str, int]:
    """Return the accelerators that priority 0 uses now, by customer."""
    used_by_customer: collections.Counter[str] = collections.Counter()
    for tracked_job in pool_state.live_jobs.values():
        if tracked_job.job.priority != 0:
            continue
        for tracked_step in tracked_job.steps.values():
            used_accelerators = (
                len(tracked_step.runs_by_index)
                * tracked_step.step.charge.accelerators
            )
            used_by_customer[tracked_job.job.customer] += used_accelerators
    return used_by_customer


class FreeTimes:
    """When workers will have room.

    Each worker's ends of runs are listed once.
    """

    def __init__(self, pool_state: pool_states.PoolState, now: float) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
            now: Steady time in seconds.
        """
        self._pool_state = pool_state
        self._remaining_times = gang_progress.RemainingTimes(now)
        self._ends: dict[str, list[tuple[float, model.Room]]] = {}

    def find(self, worker_id: str, room: model.Room) -> float:
        """Return in how many seconds a worker will have room for a task."""
        free = self._pool_state.workers[worker_id].free
        if free.holds(room):
            return 0.0
        if worker_id not in self._ends:
            self._ends[worker_id] = self._list_ends(worker_id)
        for free_in_s, charge in self._ends[worker_id]:
            free = free.plus(charge)
            if free.holds(room):
                return free_in_s
        return _NEVER_S

    def _list_ends(self, worker_id: str) -> list[tuple[float, model.Room]]:
        ends = []
        for run in self._pool_state.workers[worker_id].runs.values():
            if run.tracked_step is not None:
                remaining_s = self._remaining_times.find(run, run.tracked_step)
                ends.append((remaining_s, run.tracked_step.step.charge))
        return sorted(ends)


def measure_loss(
    run: tracking.Run, tracked_step: tracking.TrackedStep, now: float
) -> float:
    """Return the core-seconds of work that are lost if a run stops now.

    A task with checkpoints writes one when it is stopped and loses almost
    nothing.
    """
    if tracked_step.step.checkpoints:
        return 0.1 * tracked_step.step.charge.cores
    ran_s = now - (run.confirmed_at if run.confirmed_at else run.ordered_at)
    return max(0.1, ran_s) * tracked_step.step.charge.cores


class Losses:
    """Work lost by stopping runs; cached for all searches of one plan.

    Attributes:
        pool_state: State of the pool; not changed.
        chosen: Runs that this plan already stops. Later tasks may use their
            room at no further loss.
        kept: Runs that were left out since their tasks have been stopped for
            other jobs too often.
    """

    def __init__(
        self, pool_state: pool_states.PoolState, now: float, max_stops: int
    ) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
            now: Steady time in seconds.
            max_stops: Number of stops of a task for other jobs after which only
                a guaranteed claim may stop it again.
        """
        self.pool_state = pool_state
        self.chosen: set[model.TaskKey] = set()
        self.kept: list[tracking.Run] = []
        self._max_stops = max_stops
        self._now = now
        self._gang_losses: dict[model.StepKey, float] = {}
        self._candidates: dict[
            tuple[str, stop_limits.ClaimKind], list[_Candidate]
        ] = {}
        self._reachable_rooms: dict[
            tuple[str, stop_limits.ClaimKind], tuple[model.Room, model.Room]
        ] = {}

    def note_chosen(self, victims: Victims) -> None:
        """Count the victims as stopped from now on."""
        for run in victims.runs:
            self.chosen.add(run.key)
        affected_workers = {run.worker_id for run in victims.runs}
        for worker_id, kind in list(self._candidates):
            if worker_id in affected_workers:
                del self._candidates[worker_id, kind]
                self._reachable_rooms.pop((worker_id, kind), None)

    def list_candidates(
        self, worker_id: str, kind: stop_limits.ClaimKind
    ) -> list["_Candidate"]:
        """Return the runs that may be stopped on a worker, the cheapest first.

        Args:
            worker_id: The worker.
            kind: What the claim may do.
        """
        candidates = self._candidates.get((worker_id, kind))
        if candidates is None:
            candidates = self._find_candidates(worker_id, kind)
            self._candidates[worker_id, kind] = candidates
        return candidates

    def count_slots(
        self,
        space: packing.Space,
        kind: stop_limits.ClaimKind,
        charge: model.Room,
    ) -> int:
        """Return how many tasks fit if all runs stop that may be stopped.

        Args:
            space: Free room of a worker.
            kind: What the claim may do.
            charge: Room of each task.
        """
        key = space.worker, kind
        free, reachable_room = self._reachable_rooms.get(key, (None, None))
        if reachable_room is None or free is not space.free:
            reachable_room = space.free
            for candidate in self.list_candidates(space.worker, kind):
                reachable_room = reachable_room.plus(
                    candidate.tracked_step.step.charge
                )
            self._reachable_rooms[key] = space.free, reachable_room
        return max(0, reachable_room.count(charge))

    def _find_candidates(
        self, worker_id: str, kind: stop_limits.ClaimKind
    ) -> list["_Candidate"]:
        candidates = []
        for key, run in self.pool_state.workers[worker_id].runs.items():
            tracked_step = run.tracked_step
            tracked_job = self.pool_state.jobs.get(key.job)
            if tracked_step is None or tracked_job is None:
                continue
            ending = run.phase is tracking.Phase.STOPPING or key in self.chosen
            if ending:
                # Its room becomes free in any case.
                candidates.append(_Candidate(0.0, run, tracked_step))
            elif (
                tracked_job.job.priority > kind.priority
                and not tracked_step.step.lasting
            ):
                if self._is_protected(run, kind):
                    continue
                candidates.append(
                    _Candidate(
                        self._measure_run_loss(tracked_step, run),
                        run,
                        tracked_step,
                    )
                )
        candidates.sort(
            key=lambda candidate: (
                candidate.loss
                / max(1, candidate.tracked_step.step.charge.accelerators)
            )
        )
        return candidates

    def _is_protected(
        self, run: tracking.Run, kind: stop_limits.ClaimKind
    ) -> bool:
        if not stop_limits.is_protected(run, kind, self._max_stops):
            return False
        self.kept.append(run)
        return True

    def _measure_run_loss(
        self, tracked_step: tracking.TrackedStep, run: tracking.Run
    ) -> float:
        """Return the loss of stopping a run together with its whole gang."""
        if not tracked_step.step.gang:
            return measure_loss(run, tracked_step, self._now)
        loss = self._gang_losses.get(tracked_step.key)
        if loss is None:
            loss = sum(
                measure_loss(member, tracked_step, self._now)
                for member in self.pool_state.list_step_runs(tracked_step)
            )
            self._gang_losses[tracked_step.key] = loss
        return loss


class _Candidate(NamedTuple):
    """A run that may be stopped, and the core-seconds lost with it."""

    loss: float
    run: tracking.Run
    tracked_step: tracking.TrackedStep


def choose_victims(
    losses: Losses,
    kind: stop_limits.ClaimKind,
    step: model.Step,
    count: int,
    spaces: dict[str, packing.Space],
    slots: Mapping[str, int],
    *,
    may_leave_rack: bool,
) -> Victims | None:
    """Choose the cheapest runs to stop so that `count` tasks find room.

    Args:
        losses: Work lost by stopping runs.
        kind: What the claim may do.
        step: Requirements of the tasks.
        count: Number of tasks.
        spaces: Free room of the workers that may run the tasks, by worker id.
        slots: How many of the tasks each of these workers may take, however
            much room it has.
        may_leave_rack: Whether tasks that belong in one rack may run across
            racks, where they take several times as long, if no rack is
            suitable.

    Returns:
        The victims; None if stopping runs cannot make enough room.
    """
    needs_rack = step.one_rack or bool(step.rack)
    victims_by_rack = []
    if needs_rack:
        racks = packing.group_by_rack(spaces.values())
        if step.rack:
            racks = {
                name: rack_spaces
                for name, rack_spaces in racks.items()
                if name == step.rack
            }
        for rack_spaces in _list_emptiest(racks):
            victims = _search(losses, kind, step, count, rack_spaces, slots)
            if victims is not None:
                victims_by_rack.append(victims)
    if victims_by_rack:
        return min(victims_by_rack, key=lambda victims: victims.cost)
    if needs_rack and not may_leave_rack:
        return None
    all_spaces = list(spaces.values())
    if len(all_spaces) > _MAX_WORKERS:
        all_spaces.sort(key=lambda space: -space.free.accelerators)
        del all_spaces[max(_MAX_WORKERS, count) :]
    return _search(losses, kind, step, count, all_spaces, slots)


def _search(
    losses: Losses,
    kind: stop_limits.ClaimKind,
    step: model.Step,
    count: int,
    spaces: list[packing.Space],
    slots: Mapping[str, int],
) -> Victims | None:
    """Search victims among some workers unless they are too few anyway.

    Under load most searches would fail for this reason. The check takes a
    fraction of their time.
    """
    missing_slots = count
    for space in spaces:
        fitting_count = losses.count_slots(space, kind, step.charge)
        missing_slots -= min(fitting_count, slots[space.worker])
        if missing_slots <= 0:
            return _Search(losses, kind, step, spaces, slots).run(count)
    return None


def _list_emptiest(
    racks: dict[str, list[packing.Space]],
) -> list[list[packing.Space]]:
    """Return the racks to search, those with the most free room first."""
    ranked_racks = sorted(
        racks.values(),
        key=lambda rack: -sum(space.free.accelerators for space in rack),
    )
    return ranked_racks[:_MAX_RACKS]


class _Search:
    """Search that assigns each task to the worker with the least loss.

    The loss on a worker is computed again only when its free room or its runs
    have changed, so a search costs little more than one pass over the workers.
    Evaluating all workers for each task took 0.2 s with 176 workers and 125
    jobs.
    """

    def __init__(
        self,
        losses: Losses,
        kind: stop_limits.ClaimKind,
        step: model.Step,
        spaces: list[packing.Space],
        slots: Mapping[str, int],
    ) -> None:
        self._losses = losses
        self._kind = kind
        self._step = step
        self._slots = slots
        self._free_rooms = {space.worker: space.free for space in spaces}
        self._order = {
            worker_id: position
            for position, worker_id in enumerate(self._free_rooms)
        }
        self._stopped_runs: dict[model.TaskKey, tracking.Run] = {}
        self._placed_counts: collections.Counter[str] = collections.Counter()
        self._offers: dict[str, tuple[float, list[tracking.Run]]] = {}
        self._offer_heap: list[tuple[float, int, str]] = []

    def run(self, count: int) -> Victims | None:
        """Return victims for `count` tasks; None if there are not enough."""
        for worker_id in self._free_rooms:
            self._update_offer(worker_id)
        worker_ids: list[str] = []
        total_cost = 0.0
        while len(worker_ids) < count:
            offer = self._take_cheapest()
            if offer is None:
                return None
            cost, worker_id = offer
            total_cost += cost
            worker_ids.append(worker_id)
        runs_to_stop = tuple(
            run
            for run in self._stopped_runs.values()
            if run.phase is not tracking.Phase.STOPPING
            and run.key not in self._losses.chosen
        )
        return Victims(runs_to_stop, tuple(worker_ids), total_cost)

    def _take_cheapest(self) -> tuple[float, str] | None:
        """Use the worker with the least loss for one task.

        Returns:
            The loss and the worker's id; None if no worker can make room.
        """
        while self._offer_heap:
            cost, _, worker_id = heapq.heappop(self._offer_heap)
            offer = self._offers.get(worker_id)
            if offer is None or offer[0] != cost:
                continue  # the offer has been updated since
            affected_workers = {worker_id}
            for run in offer[1]:
                affected_workers |= self._stop_run(run)
            self._free_rooms[worker_id] = self._free_rooms[worker_id].minus(
                self._step.charge
            )
            self._placed_counts[worker_id] += 1
            for affected_worker in affected_workers:
                self._update_offer(affected_worker)
            return cost, worker_id
        return None

    def _update_offer(self, worker_id: str) -> None:
        """Compute the loss and the runs to stop for one task on a worker."""
        self._offers.pop(worker_id, None)
        if self._placed_counts[worker_id] >= self._slots[worker_id]:
            return
        free = self._free_rooms[worker_id]
        room = self._step.charge
        runs_to_stop: list[tracking.Run] = []
        cost = 0.0
        if not free.holds(room):
            for candidate in self._losses.list_candidates(
                worker_id, self._kind
            ):
                if candidate.run.key in self._stopped_runs:
                    continue
                runs_to_stop.append(candidate.run)
                cost += candidate.loss
                free = free.plus(candidate.tracked_step.step.charge)
                if free.holds(room):
                    break
            else:
                return
        self._offers[worker_id] = cost, runs_to_stop
        heapq.heappush(
            self._offer_heap, (cost, self._order[worker_id], worker_id)
        )

    def _stop_run(self, run: tracking.Run) -> set[str]:
        """Count a run as stopped, together with its whole gang.

        Returns:
            Ids of the workers whose free room has changed.
        """
        tracked_step = run.tracked_step
        if tracked_step is None:
            return set()
        affected_workers = set()
        members = (
            self._losses.pool_state.list_step_runs(tracked_step)
            if tracked_step.step.gang
            else [run]
        )
        for member in members:
            if member.key in self._stopped_runs:
                continue
            self._stopped_runs[member.key] = member
            if member.worker_id in self._free_rooms:
                self._free_rooms[member.worker_id] = self._free_rooms[
                    member.worker_id
                ].plus(tracked_step.step.charge)
                affected_workers.add(member.worker_id)
        return affected_workers

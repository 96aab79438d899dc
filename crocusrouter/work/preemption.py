"""Which running work makes room for guaranteed work."""

import collections
import dataclasses
import heapq
from typing import NamedTuple

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs

_FAR = 1e9
# Bounds of one search, so that a decision's cost doesn't grow with the pool:
# victims in the emptiest racks, or on the emptiest workers, are the cheapest
# as a rule. With 1,400 workers a decision took 87 ms instead of 142, half of
# the time.
_MOST_RACKS = 24
_MOST_WORKERS = 256


@dataclasses.dataclass(frozen=True)
class Victims:
    """Runs to stop, and where the guaranteed tasks go then.

    Attributes:
        runs: All runs to stop, whole gangs included.
        workers: A worker for each task, in turn.
        cost: Core-seconds of work that is lost.
    """

    runs: tuple[runs.Run, ...]
    workers: tuple[str, ...]
    cost: float


def count_guaranteed(pool_state: pool_states.Book) -> dict[str, int]:
    """Return the accelerators that priority 0 uses now, by customer."""
    total: collections.Counter[str] = collections.Counter()
    for held in pool_state.live.values():
        if held.job.priority != 0:
            continue
        for work in held.steps.values():
            used = len(work.running) * work.step.charge.accelerators
            total[held.job.customer] += used
    return total


def estimate_rest(run: runs.Run, work: runs.StepWork, now: float) -> float:
    """Return the seconds that a run will still take."""
    ran = now - (run.confirmed_at if run.confirmed_at else run.since)
    if run.percent >= 5:
        return ran * (100 - run.percent) / run.percent
    return max(0.5, work.step.expected_s - ran)


class FreeTimes:
    """When workers will have room; each worker's ends are listed once."""

    def __init__(self, pool_state: pool_states.Book, now: float) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
            now: Steady time in seconds.
        """
        self._pool_state = pool_state
        self._now = now
        self._ends: dict[str, list[tuple[float, model.Room]]] = {}

    def find(self, worker: str, room: model.Room) -> float:
        """Return in how many seconds a worker will have room for a task."""
        free = self._pool_state.workers[worker].free
        if free.holds(room):
            return 0.0
        if worker not in self._ends:
            self._ends[worker] = self._list_ends(worker)
        for rest, charge in self._ends[worker]:
            free = free.plus(charge)
            if free.holds(room):
                return rest
        return _FAR

    def _list_ends(self, worker: str) -> list[tuple[float, model.Room]]:
        ends = []
        for run in self._pool_state.workers[worker].runs.values():
            if run.work is not None:
                rest = estimate_rest(run, run.work, self._now)
                ends.append((rest, run.work.step.charge))
        return sorted(ends)


def measure_loss(run: runs.Run, work: runs.StepWork, now: float) -> float:
    """Return the core-seconds that are lost if a run stops now.

    A task with checkpoints makes one at a stop and loses next to nothing.
    """
    if work.step.checkpoints:
        return 0.1 * work.step.charge.cores
    ran = now - (run.confirmed_at if run.confirmed_at else run.since)
    return max(0.1, ran) * work.step.charge.cores


class Losses:
    """What stopping runs loses; worked out once for all searches of a plan.

    Attributes:
        chosen: Runs that this plan stops already; their room is free for
            whoever comes next, at no further loss.
    """

    def __init__(self, pool_state: pool_states.Book, now: float) -> None:
        """Prepare for one plan.

        Args:
            pool_state: State of the pool; not changed.
            now: Steady time in seconds.
        """
        self.pool_state = pool_state
        self.chosen: set[model.TaskKey] = set()
        self._now = now
        self._steps: dict[model.StepKey, float] = {}
        self._options: dict[tuple[str, int], list[_Option]] = {}

    def note_chosen(self, victims: Victims) -> None:
        """Count runs as stopped from now on."""
        for run in victims.runs:
            self.chosen.add(run.key)
        touched = {run.worker for run in victims.runs}
        for worker, priority in list(self._options):
            if worker in touched:
                del self._options[worker, priority]

    def list_options(self, worker: str, priority: int) -> list["_Option"]:
        """Return what may be stopped on a worker, the cheapest room first.

        Args:
            worker: Which.
            priority: Only runs of a higher number may be stopped.
        """
        found = self._options.get((worker, priority))
        if found is None:
            found = self._find_options(worker, priority)
            self._options[worker, priority] = found
        return found

    def _find_options(self, worker: str, priority: int) -> list["_Option"]:
        options = []
        for key, run in self.pool_state.workers[worker].runs.items():
            work = run.work
            held = self.pool_state.jobs.get(key.job)
            if work is None or held is None:
                continue
            ending = run.phase is runs.Phase.STOPPING or key in self.chosen
            if ending:
                # Its room comes free anyway.
                options.append(_Option(0.0, run, work))
            elif held.job.priority > priority and not work.step.lasting:
                options.append(
                    _Option(self._measure_whole(work, run), run, work)
                )
        options.sort(
            key=lambda option: (
                option.loss / max(1, option.work.step.charge.accelerators)
            )
        )
        return options

    def _measure_whole(self, work: runs.StepWork, run: runs.Run) -> float:
        """Return what is lost with a run, its whole gang counted."""
        if not work.step.gang:
            return measure_loss(run, work, self._now)
        loss = self._steps.get(work.key)
        if loss is None:
            loss = sum(
                measure_loss(member, work, self._now)
                for member in self.pool_state.list_step_runs(work)
            )
            self._steps[work.key] = loss
        return loss


class _Option(NamedTuple):
    """A run that may be stopped, and the core-seconds lost with it."""

    loss: float
    run: runs.Run
    work: runs.StepWork


def choose_victims(
    losses: Losses,
    priority: int,
    step: model.Step,
    count: int,
    spaces: dict[str, packing.Space],
    *,
    may_spread: bool,
) -> Victims | None:
    """Choose the cheapest runs whose end makes room for `count` tasks.

    Args:
        losses: What stopping runs loses.
        priority: Only runs of a higher number may be stopped.
        step: What the tasks ask for.
        count: How many tasks.
        spaces: Free room of the workers that may take them.
        may_spread: Whether tasks that belong into one rack may run across
            racks, where they take several times as long, if no rack will do.
    """
    narrow = step.one_rack or bool(step.rack)
    found = []
    if narrow:
        racks = packing.group_by_rack(spaces.values())
        if step.rack:
            racks = {name: r for name, r in racks.items() if name == step.rack}
        for rack in _list_emptiest(racks):
            victims = _Search(losses, priority, step, rack).run(count)
            if victims is not None:
                found.append(victims)
    if found:
        return min(found, key=lambda victims: victims.cost)
    if narrow and not may_spread:
        return None
    wide = list(spaces.values())
    if len(wide) > _MOST_WORKERS:
        wide.sort(key=lambda space: -space.free.accelerators)
        del wide[max(_MOST_WORKERS, count) :]
    return _Search(losses, priority, step, wide).run(count)


def _list_emptiest(
    racks: dict[str, list[packing.Space]],
) -> list[list[packing.Space]]:
    """Return the racks to search, the one with most free room first."""
    ranked = sorted(
        racks.values(),
        key=lambda rack: -sum(space.free.accelerators for space in rack),
    )
    return ranked[:_MOST_RACKS]


class _Search:
    """Chooses task by task the worker where the loss is least.

    What a worker offers is worked out again only when its free room or its
    runs have changed, so a search costs little more than one look at each
    worker. Looking at all of them for each task took 0.2 s for 176 workers
    and 125 jobs.
    """

    def __init__(
        self,
        losses: Losses,
        priority: int,
        step: model.Step,
        spaces: list[packing.Space],
    ) -> None:
        self._losses = losses
        self._priority = priority
        self._step = step
        self._free = {space.worker: space.free for space in spaces}
        self._order = {name: number for number, name in enumerate(self._free)}
        self._stopped: dict[model.TaskKey, runs.Run] = {}
        self._placed: collections.Counter[str] = collections.Counter()
        self._offers: dict[str, tuple[float, list[runs.Run]]] = {}
        self._heap: list[tuple[float, int, str]] = []

    def run(self, count: int) -> Victims | None:
        """Return victims for `count` tasks; None if there are not enough."""
        for name in self._free:
            self._offer(name)
        workers: list[str] = []
        total = 0.0
        while len(workers) < count:
            taken = self._take_cheapest()
            if taken is None:
                return None
            cost, name = taken
            total += cost
            workers.append(name)
        fresh = tuple(
            run
            for run in self._stopped.values()
            if run.phase is not runs.Phase.STOPPING
            and run.key not in self._losses.chosen
        )
        return Victims(fresh, tuple(workers), total)

    def _take_cheapest(self) -> tuple[float, str] | None:
        while self._heap:
            cost, _, name = heapq.heappop(self._heap)
            offer = self._offers.get(name)
            if offer is None or offer[0] != cost:
                continue  # worked out again since
            touched = {name}
            for run in offer[1]:
                touched |= self._stop_whole(run)
            self._free[name] = self._free[name].minus(self._step.charge)
            self._placed[name] += 1
            for worker in touched:
                self._offer(worker)
            return cost, name
        return None

    def _offer(self, name: str) -> None:
        """Work out the loss and the runs that make room for one task."""
        self._offers.pop(name, None)
        bound = self._step.per_worker
        if bound and self._placed[name] >= bound:
            return
        free = self._free[name]
        room = self._step.charge
        chosen: list[runs.Run] = []
        cost = 0.0
        if not free.holds(room):
            for option in self._losses.list_options(name, self._priority):
                if option.run.key in self._stopped:
                    continue
                chosen.append(option.run)
                cost += option.loss
                free = free.plus(option.work.step.charge)
                if free.holds(room):
                    break
            else:
                return
        self._offers[name] = cost, chosen
        heapq.heappush(self._heap, (cost, self._order[name], name))

    def _stop_whole(self, run: runs.Run) -> set[str]:
        """Count a run as stopped, with its whole gang.

        Returns:
            The workers whose free room has changed.
        """
        work = run.work
        if work is None:
            return set()
        touched = set()
        members = (
            self._losses.pool_state.list_step_runs(work)
            if work.step.gang
            else [run]
        )
        for member in members:
            if member.key in self._stopped:
                continue
            self._stopped[member.key] = member
            if member.worker in self._free:
                self._free[member.worker] = self._free[member.worker].plus(
                    work.step.charge
                )
                touched.add(member.worker)
        return touched

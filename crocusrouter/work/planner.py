"""Which waiting tasks start now, where, and which runs make room for them.

`plan` looks at a book and returns what to do; it changes nothing. Steps are
taken by priority, then by the latest moment at which they can begin and still
meet their objective. A step that finds no place holds the workers that will
have room for it first; what comes later passes these by.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import planner_parameters
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import racks
from crocusrouter.work import relocation
from crocusrouter.work import runs
from crocusrouter.work import trials
from crocusrouter.work import waiting_steps

_DEFAULT = planner_parameters.Policy()


@dataclasses.dataclass(frozen=True)
class Placement:
    """Tasks of one step that start together.

    Attributes:
        step: The step.
        spots: Worker by index of the task.
        alone: Whether their workers take nothing else for a while.
    """

    step: model.StepKey
    spots: dict[int, str]
    alone: bool = False


@dataclasses.dataclass
class Plan:
    """What to do now.

    Attributes:
        placements: Tasks to start.
        stops: Runs to stop so that guaranteed work finds room, and why.
        reservations: Where that work goes once they have ended.
        contended: Whether the first priority stops others to find room.
    """

    placements: list[Placement] = dataclasses.field(default_factory=list)
    stops: list[tuple[runs.Run, str]] = dataclasses.field(default_factory=list)
    reservations: list[Placement] = dataclasses.field(default_factory=list)
    contended: bool = False


class _Full:
    """Which rooms no worker has any more.

    Room only shrinks while a plan is worked out, so what found no worker at
    all is not looked for again: under load most steps end here.
    """

    def __init__(self) -> None:
        self._known: set[tuple[model.Room, str]] = set()

    def note(self, waiting: waiting_steps.Waiting) -> None:
        """Note that no worker has room for one task of a step.

        Only what stands in the way of any other step as well is noted.
        """
        if not waiting.work.avoided_workers and not waiting.held.job.advised:
            step = waiting.work.step
            self._known.add((step.charge, step.label))

    def is_known(self, waiting: waiting_steps.Waiting) -> bool:
        """Tell whether no worker can have room for one task of a step."""
        step = waiting.work.step
        return (step.charge, step.label) in self._known


class Planner:
    """Works one plan out, on a copy of the workers' free room."""

    def __init__(
        self,
        pool_state: pool_states.Book,
        now: float,
        wall: float,
        reserved: Iterable[tuple[model.StepKey, dict[int, str]]] = (),
        policy: planner_parameters.Policy = _DEFAULT,
    ) -> None:
        self._pool_state = pool_state
        self._policy = policy
        self._now = now
        self._wall = wall
        self._plan = Plan()
        self._stalled = relocation.list_stalled(pool_state, now)
        stalled = {run.worker for run in self._stalled}
        self._spaces = {
            name: packing.Space(
                name, packing.find_rack(worker.entry.labels), worker.free
            )
            for name, worker in pool_state.workers.items()
            if worker.may_take(now) and name not in stalled
        }
        self._racks = racks.Racks(pool_state)
        self._held: set[str] = set()
        self._closed = trials.list_closed(pool_state, now)
        self._full = _Full()
        self._free_times = preemption.FreeTimes(pool_state, now)
        self._losses = preemption.Losses(pool_state, now)
        self._guaranteed_used = preemption.count_guaranteed(pool_state)
        self._reserved = dict(reserved)
        for key, spots in self._reserved.items():
            self._take_reserved(key, spots)

    def _take_reserved(self, key: model.StepKey, spots: dict[int, str]) -> None:
        work = self._pool_state.find_work(key)
        if work is None:
            return
        for worker in spots.values():
            space = self._spaces.get(worker)
            if space is not None:
                space.take(work.step.charge)

    def run(self) -> Plan:
        """Stop what is lost where it is, and place all steps in order."""
        rescues = relocation.list_rescues(
            self._pool_state, self._stalled, self._now, self._wall
        )
        whole = relocation.list_whole(self._pool_state, rescues)
        self._plan.stops += list(whole.values())
        holding = 0
        in_turn = waiting_steps.list_waiting(
            self._pool_state, self._now, self._wall, self._policy
        )
        for waiting in in_turn:
            if waiting.work.key in self._reserved:
                continue
            if self._is_held_back(waiting):
                continue
            placed = self._place(waiting)
            if placed or holding >= self._policy.most_holding:
                continue
            self._hold_workers(waiting)
            holding += 1
        return self._plan

    def _is_held_back(self, waiting: waiting_steps.Waiting) -> bool:
        """Tell whether a step leaves free room to urgent work to come.

        Where the first priority had to stop others a moment ago, more of it
        is likely to come. What starts in the gaps meanwhile is stopped again
        at once, and the urgent job waits for that stop. What is late already
        goes all the same, so nothing is held back for good.
        """
        contended_at = self._pool_state.contended_at
        if contended_at is None or waiting.held.job.priority == 0:
            return False
        if waiting.late or waiting.work.step.lasting:
            return False
        return self._now < contended_at + self._policy.hold_back_s

    def _place(self, waiting: waiting_steps.Waiting) -> bool:
        """Place what can be placed; True if nothing is left waiting."""
        if waiting.work.kept.is_suspect and self._place_suspect(waiting):
            return True
        if waiting.work.step.gang:
            return self._place_gang(waiting)
        indices = sorted(waiting.work.waiting)
        chosen = self._choose_spaces(waiting, len(indices))
        for space in chosen:
            space.take(waiting.work.step.charge)
            space.note_task(waiting.work.key)
        spots = {
            index: space.worker
            for index, space in zip(indices, chosen, strict=False)
        }
        if spots:
            self._plan.placements.append(Placement(waiting.work.key, spots))
        if len(spots) == len(waiting.work.waiting):
            return True
        return self._reclaim(waiting, set(waiting.work.waiting) - set(spots))

    def _place_suspect(self, waiting: waiting_steps.Waiting) -> bool:
        """Start a task, or a gang, that may crash its workers, alone there.

        It stops nothing of others, and holds no room while it waits.

        Returns:
            Whether it has been placed or must wait; otherwise it is placed
            like any other.
        """
        spaces = [
            space
            for space in self._list_fitting(waiting)
            if self._count_bound(waiting, space) > 0
        ]
        trial = trials.choose_trial(
            self._pool_state, waiting.work, spaces, self._closed, self._now
        )
        if trial is None:
            return not trials.may_pass(waiting.work, self._now)
        for space in trial.values():
            space.take(waiting.work.step.charge)
            self._held.add(space.worker)
            self._closed.add(space.worker)
        spots = {index: space.worker for index, space in trial.items()}
        placement = Placement(waiting.work.key, spots, alone=True)
        self._plan.placements.append(placement)
        return True

    def _list_open(self, waiting: waiting_steps.Waiting) -> list[packing.Space]:
        work = waiting.work
        usable = [
            space
            for space in self._spaces.values()
            if space.worker not in self._held
            and self._has_label(space.worker, work.step.label)
            and self._is_permitted(waiting, space.worker)
        ]
        fresh = [s for s in usable if s.worker not in work.avoided_workers]
        return fresh or usable

    def _list_fitting(
        self, waiting: waiting_steps.Waiting
    ) -> list[packing.Space]:
        """Return the open spaces with room for one task at least."""
        charge = waiting.work.step.charge
        if self._full.is_known(waiting):
            return []
        found = [
            space
            for space in self._list_open(waiting)
            if space.free.holds(charge)
        ]
        if not found:
            self._full.note(waiting)
        return found

    def _has_label(self, worker: str, label: str) -> bool:
        return (
            not label or label in self._pool_state.workers[worker].entry.labels
        )

    def _is_permitted(
        self, waiting: waiting_steps.Waiting, worker: str
    ) -> bool:
        if not waiting.held.job.advised:
            return True
        return bool(waiting.work.permits.find_ticket(worker, self._now))

    def _count_bound(
        self, waiting: waiting_steps.Waiting, space: packing.Space
    ) -> int:
        """Return how many more tasks of the step a worker may take."""
        bound = waiting.work.step.per_worker
        if not bound:
            return waiting.work.step.count
        here = sum(
            1
            for key in self._pool_state.workers[space.worker].runs
            if model.find_step(key) == waiting.work.key
        )
        return max(0, bound - here - space.count_task(waiting.work.key))

    def _choose_spaces(
        self, waiting: waiting_steps.Waiting, count: int
    ) -> list[packing.Space]:
        """Return a space for each task that finds one, the tightest first."""
        step = waiting.work.step

        def bound(space: packing.Space) -> int:
            return self._count_bound(waiting, space)

        spaces = self._list_fitting(waiting)
        if not step.rack:
            return packing.fill_some(spaces, step.charge, count, bound)
        near = [space for space in spaces if space.rack == step.rack]
        chosen = packing.fill_some(near, step.charge, count, bound)
        if len(chosen) < count and self._may_spread(waiting):
            far = [space for space in spaces if space.rack != step.rack]
            rest = count - len(chosen)
            chosen += packing.fill_some(far, step.charge, rest, bound)
        return chosen

    def _may_spread(self, waiting: waiting_steps.Waiting) -> bool:
        """Tell whether a step has waited long enough for its rack."""
        since = waiting.work.waiting_since
        waited = self._now - since if since is not None else 0.0
        step = waiting.work.step
        factor = self._policy.idle_rack_patience
        if self._racks.is_crowded and self._racks.may_hold(step):
            factor = self._policy.rack_patience
        patience = factor * step.expected_s
        if self._is_guaranteed(waiting):
            patience = min(patience, self._policy.guaranteed_rack_patience_s)
        return waited >= patience

    def _place_gang(self, waiting: waiting_steps.Waiting) -> bool:
        spots = self._choose_gang(waiting, self._list_fitting(waiting))
        if spots is None:
            return self._reclaim(waiting, set(waiting.work.waiting))
        indices = sorted(waiting.work.waiting)
        for space in spots:
            space.take(waiting.work.step.charge)
        self._plan.placements.append(
            Placement(
                waiting.work.key,
                {
                    index: space.worker
                    for index, space in zip(indices, spots, strict=True)
                },
            )
        )
        return True

    def _choose_gang(
        self, waiting: waiting_steps.Waiting, spaces: list[packing.Space]
    ) -> list[packing.Space] | None:
        step = waiting.work.step

        def bound(space: packing.Space) -> int:
            return self._count_bound(waiting, space)

        narrow = step.one_rack or bool(step.rack)
        groups = packing.group_by_rack(spaces)
        if step.rack and step.rack in groups:
            groups = {step.rack: groups[step.rack]}
        best = packing.choose_rack(
            list(groups.values()), step.charge, step.count, bound
        )
        if best is not None:
            return best
        if narrow and not self._may_spread(waiting):
            return None
        return packing.fill(spaces, step.charge, step.count, bound)

    # Guarantees.

    def _is_guaranteed(self, waiting: waiting_steps.Waiting) -> bool:
        """Tell whether a step is covered by its customer's guarantee."""
        job = waiting.held.job
        if job.priority != 0:
            return False
        wanted = waiting.work.step.charge.accelerators * len(
            waiting.work.waiting
        )
        used = self._guaranteed_used.get(job.customer, 0)
        return used + wanted <= self._pool_state.guaranteed.get(job.customer, 0)

    def _reclaim(
        self, waiting: waiting_steps.Waiting, missing: set[int]
    ) -> bool:
        """Stop work of lower priority that is in the way.

        Under its guarantee a step may stop whatever is needed. Beyond that
        only what throws little work away beside its own.
        """
        job = waiting.held.job
        step = waiting.work.step
        factor = self._policy.find_loss_factor(job.priority)
        if not factor or waiting.hopeless or step.lasting:
            return False
        chosen = preemption.choose_victims(
            self._losses,
            job.priority,
            step,
            len(missing),
            {
                space.worker: space
                for space in self._list_open(waiting)
                if self._count_bound(waiting, space) > 0
            },
            may_spread=self._may_spread(waiting),
        )
        if chosen is None:
            return False
        own = step.charge.cores * step.expected_s * len(missing)
        guaranteed = self._is_guaranteed(waiting)
        if not guaranteed and chosen.cost > factor * own:
            return False
        spots = dict(zip(sorted(missing), chosen.workers, strict=True))
        claim = "guaranteed to" if guaranteed else "wanted first by"
        why = f"its room is {claim} job {job.id}"
        self._plan.stops += [(run, why) for run in chosen.runs]
        if chosen.runs and job.priority == 0:
            self._plan.contended = True
        self._losses.note_chosen(chosen)
        self._plan.reservations.append(Placement(waiting.work.key, spots))
        for worker in chosen.workers:
            self._spaces[worker].take(step.charge)
        return True

    def _hold_workers(self, waiting: waiting_steps.Waiting) -> None:
        """Keep later steps off the workers that will fit this one first."""
        step = waiting.work.step
        missing = len(waiting.work.waiting)
        ranked = sorted(
            self._list_open(waiting),
            key=lambda space: self._free_times.find(space.worker, step.charge),
        )
        for space in ranked[: packing.count_workers(missing, step, ranked)]:
            self._held.add(space.worker)


def plan(
    pool_state: pool_states.Book,
    now: float,
    wall: float,
    *,
    reserved: Iterable[tuple[model.StepKey, dict[int, str]]] = (),
    policy: planner_parameters.Policy = _DEFAULT,
) -> Plan:
    """Return what to start and stop now.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
        wall: Unix time in seconds.
        reserved: Room kept for guaranteed work whose victims still end.
        policy: Weights and limits.
    """
    return Planner(pool_state, now, wall, reserved, policy).run()

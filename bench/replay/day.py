"""One replayed day: the pool's book and planner against a model of workers."""

import collections
from collections.abc import Callable
import dataclasses
import random
import re

from bench.replay import load as loads
from bench.replay import worth
from crocusrouter import work
from crocusrouter.pools import reservations
from crocusrouter.work import packing
from crocusrouter.work import replacement
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

_WALL = 1_000_000.0
_TICK_S = 0.05
_LOOK_S = 1.0
_DECISION_S = 0.25
_REMOTE = 3.0
_CALM_S = 25.0
_OWN_FAILURES = 0.02
_JOB = re.compile(r"\b[0-9a-f]{16}\b")


@dataclasses.dataclass
class _Running:
    """A run as its worker has it; work in seconds at full speed."""

    key: work.TaskKey
    number: int
    worker: str
    step: work.Step
    total_s: float
    done_s: float
    fails_at: float | None
    restored_at: float
    stops_at: float | None = None
    began: float = 0.0


@dataclasses.dataclass
class Outcome:
    """How a day ended.

    Attributes:
        served: Each job that was owed.
        wasted_by: Core-seconds that were stopped or lost, less what was
            saved, by what ended the work.
        stops: Runs stopped for others.
        decisions_s: Real seconds of each decision.
    """

    served: list[worth.Served]
    wasted_by: dict[str, float]
    stops: int
    decisions_s: list[float]

    @property
    def wasted(self) -> float:
        """All core-seconds that came to nothing."""
        return sum(self.wasted_by.values())


class _Day:
    def __init__(
        self,
        site: loads.Site,
        arrivals: list[loads.Arrival],
        troubles: list[loads.Trouble],
        policy: work.PlannerPolicy,
        seed: int,
        read_clock: Callable[[], float],
    ) -> None:
        self.site = site
        self.arrivals = {a.job.id: a for a in arrivals}
        self.pending = list(arrivals)
        self.troubles = troubles
        self.policy = policy
        self.rng = random.Random(seed)
        self.read_clock = read_clock
        self.book = work.PoolState(1)
        self.reserved = reservations.Reservations()
        self.running: dict[work.TaskKey, _Running] = {}
        self.ends: dict[str, list[worker_port.RunEnd]] = {}
        self.numbers: dict[str, int] = {}
        self.speeds: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.wasted_by: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.stops = 0
        self.next_run = 1
        self.decisions_s: list[float] = []
        self.book.guaranteed = {
            f"c{n}": site.guaranteed for n in range(site.customers)
        }
        self.seed = seed
        for name, rack in loads.name_workers(site).items():
            self._add_worker(name, rack, 0.0)

    def _add_worker(self, name: str, rack: str, now: float) -> None:
        labels = frozenset({"a", rack})
        entry = worker_port.WorkerEntry(
            name, "pool", "", "dc", False, self.site.room, labels
        )
        self.book.set_worker(entry, now)
        self.book.workers[name].reached = True
        self.ends[name] = []
        self.numbers[name] = 0
        self.speeds[name] = loads.draw_speed(self.site, self.seed, name)

    def run(self, length_s: float) -> Outcome:
        """Play the day and the calm after it."""
        steps = round((length_s + _CALM_S) / _TICK_S)
        decided = 0.0
        for number in range(steps):
            now = number * _TICK_S
            changed = self._take_arrivals(now)
            changed |= self._take_departures(now)
            self._work(now)
            if self._is_away(now):
                continue
            changed |= self._report(now, number)
            if changed or now >= decided + _DECISION_S:
                self._decide(now)
                decided = now
        return Outcome(
            self._list_served(), self.wasted_by, self.stops, self.decisions_s
        )

    def _is_away(self, now: float) -> bool:
        return any(
            not t.worker and t.start <= now < t.end for t in self.troubles
        )

    def _take_departures(self, now: float) -> bool:
        """Let workers say that they leave, go, and be replaced."""
        changed = False
        for trouble in self.troubles:
            if not trouble.leaves:
                continue
            entry = self.book.workers[trouble.worker].entry
            if now - _TICK_S < trouble.start <= now:
                stays_s = trouble.end - trouble.start
                leaving = dataclasses.replace(
                    entry, draining=True, stays_s=stays_s
                )
                self.book.set_worker(leaving, now)
                changed = True
            if now - _TICK_S < trouble.end <= now:
                self._remove_worker(trouble.worker, now)
                changed = True
            if now - _TICK_S < trouble.replaced_at <= now:
                rack = packing.find_rack(entry.labels)
                self._add_worker(f"{trouble.worker}+", rack, now)
                changed = True
        return changed

    def _remove_worker(self, name: str, now: float) -> None:
        """End a worker with all that runs there."""
        self.ends.pop(name)
        for run in list(self.running.values()):
            if run.worker == name and self.running.get(run.key) is run:
                self._end(run, worker_port.RunOutcome.BROKEN)
        self.book.unlist_worker(name)
        replacement.note_incarnation_replaced(self.book, name, now)

    def _take_arrivals(self, now: float) -> bool:
        changed = False
        while self.pending and self.pending[0].at <= now:
            job = self.pending.pop(0).job
            self.book.put_job(job, work.Progress(), 2, now)
            changed = True
        self.book.open_due_occurrences(_WALL + now, now)
        for arrival in self.arrivals.values():
            at = arrival.cancelled_at
            if at is not None and now - _TICK_S < at <= now:
                gone = dataclasses.replace(arrival.job, cancelled=True)
                self.book.put_job(gone, work.Progress(), 2, now)
                changed = True
        return changed

    # Workers.

    def _find_speed(self, worker: str, now: float) -> float:
        speed = self.speeds[worker]
        for trouble in self.troubles:
            if trouble.worker == worker and trouble.start <= now < trouble.end:
                speed = min(speed, self.speeds[worker] * trouble.speed)
        return speed

    def _work(self, now: float) -> None:
        """Let a tick pass on all workers."""
        speeds: dict[str, float] = {}
        gangs: dict[tuple[work.StepKey, int], float] = {}
        for run in self.running.values():
            if run.worker not in speeds:
                speeds[run.worker] = self._find_speed(run.worker, now)
            gang = (work.StepKey(*run.key[:3]), run.number)
            speed = speeds[run.worker]
            gangs[gang] = min(speed, gangs.get(gang, speed))
        for run in list(self.running.values()):
            if self.running.get(run.key) is not run:
                continue
            speed = speeds[run.worker]
            if run.step.gang:
                speed = gangs[work.StepKey(*run.key[:3]), run.number]
            if now >= run.restored_at:
                run.done_s += _TICK_S * speed
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, worker_port.RunOutcome.STOPPED)
            elif run.fails_at is not None and run.done_s >= run.fails_at:
                self._end(run, worker_port.RunOutcome.FAILED)
            elif run.done_s >= run.total_s:
                self._end(run, worker_port.RunOutcome.DONE)

    def _end(self, run: _Running, how: worker_port.RunOutcome) -> None:
        members = [run]
        if run.step.gang:
            members = [
                other
                for other in self.running.values()
                if other.key[:3] == run.key[:3] and other.number == run.number
            ]
        cause = self._name_cause(run, how)
        for member in members:
            del self.running[member.key]
            ended = (
                how
                if member is run or how is worker_port.RunOutcome.DONE
                else None
            )
            self._list_end(
                member, ended or worker_port.RunOutcome.BROKEN, cause
            )

    def _list_end(
        self, run: _Running, how: worker_port.RunOutcome, cause: str
    ) -> None:
        saved = ""
        if how is not worker_port.RunOutcome.DONE:
            if run.step.checkpoints:
                saved = f"{run.done_s:.3f}"
            else:
                lost = run.done_s * run.step.room.cores
                self.wasted_by[cause] += lost
        if run.worker not in self.ends:
            return  # it has left; its owner learns that, and no ends
        self.numbers[run.worker] += 1
        self.ends[run.worker].append(
            worker_port.RunEnd(
                self.numbers[run.worker], run.key, run.number, how, saved
            )
        )

    def _name_cause(self, run: _Running, how: worker_port.RunOutcome) -> str:
        """Return why a run came to nothing, without names of jobs."""
        held = self.book.runs.get(run.key)
        if (
            how is worker_port.RunOutcome.STOPPED
            and held is not None
            and held.stop_reason
        ):
            return _JOB.sub("JOB", held.stop_reason)
        if run.worker not in self.ends:
            return "its worker left"
        return str(how)

    def _report(self, now: float, number: int) -> bool:
        """Let workers tell that have ends, or whose look is due."""
        by_worker: dict[str, list[_Running]] = {}
        for run in self.running.values():
            by_worker.setdefault(run.worker, []).append(run)
        changed = False
        look = round(_LOOK_S / _TICK_S)
        for offset, name in enumerate(self.ends):
            due = (number + offset) % look == 0
            if not self.ends[name] and not due:
                continue
            rows = tuple(
                worker_port.ReportedRun(
                    run.key,
                    run.number,
                    "",
                    float(int(100 * run.done_s / run.total_s)),
                )
                for run in by_worker.get(name, [])
            )
            report = worker_port.Report(0, rows, tuple(self.ends[name]))
            changed |= bool(self.ends[name])
            self.ends[name] = []
            work.apply_report(self.book, name, report, now, now)
        self._note_ended(now)
        return changed

    def _note_ended(self, now: float) -> None:
        for job_id in sorted(self.book.dirty):
            held = self.book.jobs[job_id]
            if held.progress.final_state is not None:
                self.ended_at.setdefault(job_id, now)
        self.book.dirty.clear()

    # Decisions.

    def _decide(self, now: float) -> None:
        for placement in self.reserved.take_ready(self.book, now):
            self._start(placement, now)
        began = self.read_clock()
        plan = work.plan(
            self.book,
            now,
            _WALL + now,
            reserved=self.reserved.list_spots(),
            policy=self.policy,
        )
        self.decisions_s.append(self.read_clock() - began)
        for placement in plan.placements:
            self._start(placement, now)
        if plan.contended:
            self.book.note_contention(now)
        for run, why in plan.stops:
            self.book.stop_run(run, why, now)
            self.stops += 1
        for placement in plan.reservations:
            self.reserved.add(placement, now)
        for _, order in self.book.outbox:
            held = self.running.get(order.key)
            if held is not None and held.number == order.run:
                held.stops_at = now + self.rng.uniform(0.5, 1.0) * (
                    self.site.stop_s
                )
        self.book.outbox.clear()
        self.book.events.clear()

    def _start(self, placement: work.Placement, now: float) -> None:
        found = self.book.find_tracked_step(placement.step)
        assert found is not None
        arrival = self.arrivals[placement.step.job]
        factor = self._find_factor(found, placement)
        shared = self.next_run
        self.next_run += 1
        for index, worker in placement.spots.items():
            number = shared
            if not found.step.gang:
                number = self.next_run
                self.next_run += 1
            key = work.TaskKey(*placement.step, index)
            run = self.book.add_run(key, number, worker, now)
            self.book.note_started(key, number, now)
            total = arrival.task_s[index] * factor
            self.running[key] = _Running(
                key,
                number,
                worker,
                found.step,
                total,
                float(run.checkpoint or 0.0),
                self._find_failure(arrival, worker, total, now),
                now + (self.site.restore_s if run.checkpoint else 0.0),
            )

    def _find_factor(
        self, found: tracking.TrackedStep, placement: work.Placement
    ) -> float:
        racks = {
            label
            for worker in placement.spots.values()
            for label in self.book.workers[worker].entry.labels
            if "-" in label
        }
        return _REMOTE if found.step.one_rack and len(racks) > 1 else 1.0

    def _find_failure(
        self, arrival: loads.Arrival, worker: str, total: float, now: float
    ) -> float | None:
        """Return after how much work a run fails; None if it doesn't."""
        grey = any(
            t.fails and t.worker == worker and t.start <= now < t.end
            for t in self.troubles
        )
        share = _OWN_FAILURES / max(1, len(arrival.task_s))
        if grey or arrival.poisoned or self.rng.random() < share:
            return total * self.rng.uniform(0.1, 0.9)
        return None

    def _list_served(self) -> list[worth.Served]:
        served = []
        for job_id, arrival in self.arrivals.items():
            if arrival.cancelled_at is not None:
                continue
            held = self.book.jobs.get(job_id)
            state = held.progress.final_state if held is not None else None
            wanted = work.State.FAILED if arrival.poisoned else work.State.DONE
            ended = self.ended_at.get(job_id) if state is wanted else None
            after = ended - arrival.at if ended is not None else None
            served.append(
                worth.Served(
                    arrival.at,
                    arrival.kind.name,
                    arrival.job.customer,
                    arrival.value,
                    worth.earn(
                        after,
                        arrival.objective_s,
                        arrival.value,
                        arrival.value
                        * arrival.kind.late_worth
                        / arrival.kind.worth,
                    ),
                )
            )
        return served


def play_day(
    site: loads.Site,
    arrivals: list[loads.Arrival],
    troubles: list[loads.Trouble],
    policy: work.PlannerPolicy,
    seed: int,
    read_clock: Callable[[], float],
    length_s: float = 34.0,
) -> Outcome:
    """Play one day under a policy.

    Args:
        site: Workers and kinds.
        arrivals: What comes.
        troubles: What goes wrong.
        policy: How steps are ordered, placed and stopped.
        seed: Draws the failures of tasks.
        read_clock: Real seconds; times the decisions.
        length_s: Seconds in which jobs come.
    """
    day = _Day(site, arrivals, troubles, policy, seed, read_clock)
    return day.run(length_s)

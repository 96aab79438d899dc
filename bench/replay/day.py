"""Simulates one day: a pool's state and planner with modelled workers."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
import re

from bench.replay import load as loads
from bench.replay import scoring
from crocusrouter import work
from crocusrouter.pools import reservations
from crocusrouter.work import packing
from crocusrouter.work import replacement
from crocusrouter.work import speeds
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

_WALL_CLOCK_START_S = 1_000_000.0
_TICK_S = 0.05
_REPORT_INTERVAL_S = 1.0
_DECISION_INTERVAL_S = 0.25
_SPREAD_GANG_SLOWDOWN = 3.0
_IDLE_END_S = 25.0
_JOB_FAILURE_SHARE = 0.02
_JOB_ID = re.compile(r"\b[0-9a-f]{16}\b")

# Returns the estimates that a day begins with, from the true speed of each
# worker; the mapping grows as workers join.
MakeSpeeds = Callable[[Mapping[str, float]], speeds.WorkerSpeeds]


@dataclasses.dataclass
class _SimulatedRun:
    """A run on a modelled worker; `total_s` and `done_s` are at full speed."""

    key: work.TaskKey
    number: int
    worker: str
    step: work.Step
    total_s: float
    done_s: float
    fails_at: float | None
    restored_at: float
    stops_at: float | None = None
    started_at: float = 0.0


@dataclasses.dataclass
class Outcome:
    """Results of a simulated day.

    Attributes:
        job_results: One result for each job that was not cancelled.
        wasted_by: Core-seconds of stopped or lost work that no checkpoint
            saved, by the cause of its end.
        stops_by: Number of runs that the planner stopped, by its reason with
            job ids masked.
        stops_by_task: How often each task was stopped for other jobs; a gang
            counts as its first task.
        decisions_s: Real duration of each decision in seconds.
        true_speeds: True speed of each worker that was there.
        speed_groups: The groups that were known at each decision, with its
            time in seconds from the start of the day.
    """

    job_results: list[scoring.JobResult]
    wasted_by: dict[str, float]
    stops_by: dict[str, int]
    stops_by_task: dict[work.TaskKey, int]
    decisions_s: list[float]
    true_speeds: dict[str, float]
    speed_groups: list[tuple[float, speeds.SpeedGroups]]

    @property
    def stops(self) -> int:
        """Number of runs that the planner stopped."""
        return sum(self.stops_by.values())

    @property
    def wasted(self) -> float:
        """Core-seconds of wasted work, over all causes."""
        return sum(self.wasted_by.values())


class _DaySimulation:
    def __init__(
        self,
        site: loads.Site,
        arrivals: list[loads.Arrival],
        disruptions: list[loads.Disruption],
        policy: work.PlannerPolicy,
        seed: int,
        read_clock: Callable[[], float],
        make_speeds: MakeSpeeds | None,
    ) -> None:
        self.site = site
        self.arrivals = {a.job.id: a for a in arrivals}
        self.future_arrivals = list(arrivals)
        self.disruptions = disruptions
        self.policy = policy
        self.rng = random.Random(seed)
        self.read_clock = read_clock
        self.pool_state = work.PoolState(1)
        self.reserved = reservations.Reservations()
        self.running: dict[work.TaskKey, _SimulatedRun] = {}
        self.unreported_ends: dict[str, list[worker_port.RunEnd]] = {}
        self.last_end_numbers: dict[str, int] = {}
        self.speeds: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.wasted_by: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.stops_by: collections.Counter[str] = collections.Counter()
        self.next_run_number = 1
        self.decisions_s: list[float] = []
        self.speed_groups: list[tuple[float, speeds.SpeedGroups]] = []
        self.pool_state.guaranteed = {
            f"c{n}": site.guaranteed for n in range(site.customers)
        }
        self.seed = seed
        if make_speeds is not None:
            self.pool_state.speeds = make_speeds(self.speeds)
        for name, rack in loads.name_workers(site).items():
            self._add_worker(name, rack, 0.0)

    def _add_worker(self, name: str, rack: str, now: float) -> None:
        labels = frozenset({"a", rack})
        entry = worker_port.WorkerEntry(
            name, "pool", "", "dc", False, self.site.room, labels
        )
        self.pool_state.set_worker(entry, now)
        self.pool_state.workers[name].is_recorded = True
        self.pool_state.workers[name].reached = True
        self.unreported_ends[name] = []
        self.last_end_numbers[name] = 0
        self.speeds[name] = loads.draw_speed(self.site, self.seed, name)

    def run(self, length_s: float) -> Outcome:
        """Simulate the day and the idle period after it."""
        tick_count = round((length_s + _IDLE_END_S) / _TICK_S)
        decided_at = 0.0
        for tick in range(tick_count):
            now = tick * _TICK_S
            changed = self._submit_arrivals(now)
            changed |= self._apply_departures(now)
            self._advance_runs(now)
            if self._is_owner_absent(now):
                continue
            changed |= self._deliver_reports(now, tick)
            if changed or now >= decided_at + _DECISION_INTERVAL_S:
                self._make_decision(now)
                decided_at = now
        return Outcome(
            self._list_job_results(),
            self.wasted_by,
            self.stops_by,
            self._count_stops_by_task(),
            self.decisions_s,
            self.speeds,
            self.speed_groups,
        )

    def _count_stops_by_task(self) -> dict[work.TaskKey, int]:
        return {
            work.TaskKey(*step_key, index): len(numbers)
            for tracked_job in self.pool_state.jobs.values()
            for step_key, tracked_step in tracked_job.steps.items()
            for index, numbers in tracked_step.progress.stopped_runs.items()
        }

    def _is_owner_absent(self, now: float) -> bool:
        return any(
            not t.worker and t.start <= now < t.end for t in self.disruptions
        )

    def _apply_departures(self, now: float) -> bool:
        """Announce, remove and replace the workers whose time has come."""
        changed = False
        for disruption in self.disruptions:
            if not disruption.leaves:
                continue
            entry = self.pool_state.workers[disruption.worker].entry
            if now - _TICK_S < disruption.start <= now:
                stays_s = disruption.end - disruption.start
                leaving = dataclasses.replace(
                    entry, draining=True, stays_s=stays_s
                )
                self.pool_state.set_worker(leaving, now)
                changed = True
            if now - _TICK_S < disruption.end <= now:
                self._remove_worker(disruption.worker, now)
                changed = True
            if now - _TICK_S < disruption.replaced_at <= now:
                rack = packing.find_rack(entry.labels)
                self._add_worker(f"{disruption.worker}+", rack, now)
                changed = True
        return changed

    def _remove_worker(self, name: str, now: float) -> None:
        """Remove a worker and end all its runs."""
        self.unreported_ends.pop(name)
        for run in list(self.running.values()):
            if run.worker == name and self.running.get(run.key) is run:
                self._end_run(run, worker_port.RunOutcome.BROKEN)
        self.pool_state.unlist_worker(name)
        replacement.note_incarnation_replaced(self.pool_state, name, now)

    def _submit_arrivals(self, now: float) -> bool:
        changed = False
        while self.future_arrivals and self.future_arrivals[0].at <= now:
            job = self.future_arrivals.pop(0).job
            self.pool_state.put_job(job, work.Progress(), 2, now)
            changed = True
        self.pool_state.open_due_occurrences(_WALL_CLOCK_START_S + now, now)
        for arrival in self.arrivals.values():
            cancelled_at = arrival.cancelled_at
            if cancelled_at is not None and now - _TICK_S < cancelled_at <= now:
                cancelled_job = dataclasses.replace(arrival.job, cancelled=True)
                self.pool_state.put_job(cancelled_job, work.Progress(), 2, now)
                changed = True
        return changed

    # Workers.

    def _find_speed(self, worker: str, now: float) -> float:
        speed = self.speeds[worker]
        for disruption in self.disruptions:
            if (
                disruption.worker == worker
                and disruption.start <= now < disruption.end
            ):
                speed = min(speed, self.speeds[worker] * disruption.speed)
        return speed

    def _advance_runs(self, now: float) -> None:
        """Advance all runs by one tick.

        Each member of a gang works at its own worker's speed. The gang ends
        with its slowest member; the others wait for it.
        """
        speeds: dict[str, float] = {}
        unfinished: set[tuple[work.StepKey, int]] = set()
        for run in self.running.values():
            if run.worker not in speeds:
                speeds[run.worker] = self._find_speed(run.worker, now)
            if now >= run.restored_at:
                run.done_s = min(
                    run.total_s, run.done_s + _TICK_S * speeds[run.worker]
                )
            if run.done_s < run.total_s:
                unfinished.add((work.StepKey(*run.key[:3]), run.number))
        for run in list(self.running.values()):
            if self.running.get(run.key) is not run:
                continue
            gang = (work.StepKey(*run.key[:3]), run.number)
            if run.stops_at is not None and now >= run.stops_at:
                self._end_run(run, worker_port.RunOutcome.STOPPED)
            elif run.fails_at is not None and run.done_s >= run.fails_at:
                self._end_run(run, worker_port.RunOutcome.FAILED)
            elif gang not in unfinished:
                self._end_run(run, worker_port.RunOutcome.DONE)

    def _end_run(self, run: _SimulatedRun, how: worker_port.RunOutcome) -> None:
        members = [run]
        if run.step.gang:
            members = [
                other
                for other in self.running.values()
                if other.key[:3] == run.key[:3] and other.number == run.number
            ]
        cause = self._describe_cause(run, how)
        for member in members:
            del self.running[member.key]
            member_how = (
                how
                if member is run or how is worker_port.RunOutcome.DONE
                else None
            )
            self._add_end(
                member, member_how or worker_port.RunOutcome.BROKEN, cause
            )

    def _add_end(
        self, run: _SimulatedRun, how: worker_port.RunOutcome, cause: str
    ) -> None:
        saved = ""
        if how is not worker_port.RunOutcome.DONE:
            if run.step.checkpoints:
                saved = f"{run.done_s:.3f}"
            else:
                lost_core_s = run.done_s * run.step.room.cores
                self.wasted_by[cause] += lost_core_s
        if run.worker not in self.unreported_ends:
            return  # a removed worker reports no ends of its runs
        self.last_end_numbers[run.worker] += 1
        self.unreported_ends[run.worker].append(
            worker_port.RunEnd(
                self.last_end_numbers[run.worker],
                run.key,
                run.number,
                how,
                saved,
            )
        )

    def _describe_cause(
        self, run: _SimulatedRun, how: worker_port.RunOutcome
    ) -> str:
        """Return why a run was wasted, with job ids masked."""
        tracked_run = self.pool_state.runs.get(run.key)
        if (
            how is worker_port.RunOutcome.STOPPED
            and tracked_run is not None
            and tracked_run.stop_reason
        ):
            return _JOB_ID.sub("JOB", tracked_run.stop_reason)
        if run.worker not in self.unreported_ends:
            return "its worker left"
        return str(how)

    def _deliver_reports(self, now: float, tick: int) -> bool:
        """Deliver reports of workers with ended runs or with a due report."""
        by_worker: dict[str, list[_SimulatedRun]] = {}
        for run in self.running.values():
            by_worker.setdefault(run.worker, []).append(run)
        changed = False
        ticks_per_report = round(_REPORT_INTERVAL_S / _TICK_S)
        for offset, name in enumerate(self.unreported_ends):
            is_due = (tick + offset) % ticks_per_report == 0
            if not self.unreported_ends[name] and not is_due:
                continue
            running_rows = tuple(
                worker_port.ReportedRun(
                    run.key,
                    run.number,
                    "",
                    # The quotient first: 100 * x / x may be below 100.
                    float(int(100 * (run.done_s / run.total_s))),
                )
                for run in by_worker.get(name, [])
            )
            report = worker_port.Report(
                0, running_rows, tuple(self.unreported_ends[name])
            )
            changed |= bool(self.unreported_ends[name])
            self.unreported_ends[name] = []
            work.apply_report(self.pool_state, name, report, now, now)
        self._record_final_times(now)
        return changed

    def _record_final_times(self, now: float) -> None:
        for job_id in sorted(self.pool_state.dirty):
            tracked_job = self.pool_state.jobs[job_id]
            if tracked_job.progress.final_state is not None:
                self.ended_at.setdefault(job_id, now)
        self.pool_state.dirty.clear()

    # Decisions.

    def _make_decision(self, now: float) -> None:
        for placement in self.reserved.take_ready(self.pool_state, now):
            self._start_runs(placement, now)
        started_at = self.read_clock()
        plan = work.plan(
            self.pool_state,
            now,
            _WALL_CLOCK_START_S + now,
            reserved=self.reserved.list_spots(),
            policy=self.policy,
        )
        self.decisions_s.append(self.read_clock() - started_at)
        self.speed_groups.append((now, self.pool_state.speeds.find_groups()))
        for placement in plan.placements:
            self._start_runs(placement, now)
        self.pool_state.note_delays(plan.delays, now)
        if plan.contended:
            self.pool_state.note_contention(now)
        for run, why in plan.stops:
            self.pool_state.stop_run(run, why, now)
            self.stops_by[_JOB_ID.sub("JOB", str(why))] += 1
        for placement in plan.reservations:
            self.reserved.add(placement, now)
        for _, order in self.pool_state.outbox:
            simulated = self.running.get(order.key)
            if simulated is not None and simulated.number == order.run:
                simulated.stops_at = now + self.rng.uniform(0.5, 1.0) * (
                    self.site.stop_s
                )
        self.pool_state.outbox.clear()
        self.pool_state.events.clear()

    def _start_runs(self, placement: work.Placement, now: float) -> None:
        step_work = self.pool_state.find_tracked_step(placement.step)
        assert step_work is not None
        arrival = self.arrivals[placement.step.job]
        slowdown = self._find_slowdown(step_work, placement)
        gang_run_number = self.next_run_number
        self.next_run_number += 1
        for index, worker in placement.spots.items():
            number = gang_run_number
            if not step_work.step.gang:
                number = self.next_run_number
                self.next_run_number += 1
            key = work.TaskKey(*placement.step, index)
            run = self.pool_state.add_run(key, number, worker, now)
            self.pool_state.note_started(key, number, now)
            total_s = arrival.task_s[index] * slowdown
            self.running[key] = _SimulatedRun(
                key,
                number,
                worker,
                step_work.step,
                total_s,
                float(run.checkpoint or 0.0),
                self._draw_failure(arrival, worker, total_s, now),
                now + (self.site.restore_s if run.checkpoint else 0.0),
            )

    def _find_slowdown(
        self, step_work: tracking.TrackedStep, placement: work.Placement
    ) -> float:
        racks = {
            label
            for worker in placement.spots.values()
            for label in self.pool_state.workers[worker].entry.labels
            if "-" in label
        }
        return (
            _SPREAD_GANG_SLOWDOWN
            if step_work.step.one_rack and len(racks) > 1
            else 1.0
        )

    def _draw_failure(
        self, arrival: loads.Arrival, worker: str, total_s: float, now: float
    ) -> float | None:
        """Return the amount of work after which a run fails; None if never."""
        worker_fails = any(
            t.fails and t.worker == worker and t.start <= now < t.end
            for t in self.disruptions
        )
        share = _JOB_FAILURE_SHARE / max(1, len(arrival.task_s))
        if worker_fails or arrival.poisoned or self.rng.random() < share:
            return total_s * self.rng.uniform(0.1, 0.9)
        return None

    def _list_job_results(self) -> list[scoring.JobResult]:
        job_results = []
        for job_id, arrival in self.arrivals.items():
            if arrival.cancelled_at is not None:
                continue
            tracked_job = self.pool_state.jobs.get(job_id)
            state = (
                tracked_job.progress.final_state
                if tracked_job is not None
                else None
            )
            wanted = work.State.FAILED if arrival.poisoned else work.State.DONE
            ended_at = self.ended_at.get(job_id) if state is wanted else None
            took_s = ended_at - arrival.at if ended_at is not None else None
            job_results.append(
                scoring.JobResult(
                    arrival.at,
                    arrival.kind.name,
                    arrival.job.customer,
                    arrival.value,
                    scoring.compute_value(
                        took_s,
                        arrival.objective_s,
                        arrival.value,
                        arrival.value
                        * arrival.kind.value_late
                        / arrival.kind.value_on_time,
                    ),
                )
            )
        return job_results


def play_day(
    site: loads.Site,
    arrivals: list[loads.Arrival],
    disruptions: list[loads.Disruption],
    policy: work.PlannerPolicy,
    seed: int,
    read_clock: Callable[[], float],
    length_s: float = 34.0,
    make_speeds: MakeSpeeds | None = None,
) -> Outcome:
    """Simulate one day under a policy.

    Args:
        site: Workers and kinds of jobs.
        arrivals: Jobs that arrive.
        disruptions: Faults and removals of workers and absences of the owner.
        policy: Policy by which steps are ordered, placed and stopped.
        seed: Seed of task failures, stop times and worker speeds.
        read_clock: Returns real seconds, to time the decisions.
        length_s: Seconds during which jobs arrive.
        make_speeds: Replaces the pool's estimates of the workers' speeds; None
            to estimate them.
    """
    simulation = _DaySimulation(
        site, arrivals, disruptions, policy, seed, read_clock, make_speeds
    )
    return simulation.run(length_s)

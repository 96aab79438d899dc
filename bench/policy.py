"""Compares the job scheduler with baselines by completion and fragmentation.

The scheduler decides on a simulated clock. Workers obey commands immediately
and run each job for the time that the seeded load gives. The baselines schedule
the same loads in order of arrival, without guarantees.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import hashlib
import heapq
import random

from bench import figures
from crocusrouter import jobs
from crocusrouter import templates
from crocusrouter.fleet import messages
from crocusrouter.jobs import cells
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.jobs import scheduler
from crocusrouter.jobs import scheduler_state as scheduler_states
from crocusrouter.templates import Level

_WORKERS = 24
_ACCELERATORS = 8
_SEEDS = (1, 2, 3, 4, 5)
_LOAD_LENGTH_S = 12 * 3600.0
_STEP_S = 5.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job of a load, its arrival time and its true run time."""

    at: float
    job: model.Job
    run_time_s: float


@dataclasses.dataclass(frozen=True)
class Load:
    """Racks, template weights and kinds of jobs of one user.

    Attributes:
        name: Name of the user.
        workers_per_rack: Number of workers in a rack.
        weights: Scheduling weights of the templates.
        jobs_per_hour: Mean rate of arrivals.
        kinds: (name, share of jobs, accelerators, level, mean seconds).
    """

    name: str
    workers_per_rack: int
    weights: templates.PlacementWeights
    jobs_per_hour: float
    kinds: tuple[tuple[str, float, int, Level, float], ...]


FBUSW = Load(
    "fbusw",
    6,
    templates.PlacementWeights(completion=3.0, fragmentation=1.0),
    78.0,
    (
        ("match", 0.70, 1, Level.WORKER, 240.0),
        ("tag", 0.22, 8, Level.WORKER, 1200.0),
        ("retag", 0.08, 32, Level.RACK, 2400.0),
    ),
)
KILIMA = Load(
    "kilima",
    8,
    templates.PlacementWeights(completion=1.0, fragmentation=3.0),
    46.0,
    (
        ("verify", 0.70, 1, Level.WORKER, 300.0),
        ("rank", 0.20, 8, Level.WORKER, 1500.0),
        ("render", 0.10, 48, Level.RACK, 2400.0),
    ),
)
_CUSTOMERS = ("one", "two", "three", "four")


def build_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Draw a load; declared run times are wrong by a factor of up to ten."""
    rng = random.Random(f"{load.name}-{seed}")
    arrivals = []
    now = 0.0
    number = 0
    while now < _LOAD_LENGTH_S:
        now += rng.expovariate(load.jobs_per_hour / 3600.0)
        shares = [kind[1] for kind in load.kinds]
        [kind] = rng.choices(load.kinds, shares)
        name, _, size, level, mean_s = kind
        run_time_s = mean_s * rng.lognormvariate(-0.125, 0.5)
        declared_s = run_time_s * 10 ** rng.uniform(-1.0, 1.0)
        customer = rng.choice(_CUSTOMERS)
        spec = model.Spec(name, size, level, declared_s, 86400.0, 3)
        job = model.Job(f"dc.{number:08d}", customer, spec, now)
        arrivals.append(Arrival(now, job, run_time_s))
        number += 1
    return arrivals


def build_scheduler_state(load: Load) -> scheduler_states.SchedulerState:
    """Return a state with a guaranteed rack cell for each of two customers."""
    catalog = templates.Catalog()
    rack = load.workers_per_rack * _ACCELERATORS
    for number, customer in enumerate(_CUSTOMERS):
        cell = templates.Cell("dc", Level.RACK, rack // 3)
        key = hashlib.sha256(customer.encode()).hexdigest()
        template = templates.Template(
            customer,
            key,
            (cell,) if number < 2 else (),
            max_jobs=100_000,
            weights=load.weights,
        )
        catalog = templates.replace_template(catalog, template)
    scheduler_state = scheduler_states.SchedulerState("dc")
    scheduler_state.catalog = catalog
    for number in range(_WORKERS):
        rack_name = f"r{number // load.workers_per_rack}"
        scheduler_state.set_worker(
            f"w{number}", rack_name, _ACCELERATORS, live=True
        )
        jobs.handle_message(
            scheduler_state, f"w{number}", messages.Inventory(()), 0.0
        )
    return scheduler_state


Schedule = Callable[[scheduler_states.SchedulerState, float], jobs.Effects]


@dataclasses.dataclass
class Outcome:
    """Measures of one run.

    Attributes:
        completion_s: Mean seconds from submission to end of a job.
        fragmentation: Mean share of free accelerators that the largest pending
            shape can't use.
        broken: Number of samples in which guarantees didn't fit.
    """

    completion_s: float
    fragmentation: float
    broken: int


class Run:
    """Schedules a load with one scheduler state on a simulated clock."""

    def __init__(self, load: Load, seed: int, schedule: Schedule) -> None:
        self._scheduler_state = build_scheduler_state(load)
        self._schedule = schedule
        self._arrivals = build_arrivals(load, seed)
        self._run_times = {a.job.id: a.run_time_s for a in self._arrivals}
        self._scheduled_ends: list[tuple[float, str, int]] = []
        self._completion_times_s: list[float] = []
        self._fragmentation_samples: list[float] = []
        self._broken_samples = 0

    def finish(self) -> Outcome:
        """Run until all jobs are done; return the measures."""
        future_arrivals = list(reversed(self._arrivals))
        sample_at = 0.0
        while future_arrivals or self._scheduled_ends:
            at = future_arrivals[-1].at if future_arrivals else float("inf")
            now = min(
                at,
                self._scheduled_ends[0][0]
                if self._scheduled_ends
                else float("inf"),
            )
            while future_arrivals and future_arrivals[-1].at <= now:
                self._scheduler_state.submit(future_arrivals.pop().job, now)
            while self._scheduled_ends and self._scheduled_ends[0][0] <= now:
                _, job_id, attempt = heapq.heappop(self._scheduled_ends)
                self._finish_job(job_id, attempt, now)
            self._schedule_until_stable(now)
            if now >= sample_at and future_arrivals:
                sample_at = now + 60.0
                self._sample_state(now)
        mean = sum(self._completion_times_s) / len(self._completion_times_s)
        fragmentation = sum(self._fragmentation_samples) / max(
            1, len(self._fragmentation_samples)
        )
        return Outcome(mean, fragmentation, self._broken_samples)

    def _schedule_until_stable(self, now: float) -> None:
        while True:
            effects = self._schedule(self._scheduler_state, now)
            if not effects.changed_jobs:
                return
            self._execute_commands(effects.commands, now)

    def _execute_commands(
        self, commands: list[gangs.Command], now: float
    ) -> None:
        """Answer commands immediately, as the workers would."""
        queue = list(commands)
        while queue:
            command = queue.pop(0)
            answer = self._answer(command, now)
            if answer is not None:
                effects = jobs.handle_message(
                    self._scheduler_state, command.worker, answer, now
                )
                queue += effects.commands

    def _answer(self, command: gangs.Command, now: float) -> object:
        message = command.message
        key = (message.job_id, message.attempt)
        if isinstance(message, messages.Reserve):
            return messages.Reserved(*key)
        if isinstance(message, messages.Stop):
            return messages.Stopped(*key)
        if isinstance(message, messages.Start):
            gang = self._scheduler_state.gangs[message.job_id]
            if command.worker == min(gang.workers):
                end = now + self._run_times[message.job_id]
                heapq.heappush(self._scheduled_ends, (end, *key))
            return messages.Started(*key)
        return None

    def _finish_job(self, job_id: str, attempt: int, now: float) -> None:
        gang = self._scheduler_state.gangs.get(job_id)
        if gang is None or gang.attempt != attempt:
            return  # the attempt was preempted; the job starts over
        for worker in sorted(gang.workers):
            finished = messages.Finished(job_id, attempt, True, "")
            effects = jobs.handle_message(
                self._scheduler_state, worker, finished, now
            )
            self._execute_commands(effects.commands, now)
        self._completion_times_s.append(
            now - self._scheduler_state.jobs[job_id].submitted_at
        )
        self._scheduler_state.forget_job(job_id)

    def _sample_state(self, now: float) -> None:
        state = scheduler.build_snapshot(self._scheduler_state, now)
        if not isinstance(
            cells.embed(state.demands, state.capacities), cells.Embedding
        ):
            self._broken_samples += 1
        needs = [
            cells.CellDemand("", job.spec.level, job.spec.accelerators)
            for job in self._scheduler_state.list_queued()
        ]
        needs += [need for need in state.demands if not need.claimed_members]
        if needs:
            largest = max(needs, key=lambda need: need.accelerators)
            self._fragmentation_samples.append(
                measure_fragmentation(largest, state.capacities)
            )


def measure_fragmentation(
    need: cells.CellDemand, floor: cells.Capacities
) -> float:
    """Return the share of free accelerators that `need` can't use."""
    free = {
        name: space._replace(reclaimable_mask=0)
        for name, space in floor.items()
    }
    total = cells.count_free(list(free.values()))
    if not total:
        return 0.0
    usable = 0
    for unit in cells.group_by_level(free, need.level):
        count = cells.count_free(unit)
        usable += count - count % need.accelerators
    return 1 - usable / total


def _list_by_submission(
    scheduler_state: scheduler_states.SchedulerState,
) -> Iterator[model.Job]:
    yield from sorted(
        scheduler_state.list_queued(), key=lambda job: job.submitted_at
    )


def _find_spot(
    need: cells.CellDemand, floor: cells.Capacities, *, tightest: bool
) -> cells.Allocation | None:
    units = [
        unit
        for unit in cells.group_by_level(floor, need.level)
        if cells.count_free(unit) >= need.accelerators
    ]
    if tightest:
        units.sort(key=cells.count_free)
    return (
        cells.allocate_in_unit(units[0], need.accelerators) if units else None
    )


def build_baseline(*, tightest: bool, quota: bool) -> Schedule:
    """Return a baseline: first come first served, first fit or best fit.

    With `quota`, jobs within the guaranteed count of their customer go first.
    """

    def schedule(
        scheduler_state: scheduler_states.SchedulerState, now: float
    ) -> jobs.Effects:
        effects = jobs.Effects()
        floor = {
            name: space._replace(reclaimable_mask=0)
            for name, space in scheduler.build_capacities(
                scheduler_state, now
            ).items()
        }
        unplaceable_shapes: set[tuple[Level, int]] = set()
        queued_jobs = list(_list_by_submission(scheduler_state))
        if quota:
            queued_jobs.sort(
                key=lambda job: not _is_within_quota(scheduler_state, job)
            )
        for job in queued_jobs:
            shape = (job.spec.level, job.spec.accelerators)
            if shape in unplaceable_shapes:
                continue
            need = cells.CellDemand(job.customer, *shape)
            spot = _find_spot(need, floor, tightest=tightest)
            if spot is None:
                unplaceable_shapes.add(shape)
                continue
            floor = cells.subtract_allocation(floor, spot)
            placed = jobs.Placement(spot)
            scheduler.assign_job(scheduler_state, job, placed, now, effects)
        return effects

    return schedule


def _is_within_quota(
    scheduler_state: scheduler_states.SchedulerState, job: model.Job
) -> bool:
    template = scheduler_state.catalog.templates[job.customer].template
    quota = sum(c.accelerators * c.count for c in template.guarantee)
    used = sum(
        holding.size
        for holding in scheduler_state.job_allocations.values()
        if holding.customer == job.customer
    )
    return used + job.spec.accelerators <= quota


_BASELINES = {
    "first_fit": build_baseline(tightest=False, quota=False),
    "best_fit_by_rack": build_baseline(tightest=True, quota=False),
    "quota_by_count": build_baseline(tightest=True, quota=True),
}


def measure_policy() -> list[figures.Figure]:
    """Run the scheduler and the baselines over all seeds and compare them."""
    measured = []
    for load in (FBUSW, KILIMA):
        outcomes = {
            name: [Run(load, seed, schedule).finish() for seed in _SEEDS]
            for name, schedule in (_BASELINES | {"ours": jobs.schedule}).items()
        }
        size = f"{load.name}, 24 workers, {len(_SEEDS)} seeds of 12 h"
        for name, runs in outcomes.items():
            measured += [
                figures.summarize(
                    f"completion_s_{name}",
                    [run.completion_s for run in runs],
                    "s",
                    size,
                ),
                figures.summarize(
                    f"fragmentation_{name}",
                    [run.fragmentation for run in runs],
                    "share",
                    size,
                ),
            ]
        scheduler_outcomes = outcomes.pop("ours")
        measured += _compare(load, scheduler_outcomes, outcomes, size)
        broken = sum(run.broken for run in scheduler_outcomes)
        measured.append(
            figures.Figure("guarantees_broken", broken, "count", size)
        )
    return measured


def _compare(
    load: Load,
    scheduler_outcomes: list[Outcome],
    baseline_outcomes: dict[str, list[Outcome]],
    size: str,
) -> list[figures.Figure]:
    completion = [
        run.completion_s
        / min(runs[i].completion_s for runs in baseline_outcomes.values())
        for i, run in enumerate(scheduler_outcomes)
    ]
    fragmentation = [
        run.fragmentation
        / max(
            1e-9,
            min(runs[i].fragmentation for runs in baseline_outcomes.values()),
        )
        for i, run in enumerate(scheduler_outcomes)
    ]
    return [
        figures.summarize(
            f"completion_ratio_{load.name}", completion, "ratio", size
        ),
        figures.summarize(
            f"fragmentation_ratio_{load.name}", fragmentation, "ratio", size
        ),
    ]

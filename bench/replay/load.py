"""Random arrivals and disruptions of a day, from the users' load sheets."""

import dataclasses
import math
import random

from crocusrouter import work

_WALL_CLOCK_START_S = 1_000_000.0
_POOL_SHARE_PER_JOB = 0.25
_LONG_JOB_FACTOR = 7.0
# Number of workers that a release replaces at a time.
_RELEASE_GROUP_WORKERS = 9
_RELEASE_INTERVAL_S = 1.0
# How long a worker keeps running after the notice that it will be removed:
# during a release, and during a loss at short notice.
_RELEASE_DRAIN_S = 6.5
_SHORT_NOTICE_S = 2.0
_REPLACEMENT_DELAY_S = 4.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job: one row of a load sheet.

    Attributes:
        name: Name of the kind in the sheet.
        priority: 0 goes first.
        per_s: Jobs per second.
        width: Mean number of tasks in a step.
        task_s: Mean run time of a task in seconds.
        cores: Cores per task.
        memory_mb: Memory per task.
        accelerators: Accelerators per task, drawn uniformly from these.
        gang: Whether all tasks of a step must run at the same time.
        one_rack: Share of steps whose tasks should run in one rack.
        checkpoints: Share of steps that write checkpoints.
        estimate_off: Spread of the declared run time around the true one.
        uneven: Spread of the tasks' run times within a step.
        slack: Objective as a multiple of the job's longest chain of work.
        target_s: Seconds added to the objective.
        value_on_time: Value of a job that ends within its objective.
        value_late: Value of a job that ends within three times its objective.
        attempts: Number of failures of a task after which its job fails.
        poison: Share of jobs whose tasks always fail.
        long_jobs: Share of jobs that take seven times as long as declared.
    """

    name: str
    priority: int
    per_s: float
    width: float
    task_s: float
    cores: float
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: bool
    one_rack: float
    checkpoints: float
    estimate_off: float
    uneven: float
    slack: float
    target_s: float
    value_on_time: float
    value_late: float
    attempts: int
    poison: float
    long_jobs: float = 0.0


@dataclasses.dataclass(frozen=True)
class Site:
    """Workers and kinds of jobs of one deployment.

    Attributes:
        name: Name of the deployment.
        workers: Number of workers.
        per_rack: Workers per rack.
        customers: Number of customers.
        guaranteed: Accelerators guaranteed to each customer's priority 0.
        kinds: Kinds of jobs that arrive.
        room: Capacity of each worker.
        stop_s: Longest time that stopping a run takes, in seconds.
        restore_s: Seconds that resuming from a checkpoint takes.
        speeds: Relative speeds, one of which is drawn for each worker.
        release_share: Share of the workers that a release replaces, group by
            group; 0 if there is no release.
        removal_share: Share of the workers that are removed together at short
            notice; 0 if none are.
    """

    name: str
    workers: int
    per_rack: int
    customers: int
    guaranteed: int
    kinds: tuple[Kind, ...]
    room: work.Room = work.Room(32_000, 131_072, 8)
    stop_s: float = 0.2
    restore_s: float = 0.6
    speeds: tuple[float, ...] = (1.0,)
    release_share: float = 0.0
    removal_share: float = 0.0


# Accelerators per task of a gang.
_SIZES = (1, 2, 4, 8, 8)
SITES = {
    "fbusw": Site(
        "fbusw",
        24,
        6,
        4,
        30,
        (
            Kind("size-match", 1, 0.314, 5, 8.5, 13, 53_000, _SIZES, True,
                 0.6, 0.45, 0.2, 0.15, 3.0, 1.0, 3, 0.3, 3, 0.01),
            Kind("stock-sync", 0, 0.765, 3.4, 2.5, 3.7, 11_000, _SIZES, True,
                 0.8, 0.0, 0.9, 0.3, 1.5, 0.25, 4, 0.8, 2, 0.0),
            Kind("photo-tag", 2, 0.295, 16, 7.6, 2.8, 15_000, (1,), False,
                 0.0, 0.45, 0.5, 0.3, 3.0, 3.0, 1, 0.1, 4, 0.03),
        ),
    ),
    "kilima": Site(
        "kilima",
        24,
        8,
        4,
        30,
        (
            Kind("trail-render", 1, 0.342, 4, 11.0, 13, 68_000, _SIZES, True,
                 0.6, 0.45, 0.2, 0.15, 3.0, 1.0, 3, 0.9, 2, 0.03),
            Kind("find-verify", 0, 0.958, 3, 2.5, 3.7, 20_000, _SIZES, True,
                 0.8, 0.0, 0.2, 0.3, 1.5, 0.25, 4, 0.8, 3, 0.0),
            Kind("rank-rebuild", 2, 0.529, 12, 6.1, 2.8, 11_000, (1,), False,
                 0.0, 0.45, 0.5, 0.3, 3.0, 3.0, 1, 0.3, 2, 0.03),
        ),
        restore_s=0.1,
    ),
    "rosario": Site(
        "rosario",
        24,
        6,
        4,
        30,
        (
            Kind("valuacion", 1, 0.392, 5, 6.8, 52, 75_000, _SIZES, True,
                 0.6, 0.45, 0.5, 0.3, 3.0, 1.0, 3, 0.9, 2, 0.03),
            Kind("verif-puja", 0, 1.19, 3.4, 2.5, 15, 22_000, _SIZES, True,
                 0.8, 0.0, 0.2, 0.3, 1.5, 0.25, 4, 0.8, 4, 0.0),
            Kind("conciliacion", 2, 0.295, 16, 7.6, 11, 16_000, (1,), False,
                 0.0, 0.45, 0.5, 0.3, 3.0, 3.0, 1, 0.3, 4, 0.01),
        ),
        room=work.Room(128_000, 262_144, 8),
        stop_s=0.9,
        restore_s=0.25,
        speeds=(0.8, 1.0, 1.25),
    ),
    # Hundreds of workers, nearly always fully used, which are replaced while
    # bursts of jobs arrive.
    "large": Site(
        "large",
        270,
        8,
        24,
        56,
        (
            Kind("size-match", 1, 2.15, 13, 6.8, 13, 53_000, _SIZES, True,
                 0.6, 0.45, 0.5, 0.3, 3.0, 1.0, 3, 0.3, 3, 0.01),
            Kind("stock-sync", 0, 5.51, 5.3, 2.5, 3.7, 20_000, _SIZES, True,
                 0.8, 0.0, 0.2, 0.3, 1.5, 0.25, 4, 0.8, 3, 0.0),
            Kind("photo-tag", 2, 1.69, 38, 7.6, 2.8, 8_200, (1,), False,
                 0.0, 0.45, 0.9, 0.15, 3.0, 3.0, 1, 0.1, 4, 0.0),
        ),
        stop_s=0.9,
        restore_s=0.1,
        speeds=(1.0, 1.0, 1.3),
        release_share=0.45,
        removal_share=0.14,
    ),
    # A third of the workers is 2.4 times as fast as the others.
    "uneven": Site(
        "uneven",
        176,
        12,
        10,
        87,
        (
            Kind("route-build", 1, 1.14, 13, 5.8, 26, 38_000, _SIZES, True,
                 0.6, 0.45, 0.9, 0.15, 3.0, 1.0, 3, 0.3, 4, 0.01, 0.03),
            Kind("basket-check", 0, 3.87, 5.4, 2.1, 7.5, 15_000, _SIZES, True,
                 0.8, 0.0, 0.9, 0.15, 1.5, 0.25, 4, 0.8, 4, 0.0, 0.03),
            Kind("restock-forecast", 2, 0.897, 39, 6.5, 5.6, 15_000, (1,),
                 False, 0.0, 0.45, 0.5, 0.15, 3.0, 3.0, 1, 0.1, 2, 0.0),
        ),
        room=work.Room(64_000, 131_072, 8),
        stop_s=0.4,
        restore_s=0.25,
        speeds=(0.7, 0.7, 1.7),
        removal_share=0.14,
    ),
    # Customers compete for a pool of equal workers that stop slowly.
    "contended": Site(
        "contended",
        176,
        8,
        10,
        87,
        (
            Kind("night-recon", 1, 0.836, 13, 8.5, 52, 150_000, _SIZES, True,
                 0.6, 0.45, 0.9, 0.15, 3.0, 1.0, 3, 0.3, 3, 0.01),
            Kind("bay-check", 0, 3.57, 5.4, 2.5, 15, 79_000, _SIZES, True,
                 0.8, 0.0, 0.5, 0.15, 1.5, 0.3, 4, 0.8, 2, 0.0),
            Kind("fine-review", 2, 1.03, 39, 6.1, 11, 33_000, (1,), False,
                 0.0, 0.45, 0.2, 0.15, 3.0, 3.0, 1, 0.1, 2, 0.0),
        ),
        room=work.Room(128_000, 524_288, 8),
        stop_s=0.9,
        restore_s=0.25,
        removal_share=0.14,
    ),
}  # fmt: skip


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job, with data that only the model of the workers knows.

    Attributes:
        at: Seconds from the start of the day.
        kind: Kind of the job.
        job: The job as its caller submits it.
        task_s: True run time of each task in seconds.
        poisoned: Whether the job's tasks always fail.
        cancelled_at: When the caller cancels the job; None if never.
        objective_s: Seconds from arrival within which the job should end.
        value: Value if it ends in time, scaled by its work relative to the
            mean of its kind.
    """

    at: float
    kind: Kind
    job: work.Job
    task_s: tuple[float, ...]
    poisoned: bool
    cancelled_at: float | None
    objective_s: float
    value: float


@dataclasses.dataclass(frozen=True)
class Disruption:
    """A temporary fault or a removal of a worker, or an absence of the owner.

    Attributes:
        start: Seconds from the start of the day.
        end: Seconds from the start of the day.
        worker: Name of the worker; empty for the owner, which makes no
            decisions meanwhile.
        speed: Share of its normal speed at which the worker runs.
        fails: Whether all runs that start on the worker fail.
        leaves: Whether the worker drains from `start` and is removed at `end`
            with all its runs.
        replaced_at: When a replacement joins, if the worker leaves.
    """

    start: float
    end: float
    worker: str = ""
    speed: float = 1.0
    fails: bool = False
    leaves: bool = False
    replaced_at: float = 0.0


def name_workers(site: Site) -> dict[str, str]:
    """Return the rack of each worker, by its name."""
    return {
        f"w{number:03}": f"r0-{number // site.per_rack}"
        for number in range(site.workers)
    }


def draw_speed(site: Site, seed: int, worker: str) -> float:
    """Return a worker's relative speed on a day."""
    return random.Random(f"{seed} {worker}").choice(site.speeds)


def draw_arrivals(site: Site, seed: int, length_s: float) -> list[Arrival]:
    """Draw the jobs of a day: one burst of urgent jobs, one of any kind."""
    rng = random.Random(f"{site.name} {seed}")
    urgent = next(kind for kind in site.kinds if kind.priority == 0)
    bursts = [
        (urgent, rng.uniform(0.5, 6.0), 6.0, rng.uniform(1.8, 2.4)),
        (rng.choice(site.kinds), rng.uniform(8, length_s - 6), 4.0, 2.2),
    ]
    arrivals: list[Arrival] = []
    for kind in site.kinds:
        at = rng.expovariate(kind.per_s)
        while at < length_s:
            arrivals.append(_draw_arrival(rng, site, kind, len(arrivals), at))
            rate = kind.per_s
            for burst_kind, start, duration_s, rate_factor in bursts:
                if burst_kind is kind and start <= at < start + duration_s:
                    rate *= rate_factor
            at += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_arrival(
    rng: random.Random, site: Site, kind: Kind, number: int, at: float
) -> Arrival:
    accelerators = rng.choice(kind.accelerators)
    task_count = kind.width * math.exp(rng.gauss(-0.3, 0.8))
    count = max(1, round(min(task_count, 6 * kind.width)))
    if kind.gang:
        # A gang larger than a rack could never run in one rack.
        count = min(count, site.per_rack * max(1, 8 // accelerators))
    mean_s = max(0.3, kind.task_s * math.exp(rng.gauss(-0.1, 0.4)))
    declared_s = mean_s * math.exp(rng.gauss(0.0, kind.estimate_off))
    if kind.long_jobs and rng.random() < kind.long_jobs:
        mean_s *= _LONG_JOB_FACTOR
    task_s = tuple(
        mean_s * math.exp(rng.gauss(0.0, kind.uneven)) for _ in range(count)
    )
    step = work.Step(
        count,
        work.Room(int(kind.cores * 1000), kind.memory_mb, accelerators),
        declared_s,
        gang=kind.gang,
        one_rack=rng.random() < kind.one_rack,
        checkpoints=rng.random() < kind.checkpoints,
    )
    job = work.Job(
        f"{number:016x}",
        kind.name,
        "pool",
        f"c{rng.randrange(site.customers)}",
        kind.priority,
        kind.attempts,
        kind.slack,
        kind.target_s,
        "",
        (step,),
        _WALL_CLOCK_START_S + at,
    )
    available_accelerators = site.workers * 8 * _POOL_SHARE_PER_JOB
    waves = max(1, math.ceil(count * accelerators / available_accelerators))
    objective = kind.slack * waves * max(task_s) + kind.target_s
    core_s = sum(task_s) * step.room.cores
    mean_core_s = (
        kind.width
        * kind.task_s
        * (kind.cores + 8 * _find_mean_accelerators(kind))
    )
    value = kind.value_on_time * min(4.0, 0.3 + 0.7 * core_s / mean_core_s)
    is_cancelled = rng.random() < (0.15 if kind.priority == 2 else 0.05)
    return Arrival(
        at,
        kind,
        job,
        task_s,
        rng.random() < kind.poison,
        at + rng.uniform(0.5, 5.0) if is_cancelled else None,
        objective,
        value,
    )


def _find_mean_accelerators(kind: Kind) -> float:
    return sum(kind.accelerators) / len(kind.accelerators)


def draw_disruptions(
    site: Site, seed: int, length_s: float
) -> list[Disruption]:
    """Draw slow, stalled and failing workers, and an absence of the owner."""
    rng = random.Random(f"troubles {site.name} {seed}")
    names = sorted(name_workers(site))
    disruptions = []
    for share, duration_s, speed, fails in (
        (0.17, 7.0, 1 / 6.5, False),
        (0.1, 5.5, 0.0, False),
        (0.085, 6.5, 1.0, True),
    ):
        if rng.random() < 0.6:
            start = rng.uniform(2.0, length_s - duration_s)
            for name in rng.sample(names, round(share * len(names))):
                disruptions.append(
                    Disruption(start, start + duration_s, name, speed, fails)
                )
    if rng.random() < 0.6:
        start = rng.uniform(2.0, length_s)
        disruptions.append(Disruption(start, start + 2.5))
    return disruptions + _draw_departures(rng, site, names, length_s)


def _draw_departures(
    rng: random.Random, site: Site, names: list[str], length_s: float
) -> list[Disruption]:
    """Draw a release in groups of workers and a loss of many at once."""
    disruptions = []
    if site.release_share:
        chosen = rng.sample(names, round(site.release_share * len(names)))
        release_at = rng.uniform(2.0, length_s / 2)
        for number, name in enumerate(chosen):
            at = (
                release_at
                + number // _RELEASE_GROUP_WORKERS * _RELEASE_INTERVAL_S
            )
            disruptions.append(
                Disruption(
                    at, at + _RELEASE_DRAIN_S, name, leaves=True, replaced_at=at
                )
            )
        names = sorted(set(names) - set(chosen))
    if site.removal_share:
        notice_at = rng.uniform(2.0, length_s - _SHORT_NOTICE_S)
        removed_at = notice_at + _SHORT_NOTICE_S
        for name in rng.sample(names, round(site.removal_share * len(names))):
            disruptions.append(
                Disruption(
                    notice_at,
                    removed_at,
                    name,
                    leaves=True,
                    replaced_at=removed_at + _REPLACEMENT_DELAY_S,
                )
            )
    return disruptions

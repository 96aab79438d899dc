"""Arrivals and troubles of a day, drawn from a seed after the users' sheets."""

import dataclasses
import math
import random

from crocusrouter import work

_WALL = 1_000_000.0
_QUARTER = 0.25
# A release replaces this many workers at a time.
_REPLACED_TOGETHER = 9
_RELEASE_GAP_S = 1.0
# How long a worker that is replaced stays, and one that must go at once.
_DRAIN_S = 6.5
_NOTICE_S = 2.0
_BACK_S = 4.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """One row of a sheet.

    Attributes:
        name: Its name there.
        priority: 0 goes first.
        per_s: Jobs a second.
        width: Mean number of tasks of a step.
        task_s: Mean seconds of a task.
        cores: Cores of a task.
        memory_mb: Memory of a task.
        accelerators: Drawn evenly from these.
        gang: Whether a step's tasks work only together.
        one_rack: Share of steps that belong into one rack.
        checkpoints: Share of steps that make checkpoints.
        estimate_off: Spread of the declared time around the true one.
        uneven: Spread of the tasks' times within a step.
        slack: Objective in chains of work.
        target_s: Seconds more.
        worth: Earned in time.
        late_worth: Earned up to three times the objective.
        attempts: Failures after which a task's job fails.
        poison: Share of jobs that can never be done.
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
    worth: float
    late_worth: float
    attempts: int
    poison: float


@dataclasses.dataclass(frozen=True)
class Site:
    """Workers and kinds of one deployment.

    Attributes:
        name: Its name.
        workers: How many.
        per_rack: Workers of a rack.
        customers: How many.
        guaranteed: Accelerators that each customer's priority 0 owns.
        kinds: What comes.
        room: What each worker has.
        stop_s: Seconds that a stop takes at most.
        restore_s: Seconds to go on from a checkpoint.
        speeds: How fast workers are; each is one of these.
        released: Share of the workers that are replaced in turn on a day with
            a release; 0 if there are none.
        noticed: Share of the workers that leave at short notice together on a
            day with such a loss.
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
    released: float = 0.0
    noticed: float = 0.0


_LARGE = (1, 2, 4, 8, 8)
SITES = {
    "fbusw": Site(
        "fbusw",
        24,
        6,
        4,
        30,
        (
            Kind("size-match", 1, 0.314, 5, 8.5, 13, 53_000, _LARGE, True,
                 0.6, 0.45, 0.2, 0.15, 3.0, 1.0, 3, 0.3, 3, 0.01),
            Kind("stock-sync", 0, 0.765, 3.4, 2.5, 3.7, 11_000, _LARGE, True,
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
            Kind("trail-render", 1, 0.342, 4, 11.0, 13, 68_000, _LARGE, True,
                 0.6, 0.45, 0.2, 0.15, 3.0, 1.0, 3, 0.9, 2, 0.03),
            Kind("find-verify", 0, 0.958, 3, 2.5, 3.7, 20_000, _LARGE, True,
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
            Kind("valuacion", 1, 0.392, 5, 6.8, 52, 75_000, _LARGE, True,
                 0.6, 0.45, 0.5, 0.3, 3.0, 1.0, 3, 0.9, 2, 0.03),
            Kind("verif-puja", 0, 1.19, 3.4, 2.5, 15, 22_000, _LARGE, True,
                 0.8, 0.0, 0.2, 0.3, 1.5, 0.25, 4, 0.8, 4, 0.0),
            Kind("conciliacion", 2, 0.295, 16, 7.6, 11, 16_000, (1,), False,
                 0.0, 0.45, 0.5, 0.3, 3.0, 3.0, 1, 0.3, 4, 0.01),
        ),
        room=work.Room(128_000, 262_144, 8),
        stop_s=0.9,
        restore_s=0.25,
        speeds=(0.8, 1.0, 1.25),
    ),
    # Hundreds of workers that are nearly always full, and that are replaced
    # while bursts come.
    "large": Site(
        "large",
        270,
        8,
        24,
        56,
        (
            Kind("size-match", 1, 2.15, 13, 6.8, 13, 53_000, _LARGE, True,
                 0.6, 0.45, 0.5, 0.3, 3.0, 1.0, 3, 0.3, 3, 0.01),
            Kind("stock-sync", 0, 5.51, 5.3, 2.5, 3.7, 20_000, _LARGE, True,
                 0.8, 0.0, 0.2, 0.3, 1.5, 0.25, 4, 0.8, 3, 0.0),
            Kind("photo-tag", 2, 1.69, 38, 7.6, 2.8, 8_200, (1,), False,
                 0.0, 0.45, 0.9, 0.15, 3.0, 3.0, 1, 0.1, 4, 0.0),
        ),
        stop_s=0.9,
        restore_s=0.1,
        speeds=(1.0, 1.0, 1.3),
        released=0.45,
        noticed=0.14,
    ),
}  # fmt: skip


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One job, with what only the model of the workers knows.

    Attributes:
        at: Seconds from the start of the day.
        kind: Its kind.
        job: As its caller hands it in.
        task_s: True seconds of each task.
        poisoned: Whether its tasks always fail.
        cancelled_at: When its caller cancels it; None if never.
        objective_s: Seconds in which it should end.
        value: Worth in time, by its work against the mean of its kind.
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
class Trouble:
    """Something that is wrong with a worker, or with the owner, for a while.

    Attributes:
        start: Seconds from the start of the day.
        end: Likewise.
        worker: Which; empty for the owner, who decides nothing meanwhile.
        speed: Share of its speed at which the worker runs.
        fails: Whether all that starts there fails.
        leaves: Whether the worker drains from the start and is gone at the
            end, with all that runs there.
        replaced_at: When another worker comes in its place, if it leaves.
    """

    start: float
    end: float
    worker: str = ""
    speed: float = 1.0
    fails: bool = False
    leaves: bool = False
    replaced_at: float = 0.0


def name_workers(site: Site) -> dict[str, str]:
    """Return the rack of each worker."""
    return {
        f"w{number:03}": f"r0-{number // site.per_rack}"
        for number in range(site.workers)
    }


def draw_speed(site: Site, seed: int, worker: str) -> float:
    """Return how fast a worker is on a day."""
    return random.Random(f"{seed} {worker}").choice(site.speeds)


def draw_arrivals(site: Site, seed: int, length_s: float) -> list[Arrival]:
    """Draw a day with a burst of urgent jobs and one of another kind."""
    rng = random.Random(f"{site.name} {seed}")
    urgent = next(kind for kind in site.kinds if kind.priority == 0)
    bursts = [
        (urgent, rng.uniform(0.5, 6.0), 6.0, rng.uniform(1.8, 2.4)),
        (rng.choice(site.kinds), rng.uniform(8, length_s - 6), 4.0, 2.2),
    ]
    drawn: list[Arrival] = []
    for kind in site.kinds:
        at = rng.expovariate(kind.per_s)
        while at < length_s:
            drawn.append(_draw(rng, site, kind, len(drawn), at))
            rate = kind.per_s
            for burst_kind, start, for_s, times in bursts:
                if burst_kind is kind and start <= at < start + for_s:
                    rate *= times
            at += rng.expovariate(rate)
    return sorted(drawn, key=lambda arrival: arrival.at)


def _draw(
    rng: random.Random, site: Site, kind: Kind, number: int, at: float
) -> Arrival:
    accelerators = rng.choice(kind.accelerators)
    width = kind.width * math.exp(rng.gauss(-0.3, 0.8))
    count = max(1, round(min(width, 6 * kind.width)))
    if kind.gang:
        # A gang fits into one rack, or it could never run well.
        count = min(count, site.per_rack * max(1, 8 // accelerators))
    mean_s = max(0.3, kind.task_s * math.exp(rng.gauss(-0.1, 0.4)))
    task_s = tuple(
        mean_s * math.exp(rng.gauss(0.0, kind.uneven)) for _ in range(count)
    )
    if kind.gang:
        task_s = (max(task_s),) * count
    step = work.Step(
        count,
        work.Room(int(kind.cores * 1000), kind.memory_mb, accelerators),
        mean_s * math.exp(rng.gauss(0.0, kind.estimate_off)),
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
        _WALL + at,
    )
    room = site.workers * 8 * _QUARTER
    waves = max(1, math.ceil(count * accelerators / room))
    objective = kind.slack * waves * max(task_s) + kind.target_s
    core_s = sum(task_s) * step.room.cores
    mean = kind.width * kind.task_s * (kind.cores + 8 * _mean(kind))
    value = kind.worth * min(4.0, 0.3 + 0.7 * core_s / mean)
    cancels = rng.random() < (0.15 if kind.priority == 2 else 0.05)
    return Arrival(
        at,
        kind,
        job,
        task_s,
        rng.random() < kind.poison,
        at + rng.uniform(0.5, 5.0) if cancels else None,
        objective,
        value,
    )


def _mean(kind: Kind) -> float:
    return sum(kind.accelerators) / len(kind.accelerators)


def draw_troubles(site: Site, seed: int, length_s: float) -> list[Trouble]:
    """Draw slow, standing and failing workers, and an owner that is away."""
    rng = random.Random(f"troubles {site.name} {seed}")
    names = sorted(name_workers(site))
    drawn = []
    for share, for_s, speed, fails in (
        (0.17, 7.0, 1 / 6.5, False),
        (0.1, 5.5, 0.0, False),
        (0.085, 6.5, 1.0, True),
    ):
        if rng.random() < 0.6:
            start = rng.uniform(2.0, length_s - for_s)
            for name in rng.sample(names, round(share * len(names))):
                drawn.append(Trouble(start, start + for_s, name, speed, fails))
    if rng.random() < 0.6:
        start = rng.uniform(2.0, length_s)
        drawn.append(Trouble(start, start + 2.5))
    return drawn + _draw_departures(rng, site, names, length_s)


def _draw_departures(
    rng: random.Random, site: Site, names: list[str], length_s: float
) -> list[Trouble]:
    """Draw a release, worker after worker, and a loss of many at once."""
    drawn = []
    if site.released:
        chosen = rng.sample(names, round(site.released * len(names)))
        start = rng.uniform(2.0, length_s / 2)
        for number, name in enumerate(chosen):
            at = start + number // _REPLACED_TOGETHER * _RELEASE_GAP_S
            drawn.append(
                Trouble(at, at + _DRAIN_S, name, leaves=True, replaced_at=at)
            )
        names = sorted(set(names) - set(chosen))
    if site.noticed:
        start = rng.uniform(2.0, length_s - _NOTICE_S)
        gone = start + _NOTICE_S
        for name in rng.sample(names, round(site.noticed * len(names))):
            drawn.append(
                Trouble(
                    start,
                    gone,
                    name,
                    leaves=True,
                    replaced_at=gone + _BACK_S,
                )
            )
    return drawn

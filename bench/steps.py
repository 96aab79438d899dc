"""Policies of steps compared over replayed days, and the cost of a decision."""

from collections.abc import Callable
import dataclasses
import random
import time

from bench import figures
from bench import replay
from crocusrouter import work
from crocusrouter.work import worker_port

_DAYS = 24
_LENGTH_S = 34.0
_FIRST_SEED = 1000
# The policy in force, the one before it, and two plain baselines.
_POLICIES = {
    "in force": work.PlannerPolicy(),
    "second priority stops nobody": work.PlannerPolicy(second_loss_factor=0.0),
    "nobody stops others": work.PlannerPolicy(
        loss_factor=0.0, second_loss_factor=0.0
    ),
    "racks not waited for": work.PlannerPolicy(
        rack_patience=0.0, guaranteed_rack_patience_s=0.0
    ),
}
_LARGE_WORKERS = 1400
_LARGE_TASKS = 13_000
_DECISIONS = 60


def measure_steps() -> list[figures.Figure]:
    """Replay the same days under each policy."""
    found = []
    for site in replay.SITES.values():
        for name, policy in _POLICIES.items():
            found += _measure_policy(site, name, policy)
        # Twice the workers: what troubles alone cost, whatever the policy.
        roomy = dataclasses.replace(site, workers=2 * site.workers)
        found += _measure_policy(
            site, "in force, twice the workers", work.PlannerPolicy(), roomy
        )
    return found


def _measure_policy(
    site: replay.Site,
    name: str,
    policy: work.PlannerPolicy,
    played: replay.Site | None = None,
) -> list[figures.Figure]:
    """Play all days; what comes is drawn for `site`, whoever serves it."""
    marks, wasted, decisions = [], [], []
    for seed in range(_FIRST_SEED, _FIRST_SEED + _DAYS):
        outcome = replay.play_day(
            played or site,
            replay.draw_arrivals(site, seed, _LENGTH_S),
            replay.draw_troubles(site, seed, _LENGTH_S),
            policy,
            seed,
            time.perf_counter,
        )
        day = replay.measure_worth(outcome.served, outcome.wasted)
        marks.append(day.mark)
        wasted.append(day.wasted)
        decisions += outcome.decisions_s
    size = f"{site.name}, {name}, {_DAYS} days"
    spread = max(marks) - min(marks)
    slowest = figures.find_percentile(decisions, 0.99) * 1000
    return [
        _make_mean("steps_mark", marks, "share", size, spread),
        _make_mean("steps_wasted", wasted, "core-seconds a day", size),
        figures.Figure("steps_decision_p99", round(slowest, 2), "ms", size),
    ]


def _make_mean(
    name: str,
    values: list[float],
    unit: str,
    size: str,
    spread: float = 0.0,
) -> figures.Figure:
    mean = sum(values) / len(values)
    return figures.Figure(
        name, round(mean, 4), unit, size, round(spread, 4), _FIRST_SEED
    )


def measure_large_decisions() -> list[figures.Figure]:
    """Time decisions at letter 1's size, while work ends and comes."""
    rng = random.Random(_FIRST_SEED)
    book = _build_large_book(rng)
    now = 0.0
    _decide(book, now, lambda _: None)
    times: list[float] = []
    for number in range(_DECISIONS):
        now += 0.1
        for key in rng.sample(sorted(book.runs), 20):
            _end_run(book, key, now)
        _put_job(book, rng, f"{number:016x}", now)
        _decide(book, now, times.append)
    size = f"{_LARGE_WORKERS} workers, {len(book.runs)} runs"
    name = "steps_large_decision"
    return [
        figures.Figure(
            f"{name}_{label}",
            round(figures.find_percentile(times, share) * 1000, 2),
            "ms",
            size,
            seed=_FIRST_SEED,
        )
        for label, share in (("p50", 0.5), ("p99", 0.99))
    ]


def _build_large_book(rng: random.Random) -> work.PoolState:
    book = work.PoolState(1)
    for number in range(_LARGE_WORKERS):
        labels = frozenset({"a", f"r0-{number // 14}"})
        room = work.Room(64_000, 262_144, 16)
        entry = worker_port.WorkerEntry(
            f"w{number:04}", "pool", "", "dc", False, room, labels
        )
        book.set_worker(entry, 0.0)
        book.workers[entry.id].reached = True
    tasks = 0
    while tasks < 1.05 * _LARGE_TASKS:
        tasks += _put_job(book, rng, f"{tasks:015x}f", 0.0)
    return book


def _put_job(
    book: work.PoolState, rng: random.Random, job_id: str, now: float
) -> int:
    count = rng.choice((1, 4, 8, 16, 32, 64, 128))
    step = work.Step(
        count,
        work.Room(4000, 16_000, rng.choice((1, 1, 1, 2))),
        3600.0,
        gang=rng.random() < 0.5,
        one_rack=rng.random() < 0.3,
    )
    job = work.Job(
        job_id,
        "q",
        "pool",
        f"c{rng.randrange(22)}",
        rng.choice((0, 1, 1, 2)),
        3,
        2.0,
        60.0,
        "",
        (step,),
        now,
    )
    book.put_job(job, work.Progress(), 2, now)
    book.open_due_occurrences(now, now)
    return count


def _end_run(book: work.PoolState, key: work.TaskKey, now: float) -> None:
    """End a run well, as its worker would tell."""
    run = book.runs.get(key)
    if run is None:
        return
    held = book.workers[run.worker_id]
    rows = tuple(
        worker_port.ReportedRun(other, book.runs[other].number)
        for other in held.runs
        if other != key
    )
    ended = worker_port.RunEnd(
        held.last_end_number + 1, key, run.number, worker_port.RunOutcome.DONE
    )
    report = worker_port.Report(0, rows, (ended,))
    work.apply_report(book, run.worker_id, report, now, now)


def _decide(
    book: work.PoolState, now: float, note: Callable[[float], object]
) -> None:
    began = time.perf_counter()
    plan = work.plan(book, now, now)
    note(time.perf_counter() - began)
    for placement in plan.placements:
        for index, worker in placement.spots.items():
            key = work.TaskKey(*placement.step, index)
            number = len(book.runs) + 1
            book.add_run(key, number, worker, now)
            book.note_started(key, number, now)
    for run, why in plan.stops:
        book.stop_run(run, why, now)
    book.outbox.clear()
    book.events.clear()

"""Compares step scheduling policies over simulated days; times decisions."""

from collections.abc import Callable
import dataclasses
import random
import time

from bench import figures
from bench import replay
from crocusrouter import work
from crocusrouter.work import worker_port

_DAYS = 24
_DAY_LENGTH_S = 34.0
_FIRST_SEED = 1000
# The default policy, its predecessor and two simple baselines.
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
_LARGE_WORKER_COUNT = 1400
_LARGE_TASK_COUNT = 13_000
_DECISIONS = 60


def measure_steps() -> list[figures.Figure]:
    """Simulate the same days under each policy."""
    measured = []
    for site in replay.SITES.values():
        for name, policy in _POLICIES.items():
            measured += _measure_policy(site, name, policy)
        # With twice the workers, only disruptions cost value, under any policy.
        roomy = dataclasses.replace(site, workers=2 * site.workers)
        measured += _measure_policy(
            site, "in force, twice the workers", work.PlannerPolicy(), roomy
        )
    return measured


def _measure_policy(
    site: replay.Site,
    name: str,
    policy: work.PlannerPolicy,
    simulated_site: replay.Site | None = None,
) -> list[figures.Figure]:
    """Simulate all days on `simulated_site` with the jobs drawn for `site`."""
    scores, wasted, decision_times_s = [], [], []
    for seed in range(_FIRST_SEED, _FIRST_SEED + _DAYS):
        outcome = replay.play_day(
            simulated_site or site,
            replay.draw_arrivals(site, seed, _DAY_LENGTH_S),
            replay.draw_disruptions(site, seed, _DAY_LENGTH_S),
            policy,
            seed,
            time.perf_counter,
        )
        score = replay.score_day(outcome.job_results, outcome.wasted)
        scores.append(score.combined_score)
        wasted.append(score.wasted)
        decision_times_s += outcome.decisions_s
    size = f"{site.name}, {name}, {_DAYS} days"
    spread = max(scores) - min(scores)
    p99_ms = figures.find_percentile(decision_times_s, 0.99) * 1000
    return [
        _build_mean_figure("steps_mark", scores, "share", size, spread),
        _build_mean_figure("steps_wasted", wasted, "core-seconds a day", size),
        figures.Figure("steps_decision_p99", round(p99_ms, 2), "ms", size),
    ]


def _build_mean_figure(
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
    """Time decisions at letter 1's size, while runs end and jobs arrive."""
    rng = random.Random(_FIRST_SEED)
    pool_state = _build_large_pool_state(rng)
    now = 0.0
    _time_decision(pool_state, now, lambda _: None)
    durations_s: list[float] = []
    for number in range(_DECISIONS):
        now += 0.1
        for key in rng.sample(sorted(pool_state.runs), 20):
            _end_run(pool_state, key, now)
        _put_job(pool_state, rng, f"{number:016x}", now)
        _time_decision(pool_state, now, durations_s.append)
    size = f"{_LARGE_WORKER_COUNT} workers, {len(pool_state.runs)} runs"
    name = "steps_large_decision"
    return [
        figures.Figure(
            f"{name}_{label}",
            round(figures.find_percentile(durations_s, share) * 1000, 2),
            "ms",
            size,
            seed=_FIRST_SEED,
        )
        for label, share in (("p50", 0.5), ("p99", 0.99))
    ]


def _build_large_pool_state(rng: random.Random) -> work.PoolState:
    pool_state = work.PoolState(1)
    for number in range(_LARGE_WORKER_COUNT):
        labels = frozenset({"a", f"r0-{number // 14}"})
        room = work.Room(64_000, 262_144, 16)
        entry = worker_port.WorkerEntry(
            f"w{number:04}", "pool", "", "dc", False, room, labels
        )
        pool_state.set_worker(entry, 0.0)
        pool_state.workers[entry.id].is_recorded = True
        pool_state.workers[entry.id].reached = True
    tasks = 0
    while tasks < 1.05 * _LARGE_TASK_COUNT:
        tasks += _put_job(pool_state, rng, f"{tasks:015x}f", 0.0)
    return pool_state


def _put_job(
    pool_state: work.PoolState, rng: random.Random, job_id: str, now: float
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
    pool_state.put_job(job, work.Progress(), 2, now)
    pool_state.open_due_occurrences(now, now)
    return count


def _end_run(pool_state: work.PoolState, key: work.TaskKey, now: float) -> None:
    """Report the success of a run as its worker would."""
    run = pool_state.runs.get(key)
    if run is None:
        return
    worker = pool_state.workers[run.worker_id]
    rows = tuple(
        worker_port.ReportedRun(other, pool_state.runs[other].number)
        for other in worker.runs
        if other != key
    )
    ended = worker_port.RunEnd(
        worker.last_end_number + 1, key, run.number, worker_port.RunOutcome.DONE
    )
    report = worker_port.Report(0, rows, (ended,))
    work.apply_report(pool_state, run.worker_id, report, now, now)


def _time_decision(
    pool_state: work.PoolState, now: float, record_s: Callable[[float], object]
) -> None:
    started_at = time.perf_counter()
    plan = work.plan(pool_state, now, now)
    record_s(time.perf_counter() - started_at)
    for placement in plan.placements:
        for index, worker in placement.spots.items():
            key = work.TaskKey(*placement.step, index)
            number = len(pool_state.runs) + 1
            pool_state.add_run(key, number, worker, now)
            pool_state.note_started(key, number, now)
    for run, why in plan.stops:
        pool_state.stop_run(run, why, now)
    pool_state.outbox.clear()
    pool_state.events.clear()

"""Times job decisions, journal writes and catalog parsing in one process."""

import dataclasses
import random
import time

import cbor2

from bench import figures
from crocusrouter import codec
from crocusrouter import jobs
from crocusrouter import templates
from crocusrouter.fleet import messages
from crocusrouter.jobs import scheduler_state as scheduler_states
from crocusrouter.templates import Level

_SEED = 1
_SLOTS_PER_WORKER = 9
_TEAMS = 22
_WORKERS_PER_RACK = 14
_DECISIONS = 200
_WORKER_COUNTS = (35, 140, 280)


def _build_catalog(teams: int, data_centre: str) -> templates.Catalog:
    """Return a catalog in which each team has a rack and a worker cell."""
    catalog = templates.Catalog()
    for number in range(teams):
        cells = (
            templates.Cell(data_centre, Level.RACK, 16),
            templates.Cell(data_centre, Level.WORKER, 2, 2),
        )
        catalog = templates.replace_template(
            catalog,
            templates.Template(
                f"team-{number}",
                f"{number:064x}",
                cells,
                job_kinds={"train": templates.JobKind()},
                request_kinds={
                    "match": templates.RequestKind("matching", True)
                },
                max_jobs=100_000,
            ),
        )
    return catalog


def _build_job(number: int, team: int, size: int, level: Level) -> jobs.Job:
    spec = jobs.Spec("train", size, level, 3600.0, 86400.0, 3)
    return jobs.Job(f"dc.{number:016x}", f"team-{team}", spec, float(number))


def _build_scheduler_state(workers: int, teams: int) -> jobs.SchedulerState:
    scheduler_state = scheduler_states.SchedulerState("dc")
    scheduler_state.catalog = _build_catalog(teams, "dc")
    for number in range(workers):
        name = f"w{number}"
        scheduler_state.set_worker(
            name,
            f"r{number // _WORKERS_PER_RACK}",
            _SLOTS_PER_WORKER,
            live=True,
        )
        jobs.handle_message(scheduler_state, name, messages.Inventory(()), 0.0)
    return scheduler_state


def _fill_slots(
    scheduler_state: jobs.SchedulerState, workers: int, rng: random.Random
) -> int:
    """Start small jobs until most slots are in use; return their number."""
    wanted_slots = int(workers * _SLOTS_PER_WORKER * 0.8)
    job_count = 0
    used_slots = 0
    while used_slots < wanted_slots:
        size = rng.choice((1, 1, 1, 2, 4))
        job = _build_job(job_count, rng.randrange(_TEAMS), size, Level.WORKER)
        scheduler_state.submit(job, 0.0)
        job_count += 1
        used_slots += size
    while jobs.schedule(scheduler_state, 0.0).changed_jobs:
        pass
    return job_count


def measure_decisions() -> list[figures.Figure]:
    """Time single decisions in a busy data centre."""
    measured = []
    for workers in _WORKER_COUNTS:
        rng = random.Random(_SEED)
        scheduler_state = _build_scheduler_state(
            workers, min(_TEAMS, workers // 4)
        )
        job_count = _fill_slots(scheduler_state, workers, rng)
        took_ms = _time_decisions(scheduler_state, job_count, rng)
        task_count = len(scheduler_state.gangs)
        size = f"{workers} workers, {task_count} tasks in one data centre"
        measured.append(
            figures.Figure(
                "decision_p99_ms",
                round(figures.find_percentile(took_ms, 0.99), 3),
                "ms",
                size,
                round(max(took_ms) - min(took_ms), 3),
                _SEED,
            )
        )
        median = figures.find_percentile(took_ms, 0.5)
        measured.append(
            figures.Figure(
                "decision_p50_ms", round(median, 3), "ms", size, 0.0, _SEED
            )
        )
    return measured


def _time_decisions(
    scheduler_state: jobs.SchedulerState, first_number: int, rng: random.Random
) -> list[float]:
    took_ms = []
    for number in range(first_number, first_number + _DECISIONS):
        team = rng.randrange(_TEAMS)
        size, level = rng.choice(
            ((1, Level.WORKER), (4, Level.WORKER), (16, Level.RACK))
        )
        job = _build_job(number, team, size, level)
        scheduler_state.submit(job, 0.0)
        started_at = time.perf_counter()
        jobs.schedule(scheduler_state, 0.0)
        took_ms.append(1000 * (time.perf_counter() - started_at))
        scheduler_state.cancel(job.id, 0.0)
        _stop_all(scheduler_state, job.id)
    return took_ms


def _stop_all(scheduler_state: jobs.SchedulerState, job_id: str) -> None:
    gang = scheduler_state.gangs.get(job_id)
    if gang is not None:
        for name in sorted(gang.holding_workers):
            stopped = messages.Stopped(job_id, gang.attempt)
            jobs.handle_message(scheduler_state, name, stopped, 0.0)


def measure_journal() -> list[figures.Figure]:
    """Measure the size and the processor time of one journal write."""
    measured = []
    for count in (10, 100, 1000):
        packed = [
            (job.id, codec.pack(job))
            for job in (
                dataclasses.replace(
                    _build_job(n, 0, 8, Level.RACK),
                    members=(jobs.Member(f"worker-{n:04d}", 255),),
                )
                for n in range(count)
            )
        ]
        repeats = 50
        started_at = time.perf_counter()
        for _ in range(repeats):
            codec.pack(_build_job(1, 0, 8, Level.RACK))
            value = cbor2.dumps([1, packed])
        took_ms = 1000 * (time.perf_counter() - started_at) / repeats
        size = f"{count} jobs in a bucket"
        measured += [
            figures.Figure("journal_bucket_bytes", len(value), "B", size),
            figures.Figure("journal_write_ms", round(took_ms, 4), "ms", size),
        ]
    return measured


def measure_catalog() -> list[figures.Figure]:
    """Measure the size and the parsing time of a catalog."""
    measured = []
    for teams in (4, 22, 220):
        catalog = _build_catalog(teams, "dc")
        data = templates.dump_catalog(catalog)
        repeats = 20
        started_at = time.perf_counter()
        for _ in range(repeats):
            templates.parse_catalog(data)
        took_ms = 1000 * (time.perf_counter() - started_at) / repeats
        size = f"{teams} customers"
        measured += [
            figures.Figure("catalog_bytes", len(data), "B", size),
            figures.Figure("catalog_parse_ms", round(took_ms, 3), "ms", size),
        ]
    return measured

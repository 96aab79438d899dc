"""Checks workers' records for partial gangs and overlapping attempts."""

import collections
from collections.abc import Iterable
import dataclasses
import json
from typing import Any

_END_KINDS = ("succeeded", "failed", "stopped", "lapsed")


@dataclasses.dataclass(frozen=True)
class TaskRun:
    """One run of a task on a worker; `end` is None if no end was recorded."""

    worker: str
    start: float
    end: float | None


Attempts = dict[tuple[str, int], list[TaskRun]]


def read_records(texts: Iterable[str]) -> list[dict[str, Any]]:
    """Parse the workers' JSON lines."""
    return [
        json.loads(line)
        for text in texts
        for line in text.splitlines()
        if line.startswith("{")
    ]


def collect_attempts(
    records: Iterable[dict[str, Any]], killed_at: dict[str, float]
) -> Attempts:
    """Group the runs of tasks by job and attempt.

    Args:
        records: All workers' records, in any order.
        killed_at: When each killed worker ended, on the records' clock.
    """
    attempts: Attempts = collections.defaultdict(list)
    started_at: dict[tuple[str, str, int], float] = {}
    for record in sorted(records, key=lambda record: float(record["at"])):
        key = (record["worker"], record["job_id"], record["attempt"])
        if record["what"] == "started":
            started_at[key] = record["at"]
        elif record["what"] in _END_KINDS and key in started_at:
            run = TaskRun(record["worker"], started_at.pop(key), record["at"])
            attempts[key[1:]].append(run)
    for key, start in started_at.items():
        attempts[key[1:]].append(TaskRun(key[0], start, killed_at.get(key[0])))
    return attempts


def measure_longest_partial_run(
    runs: list[TaskRun], members: int, now: float
) -> float:
    """Return the longest time that only some members of a gang ran.

    >>> runs = [TaskRun("a", 0.0, 5.0), TaskRun("b", 0.1, 3.0)]
    >>> measure_longest_partial_run(runs, 2, now=9.0)
    2.0

    Args:
        runs: The runs of one attempt.
        members: Number of members of the gang.
        now: End of the observed time.
    """
    times = sorted(
        {run.start for run in runs}
        | {now if run.end is None else run.end for run in runs}
    )
    longest_s = 0.0
    for begin, end in zip(times, times[1:], strict=False):
        running_members = sum(
            1
            for run in runs
            if run.start <= begin and (run.end is None or run.end >= end)
        )
        if 0 < running_members < members:
            longest_s = max(longest_s, end - begin)
    return round(longest_s, 3)


def find_early_starts(
    records: Iterable[dict[str, Any]], sizes: dict[str, int]
) -> list[str]:
    """List jobs with a task that started before all members were reserved.

    Args:
        records: All workers' records.
        sizes: Number of accelerators of each job.
    """
    reserved_sizes: collections.Counter[tuple[str, int]] = collections.Counter()
    early_jobs = set()
    # Of records with the same time, reservations come first.
    ordered_records = sorted(
        records,
        key=lambda record: (record["at"], record["what"] != "reserved"),
    )
    for record in ordered_records:
        key = (record["job_id"], record["attempt"])
        if record["what"] == "reserved":
            reserved_sizes[key] += record["size"]
        elif (
            record["what"] == "started" and reserved_sizes[key] < sizes[key[0]]
        ):
            early_jobs.add(key[0])
    return sorted(early_jobs)


def find_overlaps(attempts: Attempts) -> list[str]:
    """List jobs of which two attempts ran at the same time."""
    spans: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for (job_id, _), runs in attempts.items():
        ends = [run.end for run in runs if run.end is not None]
        start = min(run.start for run in runs)
        spans[job_id].append((start, max(ends, default=start)))
    return sorted(
        job_id
        for job_id, job_spans in spans.items()
        if any(
            earlier[1] > later[0]
            for earlier, later in zip(
                sorted(job_spans), sorted(job_spans)[1:], strict=False
            )
        )
    )

"""Shows from the log lines of all entries why jobs missed their objectives.

python -m bench.losses LOG... reads JSON lines, with or without a prefix, and
prints how many jobs ended late by the phase with the longest unplanned delay:
for each priority, and for each two seconds in which they were accepted.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import pathlib
import sys
from typing import Any

import orjson

_WINDOW_S = 2.0


class Reason(enum.StrEnum):
    """Result of a job, or the phase with its longest unplanned delay."""

    IN_TIME = "in time"
    CANCELLED = "cancelled"
    NOT_ENDED = "not ended in these logs"
    NO_OWNER = "until the owner had read it"
    WAITED = "waited for room"
    STOPPED = "started again after a stop for others"
    FAILED = "started again after a failure"
    SLOW = "ran longer than declared"
    NOT_SHOWN = "ended, but not stored yet"


@dataclasses.dataclass
class JobHistory:
    """Logged events of one job; times are Unix seconds.

    Attributes:
        priority: 0 goes first; None if no owner has read the job.
        objective_s: Seconds within which the job should have ended.
        expected_s: Declared run time of its longest chain of steps in seconds.
        accepted: When the job was stored.
        seen: When an owner first read the job.
        starts: When tasks of the job were started.
        stops: Reasons for which runs of the job were stopped.
        failures: Number of runs that failed or were lost.
        ended: When the job got its final state.
        shown: When that state was stored; callers don't see it before.
        cancelled: Whether the caller cancelled the job.
    """

    priority: int | None = None
    objective_s: float = 0.0
    expected_s: float = 0.0
    accepted: float | None = None
    seen: float | None = None
    starts: list[float] = dataclasses.field(default_factory=list)
    stops: list[str] = dataclasses.field(default_factory=list)
    failures: int = 0
    ended: float | None = None
    shown: float | None = None
    cancelled: bool = False


def read_histories(lines: Iterable[bytes]) -> dict[str, JobHistory]:
    """Collect the histories of all jobs.

    Args:
        lines: Log lines of all entries, in any order of entries.

    Returns:
        Histories of accepted jobs, by job id.
    """
    histories: dict[str, JobHistory] = collections.defaultdict(JobHistory)
    for fields in parse_lines(lines):
        if fields["message_type"] == "jobs:shown":
            for job in fields["jobs"]:
                _note_shown(histories[job], float(fields["timestamp"]))
            continue
        job = str(fields.get("job") or _find_job(fields))
        if job:
            _add_event(histories[job], fields)
    return {
        job: history for job, history in histories.items() if history.accepted
    }


def parse_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield the fields of each log line; skip all other lines."""
    for line in lines:
        _, brace, rest = line.partition(b"{")
        try:
            fields = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            continue  # truncated, or no log line of an entry
        if isinstance(fields, dict) and "message_type" in fields:
            yield fields


def _find_job(fields: dict[str, Any]) -> str:
    """Return the job id of a task or step named ID.K.STEP[.INDEX]."""
    key = fields.get("task") or fields.get("step") or ""
    return str(key).partition(".")[0]


def _add_event(history: JobHistory, fields: dict[str, Any]) -> None:
    timestamp = float(fields["timestamp"])
    match fields["message_type"]:
        case "job:accept" if fields.get("outcome") == "stored":
            history.accepted = min(history.accepted or timestamp, timestamp)
        case "job:seen":
            history.seen = min(history.seen or timestamp, timestamp)
            history.priority = fields["priority"]
            history.objective_s = fields.get("objective_s", 0.0)
            history.expected_s = fields.get("expected_s", 0.0)
            history.cancelled = history.cancelled or fields["cancelled"]
        case "step:start":
            history.starts.append(timestamp)
        case "run:stop":
            history.stops.append(str(fields["why"]))
        case "run:ended" if fields.get("how") in ("failed", "lapsed", "alone"):
            history.failures += 1
        case "job:final":
            history.ended = min(history.ended or timestamp, timestamp)


def _note_shown(history: JobHistory, timestamp: float) -> None:
    history.shown = min(history.shown or timestamp, timestamp)


def explain_delay(history: JobHistory) -> tuple[Reason, float]:
    """Return why a job was late and by how many seconds."""
    if history.cancelled:
        return Reason.CANCELLED, 0.0
    if history.ended is None or history.accepted is None:
        return Reason.NOT_ENDED, 0.0
    shown = history.shown if history.shown is not None else history.ended
    late_s = shown - history.accepted - history.objective_s
    if late_s <= 0:
        return Reason.IN_TIME, 0.0
    seen = history.seen if history.seen is not None else history.ended
    first_start = min(history.starts, default=history.ended)
    last_start = max(history.starts, default=history.ended)
    restart_reason = Reason.STOPPED
    if history.failures and not any("its room" in why for why in history.stops):
        restart_reason = Reason.FAILED
    delays_s = {
        Reason.NO_OWNER: seen - history.accepted,
        Reason.WAITED: first_start - seen,
        restart_reason: last_start - first_start,
        Reason.SLOW: history.ended - last_start - history.expected_s,
        Reason.NOT_SHOWN: shown - history.ended,
    }
    return max(delays_s, key=lambda reason: delays_s[reason]), late_s


def build_table(histories: Iterable[JobHistory]) -> list[str]:
    """Return a line per priority and reason, longest total delay first."""
    counts: collections.Counter[tuple[int, Reason]] = collections.Counter()
    seconds: collections.Counter[tuple[int, Reason]] = collections.Counter()
    for history in histories:
        reason, late_s = explain_delay(history)
        key = (history.priority if history.priority is not None else -1, reason)
        counts[key] += 1
        seconds[key] += late_s  # type: ignore[assignment]
    rows = sorted(counts, key=lambda key: (key[0], -seconds[key], key[1]))
    return [
        f"{priority:>8}  {counts[priority, reason]:>5}  "
        f"{seconds[priority, reason]:>8.1f}  {reason}"
        for priority, reason in rows
    ]


def build_window_table(histories: Iterable[JobHistory]) -> list[str]:
    """Return a line per window of acceptance: jobs, late jobs, main reason.

    Times count from the first acceptance. Cancelled jobs are left out.
    """
    accepted_jobs = [
        history
        for history in histories
        if history.accepted is not None and not history.cancelled
    ]
    began_at = min(
        (history.accepted or 0.0 for history in accepted_jobs), default=0.0
    )
    windows: dict[int, list[Reason]] = collections.defaultdict(list)
    for history in accepted_jobs:
        number = int(((history.accepted or 0.0) - began_at) // _WINDOW_S)
        windows[number].append(explain_delay(history)[0])
    rows = []
    for number, reasons in sorted(windows.items()):
        late = collections.Counter(
            reason for reason in reasons if reason is not Reason.IN_TIME
        )
        main_reason = max(late, key=lambda reason: late[reason], default="")
        rows.append(
            f"{number * _WINDOW_S:>8.0f}  {len(reasons):>5}  "
            f"{late.total():>5}  {main_reason}"
        )
    return rows


def main(paths: list[str]) -> None:
    """Print the table of some log files."""
    lines = (
        line
        for path in paths
        for line in pathlib.Path(path).read_bytes().splitlines()
    )
    histories = read_histories(lines).values()
    print("priority   jobs  late by s  longest part beyond plan")
    print(*build_table(histories), sep="\n")
    print("\naccepted   jobs   late  most often because")
    print(*build_window_table(histories), sep="\n")


if __name__ == "__main__":
    main(sys.argv[1:])

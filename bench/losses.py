"""Where jobs lost their time, from the log lines of all entries.

python -m bench.losses LOG... reads JSON lines, with or without something
before them, and prints for each priority how many jobs ended after their
objective, by the part of their time that was the longest beyond plan.
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


class Reason(enum.StrEnum):
    """The longest part of a job's time that was not planned."""

    IN_TIME = "in time"
    CANCELLED = "cancelled"
    NOT_ENDED = "not ended in these logs"
    NO_OWNER = "until the owner had read it"
    WAITED = "waited for room"
    STOPPED = "started again after a stop for others"
    FAILED = "started again after a failure"
    SLOW = "ran longer than declared"


@dataclasses.dataclass
class Story:
    """What the logs say of one job; times are Unix seconds.

    Attributes:
        priority: 0 goes first; None if no owner has read it.
        objective_s: Seconds in which it should have ended.
        expected_s: Declared seconds of its longest chain.
        accepted: When it was stored.
        seen: When an owner first read it.
        starts: When tasks of it were started.
        stops: Why runs of it were stopped.
        failures: How many of its runs failed or were lost.
        ended: When it got its final state.
        cancelled: Whether its caller took it back.
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
    cancelled: bool = False


def read_lines(lines: Iterable[bytes]) -> dict[str, Story]:
    """Put the jobs' stories together.

    Args:
        lines: Log lines of all entries, in any order of entries.

    Returns:
        Stories by the job's id, of accepted jobs only.
    """
    found: dict[str, Story] = collections.defaultdict(Story)
    for fields in parse_lines(lines):
        job = str(fields.get("job") or _find_job(fields))
        if job:
            _take(found[job], fields)
    return {job: story for job, story in found.items() if story.accepted}


def parse_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield the fields of each line that is one of ours."""
    for line in lines:
        _, brace, rest = line.partition(b"{")
        try:
            fields = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            continue  # cut off, or not ours
        if isinstance(fields, dict) and "message_type" in fields:
            yield fields


def _find_job(fields: dict[str, Any]) -> str:
    """Return the job of a task or step, which are named ID.K.STEP[.INDEX]."""
    key = fields.get("task") or fields.get("step") or ""
    return str(key).partition(".")[0]


def _take(story: Story, fields: dict[str, Any]) -> None:
    at = float(fields["timestamp"])
    match fields["message_type"]:
        case "job:accept" if fields.get("outcome") == "stored":
            story.accepted = min(story.accepted or at, at)
        case "job:seen":
            story.seen = min(story.seen or at, at)
            story.priority = fields["priority"]
            story.objective_s = fields.get("objective_s", 0.0)
            story.expected_s = fields.get("expected_s", 0.0)
            story.cancelled = story.cancelled or fields["cancelled"]
        case "step:start":
            story.starts.append(at)
        case "run:stop":
            story.stops.append(str(fields["why"]))
        case "run:ended" if fields.get("how") in ("failed", "lapsed", "alone"):
            story.failures += 1
        case "job:final":
            story.ended = min(story.ended or at, at)


def judge(story: Story) -> tuple[Reason, float]:
    """Return why a job was late, and by how many seconds."""
    if story.cancelled:
        return Reason.CANCELLED, 0.0
    if story.ended is None or story.accepted is None:
        return Reason.NOT_ENDED, 0.0
    late_s = story.ended - story.accepted - story.objective_s
    if late_s <= 0:
        return Reason.IN_TIME, 0.0
    seen = story.seen if story.seen is not None else story.ended
    first = min(story.starts, default=story.ended)
    last = max(story.starts, default=story.ended)
    again = Reason.STOPPED
    if story.failures and not any("its room" in why for why in story.stops):
        again = Reason.FAILED
    parts = {
        Reason.NO_OWNER: seen - story.accepted,
        Reason.WAITED: first - seen,
        again: last - first,
        Reason.SLOW: story.ended - last - story.expected_s,
    }
    return max(parts, key=lambda reason: parts[reason]), late_s


def build_table(stories: Iterable[Story]) -> list[str]:
    """Return one line for each priority and reason, the most late first."""
    counts: collections.Counter[tuple[int, Reason]] = collections.Counter()
    seconds: collections.Counter[tuple[int, Reason]] = collections.Counter()
    for story in stories:
        reason, late_s = judge(story)
        key = (story.priority if story.priority is not None else -1, reason)
        counts[key] += 1
        seconds[key] += late_s  # type: ignore[assignment]
    rows = sorted(counts, key=lambda key: (key[0], -seconds[key], key[1]))
    return [
        f"{priority:>8}  {counts[priority, reason]:>5}  "
        f"{seconds[priority, reason]:>8.1f}  {reason}"
        for priority, reason in rows
    ]


def main(paths: list[str]) -> None:
    """Print the table of some log files."""
    lines = (
        line
        for path in paths
        for line in pathlib.Path(path).read_bytes().splitlines()
    )
    print("priority   jobs  late by s  longest part beyond plan")
    for row in build_table(read_lines(lines).values()):
        print(row)


if __name__ == "__main__":
    main(sys.argv[1:])

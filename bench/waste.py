"""What work came to nothing in a run, and why, from the lines of all entries.

python -m bench.waste LOG... prints core-seconds (an accelerator counts as
eight cores) by what ended the work, the most first. The members of a gang end
together: all that they lose counts to what ended the first of them.
"""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib
import re
import sys
from typing import Any

from bench import losses

_JOB = re.compile(r"\b[0-9a-f]{16}\b")
_WITH_GANG = "with its gang, whose first end is not in these logs"
_WORKER_LOST = "its worker was lost"
# A task and the number of its start. A task may start again in the same moment
# in which its end is told, and the line of the start then comes first.
_RunKey = tuple[str, int]


@dataclasses.dataclass
class _Start:
    """Tasks of a step that were started together.

    Attributes:
        cores: Of each task.
        lost: Core-seconds that came to nothing.
        ended: How many tasks ended before their work was done.
        cause: What ended the first of them, as far as that is known.
    """

    cores: float
    lost: float = 0.0
    ended: int = 0
    cause: str = ""


@dataclasses.dataclass(frozen=True)
class Row:
    """One cause.

    Attributes:
        cause: What ended the work.
        core_s: Core-seconds that came to nothing.
        ended: How many runs.
    """

    cause: str
    core_s: float
    ended: int


class Reader:
    """Puts runs together from log lines in the order of their times."""

    def __init__(self) -> None:
        self._starts: list[_Start] = []
        self._running: dict[_RunKey, tuple[float, str, _Start]] = {}
        self._stops: dict[_RunKey, str] = {}

    def take(self, fields: dict[str, Any]) -> None:
        """Take one line."""
        at = float(fields["timestamp"])
        match fields["message_type"]:
            case "step:start" if "cores" in fields:
                self._take_start(fields, at)
            case "run:stop":
                self._stops[_find_run(fields)] = str(fields["why"])
            case "run:ended":
                self._take_end(_find_run(fields), str(fields["how"]), at)
            case "worker:lapsed" if fields["runs"]:
                self._take_lapse(str(fields["worker"]), at)

    def _take_start(self, fields: dict[str, Any], at: float) -> None:
        cores = 0.0 if fields["checkpoints"] else float(fields["cores"])
        start = _Start(cores)
        self._starts.append(start)
        number = int(fields["run"])
        for index, worker in fields["spots"]:
            if not fields["gang"]:
                # Tasks of their own have the numbers that follow.
                number += 1
            key = f"{fields['step']}.{index}", number
            self._running[key] = at, str(worker), start

    def _take_lapse(self, worker: str, at: float) -> None:
        for key, (_, where, _) in list(self._running.items()):
            if where == worker:
                self._lose(key, _WORKER_LOST, at)

    def _take_end(self, key: _RunKey, how: str, at: float) -> None:
        if how == "done":
            self._running.pop(key, None)
        elif how == "broken":
            self._lose(key, "", at)
        elif how == "stopped":
            why = self._stops.get(key, "stopped by nobody in these logs")
            self._lose(key, _JOB.sub("JOB", why), at)
        else:
            self._lose(key, how, at)

    def _lose(self, key: _RunKey, cause: str, at: float) -> None:
        found = self._running.pop(key, None)
        if found is None:
            return
        since, _, start = found
        start.lost += (at - since) * start.cores
        start.ended += 1
        start.cause = start.cause or cause

    def build_rows(self) -> list[Row]:
        """Return one row for each cause, the most core-seconds first."""
        lost: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        ended: collections.Counter[str] = collections.Counter()
        for start in self._starts:
            if start.ended:
                cause = start.cause or _WITH_GANG
                lost[cause] += start.lost
                ended[cause] += start.ended
        rows = [Row(cause, lost[cause], ended[cause]) for cause in lost]
        return sorted(rows, key=lambda row: (-row.core_s, row.cause))


def _find_run(fields: dict[str, Any]) -> _RunKey:
    return str(fields["task"]), int(fields["run"])


def read_rows(lines: Iterable[bytes]) -> list[Row]:
    """Return what came to nothing, by cause.

    Args:
        lines: Log lines of all entries, in any order.
    """
    reader = Reader()
    parsed = losses.parse_lines(lines)
    for fields in sorted(parsed, key=lambda line: float(line["timestamp"])):
        reader.take(fields)
    return reader.build_rows()


def main(paths: list[str]) -> None:
    """Print the table of some log files."""
    lines = (
        line
        for path in paths
        for line in pathlib.Path(path).read_bytes().splitlines()
    )
    print("core-seconds   runs  what ended the work")
    for row in read_rows(lines):
        print(f"{row.core_s:>12.0f}  {row.ended:>5}  {row.cause}")


if __name__ == "__main__":
    main(sys.argv[1:])

"""Shows from the log lines of all entries how much work was wasted, by cause.

python -m bench.waste LOG... prints the wasted core-seconds (an accelerator
counts as eight cores) by the cause that ended the work, largest first. The
members of a gang end together, so all their lost work counts for the cause that
ended the first member.
"""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib
import re
import sys
from typing import Any

from bench import losses

_JOB_ID = re.compile(r"\b[0-9a-f]{16}\b")
_WITH_GANG = "with its gang, whose first end is not in these logs"
_WORKER_LOST = "its worker was lost"
# A task and its run number. The number is needed because a task may restart at
# the moment its end is reported; the line of the new start then comes first.
_RunKey = tuple[str, int]


@dataclasses.dataclass
class _StartedStep:
    """Tasks of a step that were started together.

    Attributes:
        cores: Cores per task; 0 if the tasks write checkpoints.
        lost: Core-seconds of wasted work.
        ended: Number of tasks that ended before their work was done.
        cause: Cause that ended the first of them; empty if unknown.
    """

    cores: float
    lost: float = 0.0
    ended: int = 0
    cause: str = ""


@dataclasses.dataclass(frozen=True)
class Row:
    """Wasted work of one cause.

    Attributes:
        cause: Cause that ended the work.
        core_s: Core-seconds of wasted work.
        ended: Number of runs that ended early.
    """

    cause: str
    core_s: float
    ended: int


class Reader:
    """Reconstructs runs from log lines, which must come in order of time."""

    def __init__(self) -> None:
        self._starts: list[_StartedStep] = []
        self._running: dict[_RunKey, tuple[float, str, _StartedStep]] = {}
        self._stops: dict[_RunKey, str] = {}

    def add_line(self, fields: dict[str, Any]) -> None:
        """Process the fields of one line."""
        at = float(fields["timestamp"])
        match fields["message_type"]:
            case "step:start" if "cores" in fields:
                self._add_start(fields, at)
            case "run:stop":
                self._stops[_build_run_key(fields)] = str(fields["why"])
            case "run:ended":
                self._add_end(_build_run_key(fields), str(fields["how"]), at)
            case "worker:lapsed" if fields["runs"]:
                self._add_lapse(str(fields["worker"]), at)

    def _add_start(self, fields: dict[str, Any], at: float) -> None:
        cores = 0.0 if fields["checkpoints"] else float(fields["cores"])
        start = _StartedStep(cores)
        self._starts.append(start)
        number = int(fields["run"])
        for index, worker in fields["spots"]:
            if not fields["gang"]:
                # Without a gang, the tasks get the numbers that follow `run`.
                number += 1
            key = f"{fields['step']}.{index}", number
            self._running[key] = at, str(worker), start

    def _add_lapse(self, worker: str, at: float) -> None:
        for key, (_, running_on, _) in list(self._running.items()):
            if running_on == worker:
                self._record_loss(key, _WORKER_LOST, at)

    def _add_end(self, key: _RunKey, how: str, at: float) -> None:
        if how == "done":
            self._running.pop(key, None)
        elif how == "broken":
            self._record_loss(key, "", at)
        elif how == "stopped":
            why = self._stops.get(key, "stopped by nobody in these logs")
            self._record_loss(key, _JOB_ID.sub("JOB", why), at)
        else:
            self._record_loss(key, how, at)

    def _record_loss(self, key: _RunKey, cause: str, at: float) -> None:
        run = self._running.pop(key, None)
        if run is None:
            return
        started_at, _, start = run
        start.lost += (at - started_at) * start.cores
        start.ended += 1
        start.cause = start.cause or cause

    def build_rows(self) -> list[Row]:
        """Return one row per cause, most core-seconds first."""
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


def _build_run_key(fields: dict[str, Any]) -> _RunKey:
    return str(fields["task"]), int(fields["run"])


def read_rows(lines: Iterable[bytes]) -> list[Row]:
    """Return the wasted work by cause.

    Args:
        lines: Log lines of all entries, in any order.
    """
    reader = Reader()
    parsed = losses.parse_lines(lines)
    for fields in sorted(parsed, key=lambda line: float(line["timestamp"])):
        reader.add_line(fields)
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

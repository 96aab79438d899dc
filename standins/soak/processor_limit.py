"""Limits the processor time of entry processes, as small VMs do.

A process that has used its share of a period is stopped until the next one, as
the kernel's bandwidth control would do.
"""

from collections.abc import Callable
import pathlib
import signal

import trio

from demo import processes

_PERIOD_S = 0.1
_CHECKS_PER_PERIOD = 10


class ProcessorLimit:
    """Limits each of some processes to a share of one processor."""

    def __init__(
        self,
        entry_processes: processes.Processes,
        share: float,
        is_paused: Callable[[str], bool],
    ) -> None:
        """Prepare; `run` applies the limit.

        Args:
            entry_processes: The processes.
            share: Processor time that each may use, per time.
            is_paused: Returns whether a process is stopped for another reason
                and must stay so.
        """
        self._processes = entry_processes
        self._budget_s = share * _PERIOD_S
        self._is_paused = is_paused
        self._used_before_s: dict[str, float] = {}
        self._stopped: set[str] = set()

    async def run(self, names: list[str]) -> None:
        """Limit processes until cancelled."""
        while True:
            for name in names:
                self._begin_period(name)
            for _ in range(_CHECKS_PER_PERIOD):
                await trio.sleep(_PERIOD_S / _CHECKS_PER_PERIOD)
                for name in names:
                    self._check(name)

    def _begin_period(self, name: str) -> None:
        if name in self._stopped:
            self._stopped.discard(name)
            if self._processes.is_running(name) and not self._is_paused(name):
                self._processes.signal(name, signal.SIGCONT)
        # Time beyond the budget counts in the next period.
        used_s = self._read_used_s(name)
        previous_s = self._used_before_s.get(name, used_s)
        self._used_before_s[name] = (
            used_s
            if used_s < previous_s
            else max(min(previous_s + self._budget_s, used_s), used_s - 1.0)
        )

    def _check(self, name: str) -> None:
        if name in self._stopped or self._is_paused(name):
            return
        used_s = self._read_used_s(name) - self._used_before_s[name]
        if used_s > self._budget_s and self._processes.is_running(name):
            self._stopped.add(name)
            self._processes.signal(name, signal.SIGSTOP)

    def _read_used_s(self, name: str) -> float:
        """Return the processor time of a process; 0 if it has ended."""
        if not self._processes.is_running(name):
            return 0.0
        pid = self._processes.pid(name)
        schedstat = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
        return int(schedstat.split()[0]) / 1e9

"""Draws and sends cancels of jobs, as callers do, and long tasks to cancel."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import trio

from standins.emulator import oracle as oracles

_OK = 200
_MAX_CALLS = 12
_CALL_INTERVAL_S = 0.25
# How long after the last cancel runs can still break the rule.
_JUDGED_S = 4.0


@dataclasses.dataclass(frozen=True)
class CancelLoad:
    """Which jobs are cancelled and when, and how long tasks run.

    Attributes:
        share: Share of the jobs that are cancelled.
        latest_s: A cancel is sent at a time drawn up to one of these many
            seconds after the submission was confirmed.
        long_share: Share of the jobs whose tasks run long.
        longest_task_s: Longest duration of such a task.
        lasting_share: Share of the jobs whose tasks run until the job is
            cancelled; all of these are cancelled.
    """

    share: float = 0.4
    latest_s: tuple[float, ...] = (0.0, 0.3, 3.0, 8.0)
    long_share: float = 0.5
    longest_task_s: float = 12.0
    lasting_share: float = 0.1

    def draw_delay(self, rng: random.Random) -> float:
        """Return the seconds between a submission and its cancel."""
        return rng.uniform(0.0, rng.choice(self.latest_s))

    def change_step(
        self, step: dict[str, object], rng: random.Random
    ) -> dict[str, object]:
        """Return a step of a submission, with long or lasting tasks if drawn.

        Args:
            step: The step as the platform's interface takes it.
            rng: Random generator to draw from.
        """
        kind = rng.random()
        if kind < self.lasting_share:
            return step | {"gang": False, "long_running": True}
        if kind < self.lasting_share + self.long_share:
            longest_ms = int(self.longest_task_s * 1000)
            return step | {"est_duration_ms": rng.randint(2000, longest_ms)}
        return step


class Canceller:
    """Cancels jobs at one entry after another until one confirms."""

    def __init__(
        self,
        oracle: oracles.JobOracle,
        entry_names: list[str],
        call: Callable[[str, str], Awaitable[int | None]],
        rng: random.Random,
    ) -> None:
        """Prepare; nothing is sent.

        Args:
            oracle: Told of the cancels that are sent and confirmed.
            entry_names: The entries.
            call: Cancels a job, by its id, at an entry; returns the status, or
                None without an answer.
            rng: Random generator that draws the entries.
        """
        self._oracle = oracle
        self._entry_names = entry_names
        self._call = call
        self._rng = rng
        self._last_confirmed_at = float("-inf")

    async def cancel(self, job_id: str) -> None:
        """Cancel a job; repeat the call at another entry until confirmed."""
        self._oracle.cancels_sent.add(job_id)
        previous = ""
        for _ in range(_MAX_CALLS):
            others = [name for name in self._entry_names if name != previous]
            previous = self._rng.choice(others or self._entry_names)
            if await self._call(previous, job_id) == _OK:
                now = trio.current_time()
                self._oracle.cancelled.setdefault(job_id, now)
                self._last_confirmed_at = now
                return
            await trio.sleep(_CALL_INTERVAL_S)

    async def cancel_all(self) -> None:
        """Cancel at the same moment all accepted jobs that are not cancelled.

        Some of them have ended; cancelling these must change nothing.
        """
        job_ids = sorted(self._oracle.accepted - self._oracle.cancels_sent)
        async with trio.open_nursery() as nursery:
            for job_id in job_ids:
                nursery.start_soon(self.cancel, job_id)

    async def wait_until_judged(self) -> None:
        """Wait until the runs of the jobs cancelled last must be gone."""
        await trio.sleep_until(self._last_confirmed_at + _JUDGED_S)

"""Emulates VMs that are suspended for seconds, with an entry on each.

What a suspended entry sends is sent when it resumes, and what arrives meanwhile
is read then, however old. Its clock goes on. Its timers go on too, while those
of a real VM stop; this makes the entry send more outdated decisions, not fewer.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import trio


class Suspensions:
    """Tracks which entries are suspended."""

    def __init__(self) -> None:
        self._resumes_at: dict[str, float] = {}

    async def suspend(self, entry: str, duration_s: float) -> None:
        """Suspend an entry for some seconds; a longer suspension stays."""
        resumes_at = trio.current_time() + duration_s
        self._resumes_at[entry] = max(
            resumes_at, self._resumes_at.get(entry, 0.0)
        )
        await trio.sleep(duration_s)

    def is_suspended(self, entry: str) -> bool:
        """Tell whether an entry is suspended."""
        return self._resumes_at.get(entry, 0.0) > trio.current_time()

    def is_any_suspended(self) -> bool:
        """Tell whether any entry is suspended."""
        now = trio.current_time()
        return any(at > now for at in self._resumes_at.values())

    async def wait_until_resumed(self, entry: str) -> None:
        """Wait until an entry is not suspended."""
        while self._resumes_at.get(entry, 0.0) > trio.current_time():
            await trio.sleep_until(self._resumes_at[entry])

    @contextlib.asynccontextmanager
    async def delay_while_suspended(self, entry: str) -> AsyncIterator[None]:
        """Delay the body, and then its result, while an entry is suspended."""
        await self.wait_until_resumed(entry)
        try:
            yield
        finally:
            await self.wait_until_resumed(entry)


class SuspendablePort:
    """Wraps a port of an entry; its calls wait while the entry is suspended."""

    def __init__(
        self, wrapped: object, suspensions: Suspensions, entry: str
    ) -> None:
        self._wrapped = wrapped
        self._suspensions = suspensions
        self._entry = entry

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._wrapped, name)
        if not callable(attribute):
            return attribute

        async def call_delayed(*args: Any, **kwargs: Any) -> Any:
            async with self._suspensions.delay_while_suspended(self._entry):
                return await attribute(*args, **kwargs)

        return call_delayed

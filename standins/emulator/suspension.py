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
        self._wakes_at: dict[str, float] = {}

    async def suspend(self, entry: str, for_s: float) -> None:
        """Suspend an entry for some seconds; a longer suspension stays."""
        wakes_at = trio.current_time() + for_s
        self._wakes_at[entry] = max(wakes_at, self._wakes_at.get(entry, 0.0))
        await trio.sleep(for_s)

    def is_suspended(self, entry: str) -> bool:
        """Tell whether an entry is suspended."""
        return self._wakes_at.get(entry, 0.0) > trio.current_time()

    def is_any(self) -> bool:
        """Tell whether any entry is suspended."""
        now = trio.current_time()
        return any(at > now for at in self._wakes_at.values())

    async def wait_awake(self, entry: str) -> None:
        """Wait until an entry is not suspended."""
        while self._wakes_at.get(entry, 0.0) > trio.current_time():
            await trio.sleep_until(self._wakes_at[entry])

    @contextlib.asynccontextmanager
    async def pass_through(self, entry: str) -> AsyncIterator[None]:
        """Delay the body, and then its result, while an entry is suspended."""
        await self.wait_awake(entry)
        try:
            yield
        finally:
            await self.wait_awake(entry)


class Suspendable:
    """Wraps a port of an entry; its calls wait while the entry is suspended."""

    def __init__(
        self, port: object, suspensions: Suspensions, entry: str
    ) -> None:
        self._port = port
        self._suspensions = suspensions
        self._entry = entry

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._port, name)
        if not callable(call):
            return call

        async def pass_on(*args: Any, **options: Any) -> Any:
            async with self._suspensions.pass_through(self._entry):
                return await call(*args, **options)

        return pass_on

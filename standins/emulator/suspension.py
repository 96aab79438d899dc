"""VMs that stand still for seconds and wake again.

What a suspended entry sends leaves it when it wakes, and what was on its way
to it is read then, however old. Its clock goes on; so do its timers, which on a
real VM stand still too. That makes it send more of what was decided before, not
less.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import trio


class Suspensions:
    """Which entries stand still now."""

    def __init__(self) -> None:
        self._wakes_at: dict[str, float] = {}

    async def suspend(self, entry: str, for_s: float) -> None:
        """Let an entry stand still for some seconds, or for longer."""
        wakes_at = trio.current_time() + for_s
        self._wakes_at[entry] = max(wakes_at, self._wakes_at.get(entry, 0.0))
        await trio.sleep(for_s)

    def is_suspended(self, entry: str) -> bool:
        """Tell whether an entry stands still."""
        return self._wakes_at.get(entry, 0.0) > trio.current_time()

    def is_any(self) -> bool:
        """Tell whether some entry stands still."""
        now = trio.current_time()
        return any(at > now for at in self._wakes_at.values())

    async def wait_awake(self, entry: str) -> None:
        """Wait until an entry runs."""
        while self._wakes_at.get(entry, 0.0) > trio.current_time():
            await trio.sleep_until(self._wakes_at[entry])

    @contextlib.asynccontextmanager
    async def pass_through(self, entry: str) -> AsyncIterator[None]:
        """Hold what the body sends, and what it has heard."""
        await self.wait_awake(entry)
        try:
            yield
        finally:
            await self.wait_awake(entry)


class Suspendable:
    """Any port of an entry, whose calls stand still with it."""

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

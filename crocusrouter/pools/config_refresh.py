"""Keeps the configuration of an entry young enough to decide calls by it.

A watch brings changes at once, but an answer that is lost or held up shows
nothing. So a configuration is believed for a bounded time only, counted from a
read that was answered; a call that comes later waits for the next read.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from crocusrouter.pools import clocks
from crocusrouter.pools import configuration as configurations
from crocusrouter.store import client
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

# Reads are answered in milliseconds. One whose answer may be lost is left open,
# since the service may only be slow, and after this another is sent, and peers
# are asked too.
_ANSWER_S = 0.3
# How long a look goes on: a read has a second to be answered.
_LOOK_S = 1.2
# How long a call waits for a look: enough for a second read, and little beside
# the three seconds that callers wait for the whole call.
_PATIENCE_S = 0.5
# After a look that nobody has answered, the next one begins, and calls wait
# for it, no earlier than this.
_PAUSE_S = 0.5
# A limit that is overrun by this means that the process stood still, with
# answers in its sockets; then it passed for nobody.
_STALL_S = 0.2
_MOST_WAITS = 4

Read = Callable[[str], Awaitable[records.Record | None]]


class ConfigRefresher:
    """Asks for the newest configuration before calls need it."""

    def __init__(
        self,
        configuration: configurations.Configuration,
        read: Read,
        read_by_peers: Read,
        is_owner: Callable[[], bool],
        is_down: Callable[[], bool],
        note_missed: Callable[[], None],
        clock: clocks.Clock,
        metrics: Metrics,
    ) -> None:
        """Prepare; `run` looks.

        Args:
            configuration: What to keep young.
            read: Reads a key of the key-value service.
            read_by_peers: Reads it by way of peers.
            is_owner: Whether this entry owns a pool.
            is_down: Whether the service is known not to serve this entry.
            note_missed: Called when a read brings what the watch has not.
            clock: Source of the current time.
            metrics: Counts looks by how they ended.
        """
        self._configuration = configuration
        self._read = read
        self._read_by_peers = read_by_peers
        self._is_owner = is_owner
        self._is_down = is_down
        self._note_missed = note_missed
        self._clock = clock
        self._metrics = metrics
        self._wanted = trio.Event()
        self._looked = trio.Event()
        self._failed_at: float | None = None
        self._answered = 0

    async def ensure_current(self) -> bool:
        """Wait, if need be and not for long, for the newest configuration.

        If neither the service nor a peer answers, what was known a moment ago
        decides: then nobody can be served by a newer one.

        Returns:
            Whether a call may be decided by what is in force now.
        """
        for _ in range(_MOST_WAITS):
            began = self._clock.steady()
            with trio.move_on_after(_PATIENCE_S):
                while self._should_wait(self._clock.steady()):
                    self._wanted.set()
                    await self._looked.wait()
            if not self._has_stalled(began + _PATIENCE_S):
                break
        return self._configuration.is_fresh(self._clock.steady())

    def _has_stalled(self, limit: float) -> bool:
        """Tell whether a limit was overrun because the process stood still."""
        return self._clock.steady() > limit + _STALL_S

    def _should_wait(self, now: float) -> bool:
        if self._configuration.current is None:
            # Callers of an entry that comes up go elsewhere at once.
            return False
        if self._configuration.is_current(now):
            return False
        return self._failed_at is None or now >= self._failed_at + _PAUSE_S

    async def run(self) -> None:
        """Look whenever it is time, or a call waits, until cancelled."""
        while True:
            await self._wait_until_due()
            self._wanted = trio.Event()
            await self._look()
            self._looked.set()
            self._looked = trio.Event()

    async def _wait_until_due(self) -> None:
        """Wait until the configuration is due, or a call wants it earlier.

        Heartbeats vouch for it meanwhile, and then it is due later.
        """
        while True:
            now = self._clock.steady()
            due = self._configuration.find_next_look(self._is_owner())
            if self._failed_at is not None:
                due = max(due, self._failed_at + _PAUSE_S)
            if now >= due:
                return
            with trio.move_on_after(due - now):
                await self._wanted.wait()
                return

    async def _look(self) -> None:
        """Ask until somebody answers or nobody is left to ask."""
        before = self._answered
        began = self._clock.steady()
        is_down = self._is_down()
        limit_s = _ANSWER_S if is_down else _LOOK_S
        with trio.move_on_after(limit_s):
            if is_down:
                await self._ask(self._read_by_peers)
            else:
                await self._ask_all()
        if self._answered > before:
            self._failed_at = None
            self._metrics.count_event("config-look-answered")
            return
        if self._has_stalled(began + limit_s):
            return
        self._failed_at = self._clock.steady()
        self._metrics.count_event("config-look-unanswered")
        log(
            "config:unvouched",
            age=self._configuration.measure_age(self._failed_at),
        )

    async def _ask_all(self) -> None:
        """Ask the service, and once it is late, again and peers as well."""
        async with trio.open_nursery() as nursery:
            refused = trio.Event()

            async def ask(read: Read) -> None:
                if await self._ask(read):
                    nursery.cancel_scope.cancel()
                refused.set()

            nursery.start_soon(ask, self._read)
            with trio.move_on_after(_ANSWER_S):
                await refused.wait()
            nursery.start_soon(ask, self._read_by_peers)
            if not refused.is_set():
                nursery.start_soon(ask, self._read)

    async def _ask(self, read: Read) -> bool:
        """Ask once; tell whether there was an answer."""
        sent_at = self._clock.steady()
        try:
            found = await read(self._configuration.key)
        except client.StoreUnavailableError:
            return False
        if found is not None:
            if self._configuration.take(found.value, "read"):
                self._note_missed()
            self._configuration.vouch(sent_at)
        self._answered += 1
        return True

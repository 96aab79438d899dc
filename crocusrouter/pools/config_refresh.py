"""Refreshes the configuration so that its age allows deciding calls.

A watch reports changes at once, but a lost or delayed answer shows nothing. So
a configuration is trusted only for a bounded time after an answered read; a
call that comes later waits for the next read.
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

# Reads are answered in milliseconds. A read without an answer in this time
# stays open, since the service may only be slow; another one is sent, and peers
# are asked too.
_ANSWER_TIMEOUT_S = 0.3
# Duration of a check: a read has one second to be answered.
_CHECK_TIMEOUT_S = 1.2
# How long a call waits for a check: enough for a second read, and short
# compared with the three seconds for which callers wait.
_CALL_WAIT_S = 0.5
# Delay after an unanswered check until the next one begins, and until calls
# wait for one again.
_RETRY_DELAY_S = 0.5
# A timeout that is exceeded by this much means that the process was blocked
# while answers lay in its sockets. Such a timeout does not count.
_STALL_THRESHOLD_S = 0.2
_MAX_WAITS = 4

Read = Callable[[str], Awaitable[records.Record | None]]


class ConfigRefresher:
    """Checks for the newest configuration before calls need it."""

    def __init__(
        self,
        configuration: configurations.Configuration,
        read: Read,
        read_by_peers: Read,
        is_owner: Callable[[], bool],
        is_down: Callable[[], bool],
        on_missed_change: Callable[[], None],
        clock: clocks.Clock,
        metrics: Metrics,
        find_read_due: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        """Prepare; `run` checks regularly.

        Args:
            configuration: The configuration to refresh.
            read: Reads a key of the key-value service.
            read_by_peers: Reads a key through peers.
            is_owner: Returns whether this entry owns a pool.
            is_down: Returns whether the service is known not to serve this
                entry.
            on_missed_change: Called when a read returns a version that the
                watch has not reported.
            clock: Source of the current time.
            metrics: Counts checks by outcome.
            find_read_due: Returns the steady time at which a read is due for
                other records that it brings along.
        """
        self._configuration = configuration
        self._read = read
        self._read_by_peers = read_by_peers
        self._is_owner = is_owner
        self._is_down = is_down
        self._on_missed_change = on_missed_change
        self._clock = clock
        self._metrics = metrics
        self._find_read_due = find_read_due
        self._checked_at = float("-inf")
        self._check_requested = trio.Event()
        self._check_finished = trio.Event()
        self._failed_at: float | None = None
        self._answer_count = 0

    async def ensure_current(self) -> bool:
        """Wait, if necessary and not for long, for the newest configuration.

        If neither the service nor a peer answers, the configuration known so
        far decides: nobody could be served by a newer one then.

        Returns:
            Whether a call may be decided by the configuration in force.
        """
        for _ in range(_MAX_WAITS):
            began_at = self._clock.steady()
            with trio.move_on_after(_CALL_WAIT_S):
                while self._should_wait(self._clock.steady()):
                    self._check_requested.set()
                    await self._check_finished.wait()
            if not self._has_stalled(began_at + _CALL_WAIT_S):
                break
        return self._configuration.is_fresh(self._clock.steady())

    def request_check(self) -> None:
        """Check now, because this entry needs records that may be old."""
        self._check_requested.set()

    def _has_stalled(self, deadline: float) -> bool:
        """Return whether a timeout was exceeded because the process blocked."""
        return self._clock.steady() > deadline + _STALL_THRESHOLD_S

    def _should_wait(self, now: float) -> bool:
        if self._configuration.current is None:
            # Callers of a starting entry go to another entry at once.
            return False
        if self._configuration.is_current(now):
            return False
        return (
            self._failed_at is None or now >= self._failed_at + _RETRY_DELAY_S
        )

    async def run(self) -> None:
        """Check whenever it is due or a call waits, until cancelled."""
        while True:
            await self._wait_until_due()
            self._check_requested = trio.Event()
            await self._check()
            self._check_finished.set()
            self._check_finished = trio.Event()

    async def _wait_until_due(self) -> None:
        """Wait until a check is due or a call requests one.

        Heartbeats confirm the configuration meanwhile, which postpones the
        check.
        """
        while True:
            now = self._clock.steady()
            due_at = min(
                self._configuration.find_next_check(self._is_owner()),
                max(self._find_read_due(), self._checked_at + _RETRY_DELAY_S),
            )
            if self._failed_at is not None:
                due_at = max(due_at, self._failed_at + _RETRY_DELAY_S)
            if now >= due_at:
                return
            with trio.move_on_after(due_at - now):
                await self._check_requested.wait()
                return

    async def _check(self) -> None:
        """Ask until an answer arrives or the time for the check is over."""
        answers_before = self._answer_count
        began_at = self._clock.steady()
        self._checked_at = began_at
        is_down = self._is_down()
        timeout_s = _ANSWER_TIMEOUT_S if is_down else _CHECK_TIMEOUT_S
        with trio.move_on_after(timeout_s):
            if is_down:
                await self._ask(self._read_by_peers)
            else:
                await self._ask_all()
        if self._answer_count > answers_before:
            self._failed_at = None
            self._metrics.count_event("config-look-answered")
            return
        if self._has_stalled(began_at + timeout_s):
            return
        self._failed_at = self._clock.steady()
        self._metrics.count_event("config-look-unanswered")
        log(
            "config:unvouched",
            age=self._configuration.measure_age(self._failed_at),
        )

    async def _ask_all(self) -> None:
        """Ask the service; without an answer, ask it again and the peers."""
        async with trio.open_nursery() as nursery:
            first_read_finished = trio.Event()

            async def ask(read: Read) -> None:
                if await self._ask(read):
                    nursery.cancel_scope.cancel()
                first_read_finished.set()

            nursery.start_soon(ask, self._read)
            with trio.move_on_after(_ANSWER_TIMEOUT_S):
                await first_read_finished.wait()
            nursery.start_soon(ask, self._read_by_peers)
            if not first_read_finished.is_set():
                nursery.start_soon(ask, self._read)

    async def _ask(self, read: Read) -> bool:
        """Ask once; return whether there was an answer."""
        sent_at = self._clock.steady()
        try:
            record = await read(self._configuration.key)
        except client.StoreUnavailableError:
            return False
        if record is not None:
            if self._configuration.apply(record.value, "read"):
                self._on_missed_change()
            self._configuration.confirm_newest(sent_at)
        self._answer_count += 1
        return True

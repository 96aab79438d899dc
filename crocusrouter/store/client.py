"""Client of the platform's key-value service."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
import random

import httpcore
import trio

from crocusrouter.outcomes import RetryReason
from crocusrouter.store import budget
from crocusrouter.store import records
from crocusrouter.store import wire
from crocusrouter.telemetry import Metrics

_FIRST_BACKOFF_S = 0.05
_LONGEST_BACKOFF_S = 2.0
_OK = 200

# Failures before any byte of the call left this process.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class StoreUnavailableError(Exception):
    """A read or a watch got no usable answer; try again after a back-off."""


class _AnswerLostError(Exception):
    """The call may have taken effect; its answer did not arrive."""


class _NotTakenError(Exception):
    """The call certainly had no effect."""


class StoreClient:
    """Reads, compare-and-swaps and watches, within a budget of calls.

    No call is ever made twice without need: a compare-and-swap names the
    revision that it replaces, so a repetition of a write that already took
    effect fails its comparison, and its write id tells that it was ours.
    """

    def __init__(
        self,
        url: str,
        metrics: Metrics,
        *,
        call_timeout_s: float = 1.0,
        calls_per_s: float = 50.0,
        burst: float = 100.0,
        seed: int | None = None,
    ) -> None:
        self._url = url.rstrip("/")
        self._metrics = metrics
        self._timeout_s = call_timeout_s
        self._rate = calls_per_s
        self._burst = burst
        self._budget: budget.Budget | None = None
        self._random = random.Random(seed)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=30.0
        )
        self.failing_since: float | None = None

    async def read(self, key: str) -> records.Record | None:
        """Return the record of `key`, or None if there is none.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        body = await self._read("read", wire.RANGE_PATH, wire.build_read(key))
        found = wire.parse_snapshot(body).records
        return found[0] if found else None

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under `prefix` as of one revision.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        request = wire.build_range(prefix)
        body = await self._read("range", wire.RANGE_PATH, request)
        return wire.parse_snapshot(body)

    async def grant(self, ttl_s: int) -> int:
        """Return the identity of a new lease of `ttl_s` seconds.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        request = wire.build_grant(ttl_s)
        return wire.parse_grant(
            await self._read("grant", wire.GRANT_PATH, request)
        )

    async def swap(
        self,
        key: str,
        expected: records.Record | None,
        value: bytes,
        *,
        patience_s: float = 2.0,
        lease: int = 0,
    ) -> records.SwapOutcome:
        """Replace the record `expected` by `value`, or create the key.

        A lost answer is settled before anyone is told: the same swap is sent
        again. If the first one took effect, the second one conflicts and the
        current record carries our write id.

        Args:
            key: The whole key.
            expected: The record to replace; None if there must be none.
            value: The new body.
            patience_s: How long to try before giving up.
            lease: Lease under which the key lives, or 0.

        Returns:
            Committed, Conflict or Unavailable; the last one says whether the
            write may have taken effect all the same.
        """
        write_id = records.new_write_id()
        earlier = expected.write_ids if expected is not None else ()
        data = records.wrap(value, write_id, earlier)
        revision = expected.revision if expected is not None else 0
        request = wire.build_swap(key, revision, data, lease)
        maybe_written = False
        cause = "no time left"
        delays = self._delays()
        with trio.move_on_after(patience_s):
            while True:
                try:
                    answer = wire.parse_swap(
                        await self._call("swap", wire.TXN_PATH, request)
                    )
                except _AnswerLostError as error:
                    self._metrics.count_retry(RetryReason.STORE_ANSWER_LOST)
                    maybe_written, cause = True, str(error)
                except _NotTakenError as error:
                    cause = str(error)
                except trio.Cancelled:
                    maybe_written = True
                    raise
                else:
                    return _settle(key, value, write_id, earlier, answer)
                await trio.sleep(next(delays))
        return records.Unavailable(cause, maybe_written, write_id)

    async def watch(
        self,
        prefix: str,
        start_revision: int,
        *,
        silence_limit_s: float,
        on_open: Callable[[], None] | None = None,
    ) -> AsyncGenerator[tuple[records.Event, ...], None]:
        """Yield the changes under `prefix` from `start_revision` on.

        A connection can go silent for good while new ones work, so a watch
        that says nothing for `silence_limit_s` ends; its caller reads again
        and opens a new one, which is enough to see whatever it missed.

        Raises:
            StoreUnavailableError: The watch broke or can't be opened.
        """
        request = wire.build_watch(prefix, start_revision)
        timeouts = self._timeouts() | {"read": silence_limit_s}
        await self._wait_for_budget()
        buffer = b""
        try:
            async with self._pool.stream(
                "POST",
                self._url + wire.WATCH_PATH,
                content=request,
                extensions={"timeout": timeouts},
            ) as response:
                self._count("watch", response.status)
                if response.status != _OK:
                    raise StoreUnavailableError(f"status {response.status}")
                if on_open is not None:
                    on_open()
                async for chunk in response.aiter_stream():
                    *lines, buffer = (buffer + chunk).split(b"\n")
                    for line in lines:
                        events = wire.parse_events(line)
                        if events:
                            yield events
        except _FAILURES as error:
            self._count("watch", type(error).__name__)
            raise StoreUnavailableError(_describe(error)) from error

    async def aclose(self) -> None:
        """Close all connections."""
        with contextlib.suppress(*_FAILURES):
            await self._pool.aclose()

    async def _read(self, call: str, path: str, request: bytes) -> bytes:
        try:
            return await self._call(call, path, request)
        except (_AnswerLostError, _NotTakenError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def _call(self, call: str, path: str, request: bytes) -> bytes:
        await self._wait_for_budget()
        try:
            response = await self._pool.request(
                "POST",
                self._url + path,
                content=request,
                extensions={"timeout": self._timeouts()},
            )
        except _NOT_SENT as error:
            self._count(call, type(error).__name__)
            raise _NotTakenError(_describe(error)) from error
        except _FAILURES as error:
            self._count(call, type(error).__name__)
            raise _AnswerLostError(_describe(error)) from error
        self._count(call, response.status)
        if response.status != _OK:
            # Not a proof that nothing was written: a gateway may fail after
            # the service has applied the write.
            raise _AnswerLostError(f"status {response.status}")
        return response.content

    async def _wait_for_budget(self) -> None:
        now = trio.current_time()
        held = self._budget or budget.open_budget(self._rate, self._burst, now)
        self._budget, wait_s = budget.take(held, now)
        await trio.sleep(wait_s)

    def _timeouts(self) -> dict[str, float]:
        names = ("connect", "read", "write", "pool")
        return dict.fromkeys(names, self._timeout_s)

    def _count(self, call: str, result: int | str) -> None:
        self._metrics.count_store_call(call, str(result))
        if result == _OK:
            self.failing_since = None
        elif self.failing_since is None:
            self.failing_since = trio.current_time()

    def _delays(self) -> "_Delays":
        return _Delays(self._random)


class _Delays:
    """Doubling delays with full jitter, so that callers don't stampede."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._limit_s = _FIRST_BACKOFF_S

    def __next__(self) -> float:
        delay_s = self._random.uniform(0.0, self._limit_s)
        self._limit_s = min(self._limit_s * 2, _LONGEST_BACKOFF_S)
        return delay_s


def _settle(
    key: str,
    value: bytes,
    write_id: bytes,
    earlier: tuple[bytes, ...],
    answer: int | records.Conflict,
) -> records.SwapOutcome:
    """Tell whether a swap won, also when its first answer was lost."""
    if isinstance(answer, int):
        ids = (write_id, *earlier)[: records.REMEMBERED_WRITES]
        return records.Committed(records.Record(key, value, answer, ids))
    current = answer.current
    if current is None or write_id not in current.write_ids:
        return answer
    if current.write_ids[0] == write_id:
        return records.Committed(current)
    return records.Superseded(current)


def _describe(error: Exception) -> str:
    return (
        f"{type(error).__name__}: {error}"
        if str(error)
        else (type(error).__name__)
    )

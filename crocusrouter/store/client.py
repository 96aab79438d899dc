"""Client of the platform's key-value service with compare-and-swap."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
import random

import httpcore
import trio

from crocusrouter.outcomes import RetryReason
from crocusrouter.store import records
from crocusrouter.store import token_bucket
from crocusrouter.store import wire
from crocusrouter.telemetry import Metrics

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_STATUS_OK = 200

# Errors raised before any byte of the call was sent.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class StoreUnavailableError(Exception):
    """A read or watch got no usable answer; retry after a back-off."""


class _AnswerLostError(Exception):
    """The call may have taken effect, but its answer was lost."""


class _NotTakenError(Exception):
    """The call certainly had no effect."""


class StoreClient:
    """Reads, swaps and watches keys, within a limited rate of calls.

    A swap can be repeated safely: it names the revision that it replaces, so
    if the first call took effect, the second one fails its comparison. The
    write id in the current record then shows that this client wrote it.
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
        self._call_timeout_s = call_timeout_s
        self._calls_per_s = calls_per_s
        self._burst = burst
        self._bucket: token_bucket.TokenBucket | None = None
        self._rng = random.Random(seed)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=30.0
        )
        self.failing_since: float | None = None

    async def read(self, key: str) -> records.Record | None:
        """Return the record of `key`, or None if the key does not exist.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        body = await self._read(
            "read", wire.RANGE_PATH, wire.build_read_request(key)
        )
        matches = wire.parse_snapshot(body).records
        return matches[0] if matches else None

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under `prefix` as of one revision.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        request = wire.build_range_request(prefix)
        body = await self._read("range", wire.RANGE_PATH, request)
        return wire.parse_snapshot(body)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its id.

        Raises:
            StoreUnavailableError: No usable answer in time.
        """
        request = wire.build_grant_request(ttl_s)
        return wire.parse_grant(
            await self._read("grant", wire.GRANT_PATH, request)
        )

    async def compare_and_swap(
        self,
        key: str,
        expected: records.Record | None,
        value: bytes,
        *,
        timeout_s: float = 2.0,
        lease: int = 0,
    ) -> records.SwapOutcome:
        """Replace the record `expected` by `value`, or create the key.

        If an answer is lost, the same swap is sent again. If the first call
        took effect, the second one conflicts and the current record holds the
        write id of this swap.

        Args:
            key: The whole key.
            expected: The record to replace; None if the key must not exist.
            value: The new value.
            timeout_s: How long to retry before giving up.
            lease: Lease to which the key is attached, or 0.

        Returns:
            Committed, Conflict, Superseded or Unavailable. Unavailable says
            whether the write may have taken effect all the same.
        """
        write_id = records.new_write_id()
        earlier_write_ids = expected.write_ids if expected is not None else ()
        envelope = records.wrap(value, write_id, earlier_write_ids)
        revision = expected.revision if expected is not None else 0
        request = wire.build_swap_request(key, revision, envelope, lease)
        maybe_written = False
        cause = "timed out before the first call ended"
        backoff = self._start_backoff()
        with trio.move_on_after(timeout_s):
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
                    return _resolve_swap(
                        key, value, write_id, earlier_write_ids, answer
                    )
                await trio.sleep(next(backoff))
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

        A connection can go silent permanently while new connections work, so
        a watch that receives nothing for `silence_limit_s` ends. The caller
        then reads the prefix again and opens a new watch, so that no change
        is missed.

        Raises:
            StoreUnavailableError: The watch failed or can't be opened.
        """
        request = wire.build_watch_request(prefix, start_revision)
        timeouts = self._build_timeouts() | {"read": silence_limit_s}
        await self._wait_for_token()
        buffer = b""
        try:
            async with self._pool.stream(
                "POST",
                self._url + wire.WATCH_PATH,
                content=request,
                extensions={"timeout": timeouts},
            ) as response:
                self._record_result("watch", response.status)
                if response.status != _STATUS_OK:
                    raise StoreUnavailableError(f"status {response.status}")
                if on_open is not None:
                    on_open()
                async for chunk in response.aiter_stream():
                    *lines, buffer = (buffer + chunk).split(b"\n")
                    for line in lines:
                        events = wire.parse_events(line)
                        if events:
                            yield events
        except _CALL_ERRORS as error:
            self._record_result("watch", type(error).__name__)
            raise StoreUnavailableError(_describe_error(error)) from error

    async def aclose(self) -> None:
        """Close all connections."""
        with contextlib.suppress(*_CALL_ERRORS):
            await self._pool.aclose()

    async def _read(self, call: str, path: str, request: bytes) -> bytes:
        """Make a call; raise StoreUnavailableError on any failure."""
        try:
            return await self._call(call, path, request)
        except (_AnswerLostError, _NotTakenError) as error:
            raise StoreUnavailableError(str(error)) from error

    async def _call(self, call: str, path: str, request: bytes) -> bytes:
        """Make one call; an error says whether it may have taken effect."""
        await self._wait_for_token()
        try:
            response = await self._pool.request(
                "POST",
                self._url + path,
                content=request,
                extensions={"timeout": self._build_timeouts()},
            )
        except _NOT_SENT_ERRORS as error:
            self._record_result(call, type(error).__name__)
            raise _NotTakenError(_describe_error(error)) from error
        except _CALL_ERRORS as error:
            self._record_result(call, type(error).__name__)
            raise _AnswerLostError(_describe_error(error)) from error
        self._record_result(call, response.status)
        if response.status != _STATUS_OK:
            # The write may have taken effect: a gateway can fail after the
            # service has applied a write.
            raise _AnswerLostError(f"status {response.status}")
        return response.content

    async def _wait_for_token(self) -> None:
        now = trio.current_time()
        bucket = self._bucket or token_bucket.open_bucket(
            self._calls_per_s, self._burst, now
        )
        self._bucket, wait_s = token_bucket.take_token(bucket, now)
        await trio.sleep(wait_s)

    def _build_timeouts(self) -> dict[str, float]:
        phases = ("connect", "read", "write", "pool")
        return dict.fromkeys(phases, self._call_timeout_s)

    def _record_result(self, call: str, result: int | str) -> None:
        """Count a call's result and note since when calls have failed."""
        self._metrics.count_store_call(call, str(result))
        if result == _STATUS_OK:
            self.failing_since = None
        elif self.failing_since is None:
            self.failing_since = trio.current_time()

    def _start_backoff(self) -> "_Backoff":
        return _Backoff(self._rng)


class _Backoff:
    """Exponential back-off with full jitter, so that callers spread out."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limit_s = _INITIAL_BACKOFF_S

    def __next__(self) -> float:
        delay_s = self._rng.uniform(0.0, self._limit_s)
        self._limit_s = min(self._limit_s * 2, _MAX_BACKOFF_S)
        return delay_s


def _resolve_swap(
    key: str,
    value: bytes,
    write_id: bytes,
    earlier_write_ids: tuple[bytes, ...],
    answer: int | records.Conflict,
) -> records.SwapOutcome:
    """Return the outcome of a swap, also if an earlier answer was lost.

    Args:
        key: The whole key.
        value: The new value.
        write_id: Write id of this swap.
        earlier_write_ids: Write ids of the record that it replaces.
        answer: The new revision, or the conflict.
    """
    if isinstance(answer, int):
        write_ids = (write_id, *earlier_write_ids)[: records.MAX_WRITE_IDS]
        return records.Committed(records.Record(key, value, answer, write_ids))
    current = answer.current
    if current is None or write_id not in current.write_ids:
        return answer
    if current.write_ids[0] == write_id:
        return records.Committed(current)
    return records.Superseded(current)


def _describe_error(error: Exception) -> str:
    return (
        f"{type(error).__name__}: {error}"
        if str(error)
        else (type(error).__name__)
    )

"""JSON calls to one address of the platform, and how they fail."""

import dataclasses
import socket
from typing import Any

import httpcore
import orjson

# A connection can go silent for good while new ones work. Probes after one
# idle second, and no answer to two of them, end it within about three; a
# write that nobody acknowledges ends as fast.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 2500
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
_IDLE_CONNECTION_S = 60.0

# Failures before any byte of the call left this process.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass(frozen=True)
class Answered:
    """The other side answered.

    Attributes:
        status: HTTP status.
        document: The JSON body; empty if there was none.
    """

    status: int
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """No usable answer.

    Attributes:
        cause: What went wrong.
        maybe_done: Whether the call may have taken effect, or still may.
    """

    cause: str
    maybe_done: bool


Result = Answered | Unanswered


class Connection:
    """One connection to an address, opened by its first call.

    It is never opened again, so all calls reach the same process.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._connection = httpcore.AsyncHTTPConnection(
            httpcore.URL(self._base).origin,
            keepalive_expiry=_IDLE_CONNECTION_S,
            socket_options=_SOCKET_OPTIONS,
        )

    @property
    def is_open(self) -> bool:
        """Whether another call may be made."""
        held = self._connection
        return not (held.is_closed() or held.has_expired())

    async def call(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Make one call; see `Caller.call`."""
        url = self._base + target
        return await _exchange(
            self._connection, method, url, document, timeout_s, headers
        )

    async def aclose(self) -> None:
        """Close it."""
        await self._connection.aclose()


class Caller:
    """Calls one address over connections of its own.

    A pool an address: httpcore looks through all connections of a pool at
    each request, which with one pool for all workers cost 1.9 cores where
    pools of their own cost 0.15.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            keepalive_expiry=_IDLE_CONNECTION_S,
            socket_options=_SOCKET_OPTIONS,
        )

    async def call(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Make one call; never repeated here.

        Args:
            method: HTTP method.
            target: Path and query.
            document: JSON body, or None.
            timeout_s: Seconds for each of connecting, sending and waiting.
            headers: Sent besides the content type.
        """
        url = self._base + target
        return await _exchange(
            self._pool, method, url, document, timeout_s, headers
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _exchange(
    requests: httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection,
    method: str,
    url: str,
    document: dict[str, Any] | None,
    timeout_s: float,
    headers: dict[str, str] | None,
) -> Result:
    names = ("connect", "read", "write", "pool")
    content = orjson.dumps(document) if document is not None else None
    sent: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
    sent.update(headers or {})
    try:
        response = await requests.request(
            method,
            url,
            headers=sent,
            content=content,
            extensions={"timeout": dict.fromkeys(names, timeout_s)},
        )
    except _NOT_SENT as error:
        return Unanswered(repr(error), maybe_done=False)
    except _BROKEN as error:
        return Unanswered(repr(error), maybe_done=True)
    try:
        body = orjson.loads(response.content) if response.content else {}
    except orjson.JSONDecodeError as error:
        return Unanswered(f"answer is no JSON: {error}", maybe_done=True)
    return Answered(
        response.status, body if isinstance(body, dict) else {"": body}
    )

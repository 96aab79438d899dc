"""JSON calls over HTTP to one address of the platform."""

import dataclasses
import socket
from typing import Any

import httpcore
import orjson

# A connection can stop delivering data for good while new connections work.
# Keepalive probes start after one idle second and close it after two probes
# without an answer, about three seconds in all. An unacknowledged write closes
# it about as fast.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_WRITE_TIMEOUT_MS = 2500
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _UNACKNOWLEDGED_WRITE_TIMEOUT_MS,
    ),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
_IDLE_EXPIRY_S = 60.0

# Errors raised before any byte of the request left this process.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,  # closed by the previous response
    httpcore.PoolTimeout,
)
# Errors after which the request may have been processed.
_MAYBE_SENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass(frozen=True)
class Response:
    """A response of the other side.

    Attributes:
        status: HTTP status.
        document: The JSON body; empty if there was none. A body that is no
            object is stored under the key "".
    """

    status: int
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """A call without a usable response.

    Attributes:
        cause: What went wrong.
        maybe_done: Whether the call may have taken effect or may still do so.
    """

    cause: str
    maybe_done: bool


CallResult = Response | NoResponse


class Connection:
    """One connection to an address, opened by the first call.

    A closed connection isn't reopened, so all calls reach the same process.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._connection = httpcore.AsyncHTTPConnection(
            httpcore.URL(self._base).origin,
            keepalive_expiry=_IDLE_EXPIRY_S,
            socket_options=_SOCKET_OPTIONS,
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another call."""
        connection = self._connection
        return not (connection.is_closed() or connection.has_expired())

    async def call(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Make one call; see `HttpClient.call`."""
        url = self._base + target
        return await _exchange(
            self._connection, method, url, document, timeout_s, headers
        )

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()


class HttpClient:
    """Calls one address over a connection pool of its own.

    Each address has its own pool because httpcore scans all connections of a
    pool at each request.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            keepalive_expiry=_IDLE_EXPIRY_S,
            socket_options=_SOCKET_OPTIONS,
        )

    async def call(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Make one call, without retries.

        Args:
            method: HTTP method.
            target: Path and query.
            document: JSON body, or None.
            timeout_s: Timeout of each phase: getting a connection, connecting,
                sending and receiving.
            headers: Request headers besides the content type.
        """
        url = self._base + target
        return await _exchange(
            self._pool, method, url, document, timeout_s, headers
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _exchange(
    transport: httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection,
    method: str,
    url: str,
    document: dict[str, Any] | None,
    timeout_s: float,
    headers: dict[str, str] | None,
) -> CallResult:
    phases = ("connect", "read", "write", "pool")
    content = orjson.dumps(document) if document is not None else None
    request_headers: dict[bytes | str, bytes | str] = {
        "Content-Type": "application/json"
    }
    request_headers.update(headers or {})
    try:
        response = await transport.request(
            method,
            url,
            headers=request_headers,
            content=content,
            extensions={"timeout": dict.fromkeys(phases, timeout_s)},
        )
    except _NOT_SENT_ERRORS as error:
        return NoResponse(repr(error), maybe_done=False)
    except _MAYBE_SENT_ERRORS as error:
        return NoResponse(repr(error), maybe_done=True)
    try:
        body = orjson.loads(response.content) if response.content else {}
    except orjson.JSONDecodeError as error:
        return NoResponse(f"response is not JSON: {error}", maybe_done=True)
    return Response(
        response.status, body if isinstance(body, dict) else {"": body}
    )

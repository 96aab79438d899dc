"""Websocket client connections that are reopened after they end."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import trio
import websockets
import websockets.trio.client

from crocusrouter.telemetry import log

_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.3
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


def dial(
    url: str, max_message: int, headers: dict[str, str] | None = None
) -> contextlib.AbstractAsyncContextManager[Any]:
    """Open a websocket with the settings of all links between our processes.

    Compression is off because its buffers would take more memory than the
    rest of a link's state. Pings are off because lease renewals and heartbeats
    already detect a dead connection.

    Args:
        url: "ws://IP:port/path".
        max_message: Largest message accepted, in bytes.
        headers: Additional headers of the handshake.
    """
    return websockets.trio.client.connect(
        url,
        additional_headers=headers or {},
        compression=None,
        proxy=None,
        open_timeout=_OPEN_TIMEOUT_S,
        close_timeout=_CLOSE_TIMEOUT_S,
        ping_interval=None,
        max_size=max_message,
    )


async def keep_connected(
    serve_connection: Callable[[], Awaitable[None]],
) -> None:
    """Open and serve connections one after another until cancelled.

    It waits after each connection, with exponential backoff after failures. An
    address to which no connection can be opened counts as unreachable.

    Args:
        serve_connection: Opens one connection and returns when it has ended.
    """
    backoff_s = _MIN_BACKOFF_S
    is_error_logged = False
    while True:
        try:
            await serve_connection()
            backoff_s = _MIN_BACKOFF_S
        except (OSError, websockets.WebSocketException, TimeoutError):
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        except ValueError as error:
            if not is_error_logged:
                log("connection:invalid", error=repr(error))
                is_error_logged = True
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        await trio.sleep(backoff_s)

"""Websocket connections that are opened again whenever they end."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import trio
import websockets
import websockets.trio.client

_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.3
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0


def dial(
    url: str, max_message: int, headers: dict[str, str] | None = None
) -> contextlib.AbstractAsyncContextManager[Any]:
    """Open a websocket as all links between our processes use it.

    Compression is off: its buffers would weigh more than a link's whole
    state. Pings are off: renewals and heartbeats do their work, and notice a
    connection that has gone silent.

    Args:
        url: "ws://IP:port/path".
        max_message: Largest message taken, in bytes.
        headers: Sent with the handshake.
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

    Args:
        serve_connection: Opens one connection and serves it to its end.
    """
    pause_s = _FIRST_PAUSE_S
    while True:
        try:
            await serve_connection()
            pause_s = _FIRST_PAUSE_S
        except (OSError, websockets.WebSocketException, TimeoutError):
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
        await trio.sleep(pause_s)

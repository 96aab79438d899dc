"""The server for calls from other entries."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
from typing import Any

import cbor2
import trio
import websockets
import websockets.trio.server

from crocusrouter import codec
from crocusrouter.mesh import link
from crocusrouter.mesh import messages
from crocusrouter.telemetry import log

Handler = Callable[[Any], Awaitable[object]]
_STATUS_UNAUTHORIZED = 401


async def serve_mesh(
    handler: Handler,
    host: str,
    port: int,
    secret: str,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer calls from other entries until cancelled.

    Args:
        handler: Returns the answer to a message.
        host: IP address to listen on.
        port: Port to listen on.
        secret: Secret shared by all entries; connections without it are
            refused.
        task_status: Notified when the port is open.
    """
    expected_header = f"Bearer {secret}"

    def check_secret(connection: Any, request: Any) -> Any:
        given_header = request.headers.get("Authorization", "")
        if hmac.compare_digest(given_header.encode(), expected_header.encode()):
            return None
        return connection.respond(_STATUS_UNAUTHORIZED, "wrong mesh secret\n")

    async def serve_peer(connection: Any) -> None:
        async with trio.open_nursery() as nursery:
            try:
                async for frame in connection:
                    nursery.start_soon(_answer_call, connection, frame, handler)
            except websockets.ConnectionClosed as error:
                log("mesh:connection-lost", why=str(error))
            nursery.cancel_scope.cancel()

    await websockets.trio.server.serve(
        serve_peer,
        port,
        host=host,
        process_request=check_secret,
        compression=None,
        ping_interval=None,
        close_timeout=0.5,
        max_size=link.MAX_MESSAGE_BYTES,
        task_status=task_status,
    )


async def _answer_call(connection: Any, frame: bytes, handler: Handler) -> None:
    try:
        call_number, data = cbor2.loads(frame)
        message = messages.REGISTRY.decode(data)
    except (codec.BadMessageError, cbor2.CBORDecodeError, ValueError) as error:
        log("mesh:bad-message", error=str(error))
        return
    answer = messages.REGISTRY.encode(await handler(message))
    try:
        await connection.send(cbor2.dumps([call_number, answer]))
    except websockets.ConnectionClosed:
        log("mesh:answer-dropped", message=type(message).__name__)

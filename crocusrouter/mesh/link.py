"""The connection on which one entry calls a peer."""

import itertools
from typing import Any

import cbor2
import trio
import websockets

from crocusrouter import codec
from crocusrouter.mesh import messages
from crocusrouter.telemetry import log

MAX_MESSAGE_BYTES = 2 << 20


class PeerUnreachableError(Exception):
    """A call got no answer from the peer.

    Attributes:
        maybe_received: Whether the call may have reached the peer.
    """

    def __init__(self, cause: str, maybe_received: bool) -> None:
        super().__init__(cause)
        self.maybe_received = maybe_received


class PeerLink:
    """Calls a peer over a websocket.

    All calls share the websocket. Each call and its answer carry the same
    number, so a late answer is never taken for the answer to another call.

    Attributes:
        name: The peer's name.
    """

    def __init__(self, name: str, address: str, secret: str) -> None:
        self.name = name
        self._url = f"ws://{address}/mesh"
        self._secret = secret
        self._call_numbers = itertools.count()
        self._reply_channels: dict[int, trio.MemorySendChannel[bytes]] = {}
        self._connection: Any = None
        self._connected = trio.Event()
        self._reconnect_requested = trio.Event()

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message to the peer and return its answer.

        Raises:
            PeerUnreachableError: No connection or no answer in time.
        """
        may_be_received = False
        call_number = next(self._call_numbers)
        send_channel, receive_channel = trio.open_memory_channel[bytes](1)
        self._reply_channels[call_number] = send_channel
        try:
            with trio.fail_after(timeout_s):
                await self._connected.wait()
                frame = cbor2.dumps(
                    [call_number, messages.REGISTRY.encode(message)]
                )
                may_be_received = True
                await self._connection.send(frame)
                return messages.REGISTRY.decode(await receive_channel.receive())
        except trio.TooSlowError:
            # The connection may never deliver anything again although the
            # peer is alive. A new connection shows which of them failed.
            self._reconnect_requested.set()
            raise PeerUnreachableError(
                "no answer in time", may_be_received
            ) from None
        except (
            websockets.ConnectionClosed,
            trio.EndOfChannel,
            codec.BadMessageError,
        ) as error:
            raise PeerUnreachableError(str(error), may_be_received) from error
        finally:
            self._reply_channels.pop(call_number, None)

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        await codec.keep_connected(self._serve_connection)

    async def _serve_connection(self) -> None:
        headers = {"Authorization": f"Bearer {self._secret}"}
        async with codec.dial(
            self._url, MAX_MESSAGE_BYTES, headers
        ) as connection:
            self._connection = connection
            self._reconnect_requested = trio.Event()
            self._connected.set()
            try:
                await self._receive_until_reconnect(connection)
            finally:
                self._connected = trio.Event()
                self._fail_pending_calls()

    async def _receive_until_reconnect(self, connection: Any) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._receive_replies, connection, nursery.cancel_scope
            )
            await self._reconnect_requested.wait()
            nursery.cancel_scope.cancel()

    async def _receive_replies(
        self, connection: Any, scope: trio.CancelScope
    ) -> None:
        try:
            async for frame in connection:
                call_number, answer = cbor2.loads(frame)
                reply_channel = self._reply_channels.get(call_number)
                if reply_channel is not None:
                    reply_channel.send_nowait(answer)
        except (websockets.ConnectionClosed, ValueError) as error:
            log("mesh:connection-lost", peer=self.name, why=str(error))
        scope.cancel()

    def _fail_pending_calls(self) -> None:
        for reply_channel in self._reply_channels.values():
            reply_channel.close()

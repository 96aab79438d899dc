"""Calls from one entry to another over one websocket."""

import itertools
from typing import Any

import cbor2
import trio
import websockets

from crocusrouter import codec
from crocusrouter.mesh import messages
from crocusrouter.telemetry import log

MAX_MESSAGE = 2 << 20


class PeerUnreachableError(Exception):
    """The peer gave no answer in time.

    Attributes:
        maybe_received: Whether the call may have reached the peer.
    """

    def __init__(self, cause: str, maybe_received: bool) -> None:
        super().__init__(cause)
        self.maybe_received = maybe_received


class PeerLink:
    """One entry's calls to one peer.

    Calls share a websocket and are matched to their answers by number, so a
    late answer can never be taken for another call's.
    """

    def __init__(self, name: str, address: str, secret: str) -> None:
        self.name = name
        self._url = f"ws://{address}/mesh"
        self._secret = secret
        self._numbers = itertools.count()
        self._waiting: dict[int, trio.MemorySendChannel[bytes]] = {}
        self._connection: Any = None
        self._connected = trio.Event()
        self._retire = trio.Event()

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message and return the peer's answer.

        Raises:
            PeerUnreachableError: No connection or no answer in time.
        """
        sent = False
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[bytes](1)
        self._waiting[number] = send
        try:
            with trio.fail_after(timeout_s):
                await self._connected.wait()
                frame = cbor2.dumps([number, messages.REGISTRY.encode(message)])
                sent = True
                await self._connection.send(frame)
                return messages.REGISTRY.decode(await receive.receive())
        except trio.TooSlowError:
            # The connection may have gone silent for good; a new one will
            # tell whether the peer has.
            self._retire.set()
            raise PeerUnreachableError("no answer in time", sent) from None
        except (
            websockets.ConnectionClosed,
            trio.EndOfChannel,
            codec.BadMessageError,
        ) as error:
            raise PeerUnreachableError(str(error), sent) from error
        finally:
            self._waiting.pop(number, None)

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        await codec.keep_connected(self._serve_connection)

    async def _serve_connection(self) -> None:
        headers = {"Authorization": f"Bearer {self._secret}"}
        async with codec.dial(self._url, MAX_MESSAGE, headers) as connection:
            self._connection = connection
            self._retire = trio.Event()
            self._connected.set()
            try:
                await self._receive_until_retired(connection)
            finally:
                self._connected = trio.Event()
                self._drop_calls()

    async def _receive_until_retired(self, connection: Any) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, connection, nursery.cancel_scope)
            await self._retire.wait()
            nursery.cancel_scope.cancel()

    async def _receive(self, connection: Any, scope: trio.CancelScope) -> None:
        try:
            async for frame in connection:
                number, answer = cbor2.loads(frame)
                waiting = self._waiting.get(number)
                if waiting is not None:
                    waiting.send_nowait(answer)
        except (websockets.ConnectionClosed, ValueError) as error:
            log("mesh:connection-lost", peer=self.name, why=str(error))
        scope.cancel()

    def _drop_calls(self) -> None:
        for waiting in self._waiting.values():
            waiting.close()

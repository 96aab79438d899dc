"""The owner's connection to one worker."""

from collections.abc import Callable
import dataclasses
from typing import Any

import trio
import websockets

from crocusrouter import codec
from crocusrouter.fleet import lease
from crocusrouter.fleet import messages
from crocusrouter.telemetry import log

_MAX_MESSAGE = 1 << 20
_OUTBOX = 10_000

Receive = Callable[[str, object], None]


class WorkerLink:
    """Sends commands to a worker, renews its leases, delivers its messages.

    One connection a worker; it carries an epoch, so that a worker that knows
    a later owner refuses everything that comes over it.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        hello: messages.Hello,
        receive: Receive,
        now: float,
    ) -> None:
        """Prepare a link.

        Args:
            worker: The worker's name.
            address: "IP:port" of the worker.
            hello: Opens each connection.
            receive: Called with the worker's name and each message.
            now: Seconds on the process's own clock.
        """
        self.worker = worker
        self.lease = lease.Lease(hello.lease_s, now)
        self._url = f"ws://{address}/link"
        self._hello = hello
        self._receive = receive
        self._outbox: trio.MemorySendChannel[object] | None = None
        self._renewal_open = False
        self._scope: trio.CancelScope | None = None

    def send(self, message: object) -> None:
        """Queue a command; dropped if there is no connection.

        A dropped command is made good by the inventory that opens the next
        connection.
        """
        if self._outbox is not None:
            self._outbox.send_nowait(message)

    def retire(self) -> None:
        """Give the present connection up and open a new one."""
        if self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        await codec.keep_connected(self._serve_connection)

    async def _serve_connection(self) -> None:
        async with codec.dial(self._url, _MAX_MESSAGE) as connection:
            await connection.send(messages.REGISTRY.encode(self._hello))
            send, outbox = trio.open_memory_channel[object](_OUTBOX)
            self._outbox = send
            self._renewal_open = False
            try:
                async with trio.open_nursery() as nursery:
                    self._scope = nursery.cancel_scope
                    nursery.start_soon(self._send_queued, connection, outbox)
                    nursery.start_soon(self._renew)
                    await self._take_messages(connection)
                    self.retire()
            finally:
                self._outbox = None
                self._scope = None

    async def _send_queued(
        self, connection: Any, outbox: trio.MemoryReceiveChannel[object]
    ) -> None:
        try:
            async for message in outbox:
                await connection.send(messages.REGISTRY.encode(message))
        except websockets.ConnectionClosed:
            return

    async def _renew(self) -> None:
        """Renew at a third of the lease; retire a silent connection.

        The worker may be alive behind a connection that something in between
        has forgotten. A renewal unanswered when the next one is due ends the
        connection, and a new one tells the two cases apart.
        """
        interval_s = self.lease.lease_s / lease.RENEWALS_PER_LEASE
        while True:
            if self._renewal_open:
                log("worker:connection-silent", worker=self.worker)
                self.retire()
                return
            self._renewal_open = True
            self.send(messages.Renew())
            await trio.sleep(interval_s)

    async def _take_messages(self, connection: Any) -> None:
        try:
            async for frame in connection:
                self._take(messages.REGISTRY.decode(frame))
        except websockets.ConnectionClosed:
            return
        except codec.BadMessageError as error:
            log("worker:bad-message", worker=self.worker, error=str(error))

    def _take(self, message: object) -> None:
        if isinstance(message, messages.Renewed):
            self._renewal_open = False
            self._note_answer(trio.current_time())
            return
        if isinstance(message, messages.Inventory):
            # Without this a lease that lapsed before the reconnection would
            # declare the worker lost again, right after it told what it
            # holds, and nothing would be placed on it any more.
            self._note_answer(trio.current_time())
        self._receive(self.worker, message)

    def _note_answer(self, now: float) -> None:
        self.lease = dataclasses.replace(self.lease, answered_at=now)

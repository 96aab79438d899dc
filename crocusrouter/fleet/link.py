"""The connection from a data centre's owner to one worker."""

from collections.abc import Callable
import dataclasses
from typing import Any

import trio
import websockets

from crocusrouter import codec
from crocusrouter.fleet import lease
from crocusrouter.fleet import messages
from crocusrouter.telemetry import log

_MAX_MESSAGE_BYTES = 1 << 20
_MAX_QUEUED_MESSAGES = 10_000

MessageHandler = Callable[[str, object], None]


class WorkerLink:
    """Sends commands to a worker, renews its lease and receives its messages.

    There is one connection at a time, and it starts with the owner's epoch. A
    worker that has seen a higher epoch refuses all commands on it.

    Attributes:
        worker: The worker's name.
        lease: The lease of the worker's tasks.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        hello: messages.Hello,
        handle_message: MessageHandler,
        now: float,
    ) -> None:
        """Create a link without a connection.

        Args:
            worker: The worker's name.
            address: "IP:port" of the worker.
            hello: The first message on each connection.
            handle_message: Called with the worker's name and each message.
            now: Seconds on the process's own clock.
        """
        self.worker = worker
        self.lease = lease.Lease(hello.lease_s, now)
        self._url = f"ws://{address}/link"
        self._hello = hello
        self._handle_message = handle_message
        self._send_channel: trio.MemorySendChannel[object] | None = None
        self._is_renewal_unanswered = False
        self._connection_scope: trio.CancelScope | None = None

    def send(self, message: object) -> None:
        """Queue a command, or drop it if there is no connection.

        The worker starts the next connection with its inventory, from which
        the owner derives the commands that are still needed.
        """
        if self._send_channel is not None:
            self._send_channel.send_nowait(message)

    def reconnect(self) -> None:
        """Close the current connection, so that `run` opens a new one."""
        if self._connection_scope is not None:
            self._connection_scope.cancel()

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        await codec.keep_connected(self._serve_connection)

    async def _serve_connection(self) -> None:
        async with codec.dial(self._url, _MAX_MESSAGE_BYTES) as connection:
            await connection.send(messages.REGISTRY.encode(self._hello))
            send_channel, receive_channel = trio.open_memory_channel[object](
                _MAX_QUEUED_MESSAGES
            )
            self._send_channel = send_channel
            self._is_renewal_unanswered = False
            try:
                async with trio.open_nursery() as nursery:
                    self._connection_scope = nursery.cancel_scope
                    nursery.start_soon(
                        self._send_queued, connection, receive_channel
                    )
                    nursery.start_soon(self._renew_lease)
                    await self._receive_messages(connection)
                    self.reconnect()
            finally:
                self._send_channel = None
                self._connection_scope = None

    async def _send_queued(
        self,
        connection: Any,
        receive_channel: trio.MemoryReceiveChannel[object],
    ) -> None:
        try:
            async for message in receive_channel:
                await connection.send(messages.REGISTRY.encode(message))
        except websockets.ConnectionClosed:
            return

    async def _renew_lease(self) -> None:
        """Renew the lease every third of its duration.

        If a renewal is still unanswered when the next one is due, the
        connection is replaced. Either the worker is down, or it is alive and
        a device between the two ends has dropped the connection's state; the
        new connection shows which.
        """
        interval_s = self.lease.lease_s / lease.RENEWALS_PER_LEASE
        while True:
            if self._is_renewal_unanswered:
                log("worker:connection-silent", worker=self.worker)
                self.reconnect()
                return
            self._is_renewal_unanswered = True
            self.send(messages.Renew())
            await trio.sleep(interval_s)

    async def _receive_messages(self, connection: Any) -> None:
        try:
            async for frame in connection:
                self._dispatch_message(messages.REGISTRY.decode(frame))
        except websockets.ConnectionClosed:
            return
        except codec.BadMessageError as error:
            log("worker:bad-message", worker=self.worker, error=str(error))

    def _dispatch_message(self, message: object) -> None:
        if isinstance(message, messages.Renewed):
            self._is_renewal_unanswered = False
            self._record_renewal_answer(trio.current_time())
            return
        if isinstance(message, messages.Inventory):
            # Otherwise, a lease that lapsed before the reconnection would
            # declare the worker lost again right after its inventory arrived,
            # and no job would be placed on it any more.
            self._record_renewal_answer(trio.current_time())
        self._handle_message(self.worker, message)

    def _record_renewal_answer(self, now: float) -> None:
        self.lease = dataclasses.replace(self.lease, answered_at=now)

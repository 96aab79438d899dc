"""A loopback TCP proxy that injects faults into its connections."""

import enum
import socket
import struct

import trio

_CHUNK_BYTES = 1 << 14
_DELAY_S = 0.3
_POLL_S = 0.05
# A connection is idle this long after an answer without another request.
_IDLE_S = 0.1


class LinkFault(enum.StrEnum):
    """Faults that a proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"  # each chunk is forwarded after 0.3 s
    SILENCE = "silence"  # no data is forwarded; connections stay open
    ONE_WAY = "one-way"  # requests are forwarded, answers aren't
    RESET = "reset"  # open and new connections are reset


class ProcessEnd(enum.StrEnum):
    """What clients see after a process ends, until the next one starts."""

    RESET = "reset"  # open connections and new ones are reset
    REFUSE = "refuse"  # open ones are reset, new ones are refused
    STRAND = "strand"  # open ones never answer, new ones do later


class _Connection:
    """State of one connection through a proxy."""

    def __init__(self) -> None:
        self.is_stranded = False
        self.idle_since: float | None = None

    def note_data(self, *, is_answer: bool, now: float) -> None:
        """Record a chunk of data; after an answer the connection is idle."""
        self.idle_since = now if is_answer else None


class Proxy:
    """Forwards connections from one loopback port to another."""

    def __init__(self, target_port: int) -> None:
        """Prepare a proxy.

        Args:
            target_port: Port on 127.0.0.1 that connections are forwarded to.
        """
        self.fault = LinkFault.NONE
        self.closes_idle = False
        self.port = 0
        self._target_port = target_port
        self._connections: set[_Connection] = set()
        self._listener_scope = trio.CancelScope()
        self._may_listen = trio.Event()
        self._may_listen.set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections until cancelled."""
        async with trio.open_nursery() as connections_nursery:
            while True:
                [listener] = await trio.open_tcp_listeners(
                    self.port, host="127.0.0.1"
                )
                if not self.port:
                    self.port = listener.socket.getsockname()[1]
                    task_status.started()
                with trio.CancelScope() as self._listener_scope:
                    await trio.serve_listeners(
                        self._forward_connection,
                        [listener],
                        handler_nursery=connections_nursery,
                    )
                await self._may_listen.wait()

    def end_process(self, process_end: ProcessEnd) -> None:
        """Show clients that the process behind the proxy has ended."""
        match process_end:
            case ProcessEnd.RESET:
                self.fault = LinkFault.RESET
            case ProcessEnd.REFUSE:
                self.fault = LinkFault.RESET
                self._may_listen = trio.Event()
                self._listener_scope.cancel()
            case ProcessEnd.STRAND:
                self.fault = LinkFault.SILENCE
                self.strand_connections()

    def strand_connections(self) -> None:
        """Silence all open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_stranded = True

    def start_process(self) -> None:
        """Forward new connections again, to the next process.

        Connections to the previous process stay reset or stranded.
        """
        self.fault = LinkFault.NONE
        self._may_listen.set()

    async def _forward_connection(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        connection = _Connection()
        self._connections.add(connection)
        async with trio.open_nursery() as nursery:
            connection_scope = nursery.cancel_scope
            nursery.start_soon(
                self._forward_data,
                connection,
                client,
                server,
                False,
                connection_scope,
            )
            nursery.start_soon(
                self._forward_data,
                connection,
                server,
                client,
                True,
                connection_scope,
            )
            nursery.start_soon(self._reset_on_fault, client, connection_scope)
            nursery.start_soon(
                self._close_when_idle, connection, connection_scope
            )
        self._connections.discard(connection)
        for stream in (client, server):
            await trio.aclose_forcefully(stream)

    async def _forward_data(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.SocketStream,
        is_answer: bool,
        connection_scope: trio.CancelScope,
    ) -> None:
        """Forward one direction, subject to the current fault."""
        try:
            async for data in source:
                if self.fault is LinkFault.DELAY:
                    await trio.sleep(_DELAY_S)
                while connection.is_stranded or self._is_blocked(is_answer):
                    await trio.sleep(_POLL_S)
                connection.note_data(
                    is_answer=is_answer, now=trio.current_time()
                )
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        connection_scope.cancel()

    def _is_blocked(self, is_answer: bool) -> bool:
        if self.fault is LinkFault.SILENCE:
            return True
        return self.fault is LinkFault.ONE_WAY and is_answer

    async def _close_when_idle(
        self, connection: _Connection, connection_scope: trio.CancelScope
    ) -> None:
        """Close an idle connection, as servers do that keep few open."""
        while True:
            await trio.sleep(_POLL_S)
            idle_since = connection.idle_since
            if not self.closes_idle or idle_since is None:
                continue
            if trio.current_time() > idle_since + _IDLE_S:
                connection_scope.cancel()

    async def _reset_on_fault(
        self, client: trio.SocketStream, connection_scope: trio.CancelScope
    ) -> None:
        """Reset the connection once the fault is `RESET`."""
        while self.fault is not LinkFault.RESET:
            await trio.sleep(_POLL_S)
        # With a linger time of 0, closing sends RST instead of FIN.
        linger = struct.pack("ii", 1, 0)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection_scope.cancel()

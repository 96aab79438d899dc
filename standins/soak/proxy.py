"""A loopback proxy that harms the connections it carries."""

import enum
import functools
import socket
import struct

import trio

_CHUNK = 1 << 14
_DELAY_S = 0.3
_POLL_S = 0.05


class Harm(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"  # each piece of data comes 0.3 s later
    SILENCE = "silence"  # nothing passes, and nobody is told
    ONE_WAY = "one-way"  # requests pass, answers don't
    RESET = "reset"  # connections are reset, old and new ones


class Proxy:
    """Carries connections from one loopback port to another."""

    def __init__(self, target: int) -> None:
        """Prepare a proxy.

        Args:
            target: Port on 127.0.0.1 to which connections go.
        """
        self.harm = Harm.NONE
        self.port = 0
        self._target = target

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Carry connections until cancelled."""
        async with trio.open_nursery() as nursery:
            [listener] = await nursery.start(
                functools.partial(
                    trio.serve_tcp, self._carry, 0, host="127.0.0.1"
                )
            )
            self.port = listener.socket.getsockname()[1]
            task_status.started()

    async def _carry(self, caller: trio.SocketStream) -> None:
        try:
            other = await trio.open_tcp_stream("127.0.0.1", self._target)
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._pass, caller, other, False, nursery.cancel_scope
            )
            nursery.start_soon(
                self._pass, other, caller, True, nursery.cancel_scope
            )
            nursery.start_soon(self._watch, caller, nursery.cancel_scope)
        for stream in (caller, other):
            await trio.aclose_forcefully(stream)

    async def _pass(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        is_answer: bool,
        scope: trio.CancelScope,
    ) -> None:
        """Pass one direction on, as the harm of the moment allows."""
        try:
            async for data in source:
                if self.harm is Harm.DELAY:
                    await trio.sleep(_DELAY_S)
                while self._holds_back(is_answer):
                    await trio.sleep(_POLL_S)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    def _holds_back(self, is_answer: bool) -> bool:
        if self.harm is Harm.SILENCE:
            return True
        return self.harm is Harm.ONE_WAY and is_answer

    async def _watch(
        self, caller: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        """Reset the connection when it is to be reset."""
        while self.harm is not Harm.RESET:
            await trio.sleep(_POLL_S)
        # Closed with this option, a socket sends a reset and no goodbye.
        linger = struct.pack("ii", 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        scope.cancel()

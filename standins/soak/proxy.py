"""A loopback proxy that harms the connections it carries."""

import enum
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


class Ending(enum.StrEnum):
    """What callers see of a process that ends, until the next one starts."""

    RESET = "reset"  # open connections and new ones are reset
    REFUSE = "refuse"  # open ones are reset, new ones are refused
    STRAND = "strand"  # open ones are silent for good, new ones for now


class _Carried:
    """One connection that a proxy carries."""

    def __init__(self) -> None:
        self.is_stranded = False


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
        self._carried: set[_Carried] = set()
        self._listening = trio.CancelScope()
        self._accepts = trio.Event()
        self._accepts.set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Carry connections until cancelled."""
        async with trio.open_nursery() as carrying:
            while True:
                [listener] = await trio.open_tcp_listeners(
                    self.port, host="127.0.0.1"
                )
                if not self.port:
                    self.port = listener.socket.getsockname()[1]
                    task_status.started()
                with trio.CancelScope() as self._listening:
                    await trio.serve_listeners(
                        self._carry, [listener], handler_nursery=carrying
                    )
                await self._accepts.wait()

    def end_process(self, ending: Ending) -> None:
        """Let the process behind the proxy end."""
        match ending:
            case Ending.RESET:
                self.harm = Harm.RESET
            case Ending.REFUSE:
                self.harm = Harm.RESET
                self._accepts = trio.Event()
                self._listening.cancel()
            case Ending.STRAND:
                self.harm = Harm.SILENCE
                for carried in self._carried:
                    carried.is_stranded = True

    def start_process(self) -> None:
        """Let the next process answer; connections to the last one are over."""
        self.harm = Harm.NONE
        self._accepts.set()

    async def _carry(self, caller: trio.SocketStream) -> None:
        try:
            other = await trio.open_tcp_stream("127.0.0.1", self._target)
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        carried = _Carried()
        self._carried.add(carried)
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._pass, carried, caller, other, False, scope)
            nursery.start_soon(self._pass, carried, other, caller, True, scope)
            nursery.start_soon(self._watch, caller, scope)
        self._carried.discard(carried)
        for stream in (caller, other):
            await trio.aclose_forcefully(stream)

    async def _pass(
        self,
        carried: _Carried,
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
                while carried.is_stranded or self._holds_back(is_answer):
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

"""The connections of a link to one incarnation of a worker.

A call names the worker's id, and the next process under that id would take it:
a look would confirm ends that nobody has read, a start would begin a task that
the owner counts elsewhere. A connection does not outlive the process at its
other end. So the first call on each connection is a look that confirms and
renews nothing, and whatever else is sent follows on a connection on which the
expected incarnation has answered.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from crocusrouter.work import incarnations
from crocusrouter.work import worker_port

# One look waits for an end; another may be asked for meanwhile.
_MOST_LOOKS = 2
# Orders that can be under way at once; an unanswered one keeps its connection
# busy until its timeout.
_MOST_ORDERS = 3
# A connection on which an order is under way is free again within
# milliseconds; a new one costs a round trip more, a look, and its price.
_SHARING_S = 0.01

_Refused = worker_port.Rejected | worker_port.NoAnswer
_Answer = worker_port.Accepted | _Refused


class Connections:
    """Implements `work.worker_port.WorkerPort`."""

    def __init__(
        self,
        incarnation: str,
        open_connection: Callable[[], worker_port.Connection],
    ) -> None:
        """Prepare; nothing is sent.

        Args:
            incarnation: Who must answer.
            open_connection: Opens a connection to whoever answers there.
        """
        self._incarnation = incarnation
        self._open_connection = open_connection
        self._idle: list[worker_port.Connection] = []
        self._is_closed = False
        self._ordering = 0
        self._returned = trio.Event()
        self._looks = trio.CapacityLimiter(_MOST_LOOKS)
        self._orders = trio.CapacityLimiter(_MOST_ORDERS)

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Look; confirm and renew only where the incarnation is known."""
        async with self._looks:
            connection = await self._take_idle()
            if connection is None:
                connection = self._open_connection()
                answer = await self._identify(connection, epoch, wait_s)
            else:
                answer = self._check(
                    await connection.hold(epoch, seen, until_ms, wait_s)
                )
            if isinstance(answer, worker_port.Report):
                await self._put_back(connection)
            else:
                await connection.aclose()
            return answer

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Start a run."""
        return await self._send(
            epoch,
            timeout_s,
            lambda found: found.start(epoch, order, until_ms, timeout_s),
        )

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Stop a run."""
        return await self._send(
            epoch, timeout_s, lambda found: found.stop(epoch, order, timeout_s)
        )

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Set the share of its speed at which a run works."""
        return await self._send(
            epoch, timeout_s, lambda found: found.pace(epoch, order, timeout_s)
        )

    async def aclose(self) -> None:
        """Close all connections, those in use once they are answered."""
        self._is_closed = True
        while self._idle:
            await self._idle.pop().aclose()

    async def _send(
        self,
        epoch: int,
        timeout_s: float,
        call: Callable[[worker_port.Connection], Awaitable[_Answer]],
    ) -> _Answer:
        with trio.move_on_after(timeout_s) as waiting:
            await self._orders.acquire()
        if waiting.cancelled_caught:
            return worker_port.NoAnswer(
                "all connections are busy", maybe_done=False
            )
        try:
            connection = await self._await_idle()
            if connection is None:
                connection = self._open_connection()
                identity = await self._identify(connection, epoch, 0.0)
                if not isinstance(identity, worker_port.Report):
                    await connection.aclose()
                    return _mark_unsent(identity)
            self._ordering += 1
            try:
                answer = await call(connection)
            finally:
                self._ordering -= 1
            await self._put_back(connection)
            return answer
        finally:
            self._orders.release()

    async def _await_idle(self) -> worker_port.Connection | None:
        """Take an idle connection, or one that is about to be."""
        with trio.move_on_after(_SHARING_S):
            while self._ordering and not self._idle:
                await self._returned.wait()
        return await self._take_idle()

    async def _take_idle(self) -> worker_port.Connection | None:
        """Return a connection on which the incarnation has answered."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            await connection.aclose()
        return None

    async def _put_back(self, connection: worker_port.Connection) -> None:
        if self._is_closed:
            await connection.aclose()
        else:
            self._idle.append(connection)
        self._returned.set()
        self._returned = trio.Event()

    async def _identify(
        self, connection: worker_port.Connection, epoch: int, wait_s: float
    ) -> worker_port.Report | _Refused:
        return self._check(await connection.hold(epoch, 0, None, wait_s))

    def _check(
        self, answer: worker_port.Report | _Refused
    ) -> worker_port.Report | _Refused:
        """Refuse a report of another incarnation."""
        if not isinstance(answer, worker_port.Report):
            return answer
        worker = incarnations.find_worker(self._incarnation)
        told = incarnations.build_incarnation(worker, answer.born_ms)
        if told == self._incarnation:
            return answer
        if answer.born_ms is None:
            return worker_port.NoAnswer("does not say when its process started")
        return worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION, answer.clock_ms, told
        )


def _mark_unsent(refused: _Refused) -> _Refused:
    """Return why an order was not sent: nobody can carry it out."""
    if isinstance(refused, worker_port.NoAnswer):
        return worker_port.NoAnswer(refused.cause, maybe_done=False)
    return refused

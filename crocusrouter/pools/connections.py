"""Connections to one incarnation of a worker.

Calls name the worker's id, so the next process under that id would accept them:
a poll would confirm ended tasks that were never read, and a start would begin a
task that the owner counts elsewhere. A connection does not outlive the process
at its other end. So the first call on each connection is a poll that confirms
and renews nothing, and all other calls are sent only on a connection on which
the expected incarnation has answered.

A worker that closes each connection after one answer, as servers do while they
shut down, gets stops as first calls: a stop does no harm to another
incarnation, and its tasks could not be stopped otherwise. Its leases are not
renewed, since they would end by the clock of a process that may have gone.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from crocusrouter.work import incarnations
from crocusrouter.work import worker_port

# One poll waits for a task to end; another one may be needed meanwhile.
_MAX_POLLS = 2
# Concurrent orders; an unanswered order occupies its connection until it times
# out. Stops have their own limit, because starts may be many and without an
# answer.
_MAX_ORDERS = 3
_MAX_STOPS = 2
# How long to wait for a connection that is in use by an order, which is free
# again within milliseconds. A new connection costs an extra round trip and a
# poll, and each connection is priced.
_IDLE_WAIT_S = 0.01

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
            incarnation: The incarnation that must answer.
            open_connection: Opens a connection to the process at the worker's
                address.
        """
        self._incarnation = incarnation
        self._open_connection = open_connection
        self._idle: list[worker_port.Connection] = []
        self._is_closed = False
        self._orders_in_flight = 0
        self._connection_returned = trio.Event()
        self._poll_limiter = trio.CapacityLimiter(_MAX_POLLS)
        self._order_limiter = trio.CapacityLimiter(_MAX_ORDERS)
        self._stop_limiter = trio.CapacityLimiter(_MAX_STOPS)

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Poll; confirm and renew only where the incarnation has answered."""
        async with self._poll_limiter:
            connection = await self._take_idle()
            if connection is None:
                connection = self._open_connection()
                answer = await self._identify(connection, epoch, wait_s)
            else:
                answer = self._check_incarnation(
                    await connection.hold(epoch, seen, until_ms, wait_s)
                )
            if isinstance(answer, worker_port.Report):
                await self._release_connection(connection)
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
            lambda connection: connection.start(
                epoch, order, until_ms, timeout_s
            ),
        )

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Stop a run."""
        return await self._send(
            epoch,
            timeout_s,
            lambda connection: connection.stop(epoch, order, timeout_s),
            is_stop=True,
        )

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Set the share of its full speed at which a run works."""
        return await self._send(
            epoch,
            timeout_s,
            lambda connection: connection.pace(epoch, order, timeout_s),
        )

    async def aclose(self) -> None:
        """Close all connections; busy ones after their answers."""
        self._is_closed = True
        while self._idle:
            await self._idle.pop().aclose()

    async def _send(
        self,
        epoch: int,
        timeout_s: float,
        call: Callable[[worker_port.Connection], Awaitable[_Answer]],
        *,
        is_stop: bool = False,
    ) -> _Answer:
        limiter = self._stop_limiter if is_stop else self._order_limiter
        with trio.move_on_after(timeout_s) as wait_scope:
            await limiter.acquire()
        if wait_scope.cancelled_caught:
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
                if not connection.is_open:
                    await connection.aclose()
                    return await self._send_unidentified(call, is_stop=is_stop)
            self._orders_in_flight += 1
            try:
                answer = await call(connection)
            finally:
                self._orders_in_flight -= 1
            await self._release_connection(connection)
            return answer
        finally:
            limiter.release()

    async def _send_unidentified(
        self,
        call: Callable[[worker_port.Connection], Awaitable[_Answer]],
        *,
        is_stop: bool,
    ) -> _Answer:
        """Send a stop to a worker that closes connections after one answer.

        Workers do so while they shut down. A stop does no harm to another
        incarnation, which then refuses a late start. Other orders aren't sent.
        """
        if not is_stop:
            return worker_port.NoAnswer(
                "the worker closes its connections", maybe_done=False
            )
        connection = self._open_connection()
        try:
            return await call(connection)
        finally:
            await connection.aclose()

    async def _await_idle(self) -> worker_port.Connection | None:
        """Return an idle connection, waiting briefly for a busy one."""
        with trio.move_on_after(_IDLE_WAIT_S):
            while self._orders_in_flight and not self._idle:
                await self._connection_returned.wait()
        return await self._take_idle()

    async def _take_idle(self) -> worker_port.Connection | None:
        """Return an idle connection to the incarnation, or None."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            await connection.aclose()
        return None

    async def _release_connection(
        self, connection: worker_port.Connection
    ) -> None:
        if self._is_closed:
            await connection.aclose()
        else:
            self._idle.append(connection)
        self._connection_returned.set()
        self._connection_returned = trio.Event()

    async def _identify(
        self,
        connection: worker_port.Connection,
        epoch: int,
        wait_s: float,
    ) -> worker_port.Report | _Refused:
        return self._check_incarnation(
            await connection.hold(epoch, 0, None, wait_s)
        )

    def _check_incarnation(
        self, answer: worker_port.Report | _Refused
    ) -> worker_port.Report | _Refused:
        """Reject a report of another incarnation."""
        if not isinstance(answer, worker_port.Report):
            return answer
        worker_id = incarnations.find_worker(self._incarnation)
        answering = incarnations.build_incarnation(worker_id, answer.born_ms)
        if answering == self._incarnation:
            return answer
        if answer.born_ms is None:
            return worker_port.NoAnswer(
                "the worker does not report when its process started"
            )
        return worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION,
            answer.clock_ms,
            answering,
        )


def _mark_unsent(refusal: _Refused) -> _Refused:
    """Return a refusal that rules out that the order is carried out."""
    if isinstance(refusal, worker_port.NoAnswer):
        return worker_port.NoAnswer(refusal.cause, maybe_done=False)
    return refusal

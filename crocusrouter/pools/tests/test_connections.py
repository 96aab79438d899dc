"""Tests that calls reach only the incarnation that they are meant for."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import connections
from crocusrouter.work import worker_port

_KEY = work.TaskKey("00000000000000aa", 0, 0, 0)
_START = worker_port.Start(_KEY, 7, "")
_STOP = worker_port.Stop(_KEY, 7)
_PACE = worker_port.Pace(_KEY, 7, 50)


class _Worker:
    """One process at a time under the id w0; connections end with their
    process.
    """

    def __init__(self, born_ms=5):
        self.born_ms = born_ms
        self.process = 0
        self.sent = []
        self.silent = False
        self.closes = False
        self.start_s = 0.0
        self.opened = 0

    def restart(self, born_ms):
        self.process += 1
        self.born_ms = born_ms

    def open(self):
        self.opened += 1
        return _Connection(self)


class _Connection:
    def __init__(self, worker):
        self._worker = worker
        self._process = None
        self.is_open = True

    async def _call(self, request, answer):
        await trio.sleep(0.001)
        if self._process is None:
            self._process = self._worker.process
        if self._process != self._worker.process or self._worker.silent:
            self.is_open = False
            return worker_port.NoAnswer("broken")
        self._worker.sent.append(request)
        self.is_open = not self._worker.closes
        return answer

    async def hold(self, epoch, seen, until_ms, wait_s):
        report = worker_port.Report(1, (), (), self._worker.born_ms)
        return await self._call(("hold", seen, until_ms, wait_s), report)

    async def start(self, epoch, order, until_ms, timeout_s):
        await trio.sleep(self._worker.start_s)
        return await self._call(order, worker_port.Accepted(1))

    async def stop(self, epoch, order, timeout_s):
        return await self._call(order, worker_port.Accepted(1))

    async def pace(self, epoch, order, timeout_s):
        return await self._call(order, worker_port.Accepted(1))

    async def aclose(self):
        self.is_open = False


_FIRST_POLL = ("hold", 0, None, 0.0)


def _open_connections(worker, incarnation="w0@5"):
    return connections.Connections(incarnation, worker.open)


async def _send(port, order):
    match order:
        case worker_port.Start():
            return await port.start(1, order, 9000, 0.3)
        case worker_port.Stop():
            return await port.stop(1, order, 0.3)
    return await port.pace(1, order, 0.3)


async def test_first_poll_on_a_connection_confirms_and_renews_nothing(
    autojump_clock,
):
    """The owner confirmed ended tasks that the next process under the id had
    listed.
    """
    worker = _Worker()
    port = _open_connections(worker)
    for _ in range(3):
        await port.hold(1, 57, 9000, 1.0)
    first = ("hold", 0, None, 1.0)
    assert worker.sent == [first, *[("hold", 57, 9000, 1.0)] * 2]
    assert worker.opened == 1


@pytest.mark.parametrize("order", [_START, _STOP, _PACE])
@pytest.mark.parametrize("is_known", [False, True])
async def test_no_order_reaches_the_next_process(
    order, is_known, autojump_clock
):
    """A task began on a process where the owner did not count its run."""
    worker = _Worker()
    port = _open_connections(worker)
    if is_known:
        await port.hold(1, 0, None, 0.0)
    worker.restart(born_ms=7)
    answers = [await _send(port, order) for _ in range(2)]
    assert answers[-1] == worker_port.Rejected(
        worker_port.RejectionReason.OTHER_INCARNATION, 1, "w0@7"
    )
    assert order not in worker.sent


@pytest.mark.parametrize("order", [_START, _STOP, _PACE])
async def test_order_follows_a_poll_on_a_new_connection(order, autojump_clock):
    worker = _Worker()
    assert await _send(
        _open_connections(worker), order
    ) == worker_port.Accepted(1)
    assert worker.sent == [_FIRST_POLL, order]


async def test_orders_and_polls_share_connections(autojump_clock):
    """Each new connection is priced and costs a poll."""
    worker = _Worker()
    port = _open_connections(worker)
    for _ in range(3):
        await port.hold(1, 0, None, 0.0)
        await _send(port, _START)
    assert worker.opened == 1


@pytest.mark.parametrize("count", [2, 3, 8])
async def test_concurrent_orders_share_a_connection(count, autojump_clock):
    """Each concurrent order opened a connection and had to poll first."""
    worker = _Worker()
    port = _open_connections(worker)
    await port.hold(1, 0, None, 0.0)
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(_send, port, _START)
    assert worker.sent.count(_START) == count
    assert worker.opened == 1


async def test_order_does_not_wait_for_an_unanswered_order(autojump_clock):
    worker = _Worker()
    port = _open_connections(worker)
    await port.hold(1, 0, None, 0.0)
    worker.opened = 0
    slow_connection = port._idle[0]

    async def hang(*_):
        await trio.sleep(0.35)
        slow_connection.is_open = False
        return worker_port.NoAnswer("lost")

    slow_connection.start = hang
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, port, _START)
        await trio.sleep(0.001)
        began_at = trio.current_time()
        await _send(port, _STOP)
        assert trio.current_time() - began_at < 0.02
    assert worker.opened == 1


@pytest.mark.parametrize(
    ("incarnation", "born_ms", "expected"),
    [
        ("w0@5", 5, "w0@5"),
        ("w0", None, "w0"),
        ("w0@5", 7, "w0@7"),
        ("w0@5", 3, "w0@3"),  # the clock was set back
        ("w0", 7, "w0@7"),
        ("w0@5", None, None),
    ],
)
async def test_answering_incarnation_is_identified(
    incarnation, born_ms, expected, autojump_clock
):
    """A process without a start time is unknown where other processes report
    theirs.
    """
    answer = await _open_connections(_Worker(born_ms), incarnation).hold(
        1, 0, None, 0.0
    )
    match answer:
        case worker_port.Report():
            assert expected == incarnation
        case worker_port.Rejected(why, _, other):
            assert why is worker_port.RejectionReason.OTHER_INCARNATION
            assert other == expected != incarnation
        case worker_port.NoAnswer():
            assert expected is None


async def test_order_that_was_never_sent_cannot_have_begun(autojump_clock):
    """Its task counted as running there until the lease had ended."""
    worker = _Worker()
    worker.silent = True
    answer = await _send(_open_connections(worker), _START)
    assert answer == worker_port.NoAnswer("broken", maybe_done=False)


async def test_unanswered_orders_leave_room_for_polls(autojump_clock):
    """A worker that left orders unanswered lapsed because it could not be
    polled.
    """
    worker = _Worker()
    port = _open_connections(worker)
    answers = []

    async def start():
        answers.append(await _send(port, _START))

    async def hang(*_):
        await trio.sleep(5.0)
        return worker_port.NoAnswer("lost")

    connection = worker.open()
    connection.start = hang
    worker.open = lambda: connection
    port = _open_connections(worker)
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(start)
        await trio.sleep(0.1)
        with trio.fail_after(0.1):
            assert isinstance(
                await port.hold(1, 0, None, 0.0), worker_port.Report
            )
    assert worker_port.NoAnswer("all connections are busy", False) in answers


async def test_connection_in_use_is_closed_after_its_answer(autojump_clock):
    """Connections of closed links stayed open."""
    worker = _Worker()
    port = _open_connections(worker)
    opened_connections = []
    worker.open = lambda: (
        opened_connections.append(_Connection(worker)) or opened_connections[-1]
    )
    port = _open_connections(worker)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, port, _START)
        await trio.sleep(0.0005)
        await port.aclose()
    assert not opened_connections[0].is_open


# Guards against tasks that nobody can stop on a worker that is shutting down:
# each of its answers closes the connection.
async def test_stop_reaches_a_worker_that_closes_its_connections(
    autojump_clock,
):
    worker = _Worker()
    worker.closes = True
    port = _open_connections(worker)
    assert await _send(port, _STOP) == worker_port.Accepted(1)
    assert worker.sent[-1] == _STOP


@pytest.mark.parametrize("order", [_START, _PACE])
async def test_worker_that_closes_its_connections_gets_no_other_orders(
    order, autojump_clock
):
    worker = _Worker()
    worker.closes = True
    port = _open_connections(worker)
    answer = await _send(port, order)
    assert isinstance(answer, worker_port.NoAnswer)
    assert not answer.maybe_done
    assert order not in worker.sent


# Guards against leases and confirmations on connections without an identity.
async def test_worker_that_closes_its_connections_gets_no_lease(
    autojump_clock,
):
    worker = _Worker()
    worker.closes = True
    port = _open_connections(worker)
    for _ in range(3):
        await port.hold(1, 57, 9000, 1.0)
    assert worker.sent == [("hold", 0, None, 1.0)] * 3


# Guards against stops that wait behind starts without an answer, and are given
# up and queued again meanwhile.
@pytest.mark.parametrize("start_count", [0, 3, 12])
async def test_stop_does_not_wait_for_starts(start_count, autojump_clock):
    worker = _Worker()
    worker.start_s = 0.3
    port = _open_connections(worker)
    await port.hold(1, 0, None, 0.0)
    async with trio.open_nursery() as nursery:
        for _ in range(start_count):
            nursery.start_soon(_send, port, _START)
        await trio.sleep(0.05)
        began_at = trio.current_time()
        assert await _send(port, _STOP) == worker_port.Accepted(1)
        assert trio.current_time() < began_at + 0.05
        nursery.cancel_scope.cancel()


# Guards against a lease that is computed from one process's clock and extends
# what the next process runs: its owner counts on an earlier end.
async def test_lease_of_a_closing_worker_reaches_no_other_process(
    autojump_clock,
):
    worker = _Worker()
    worker.closes = True
    port = _open_connections(worker)
    await port.hold(1, 57, 9000, 1.0)
    worker.restart(born_ms=9)
    sent_before = len(worker.sent)
    await port.hold(1, 57, 9000, 1.0)
    leases_ms = [until_ms for _, _, until_ms, _ in worker.sent[sent_before:]]
    assert leases_ms == [None]

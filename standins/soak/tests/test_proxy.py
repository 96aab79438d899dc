import functools

import pytest
import trio

from standins.soak import proxy as proxies

LinkFault = proxies.LinkFault


async def _echo(stream):
    async for data in stream:
        await stream.send_all(data)


async def _exchange(fault):
    """Send a byte through a faulty proxy; return what comes back in 0.5 s."""
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        await stream.send_all(b"a")
        assert await stream.receive_some(1) == b"a"
        proxy.fault = fault
        await trio.sleep(0.1)
        answer = b"nothing"
        with trio.move_on_after(0.5):
            try:
                await stream.send_all(b"b")
                answer = await stream.receive_some(1)
            except trio.BrokenResourceError:
                answer = b"reset"
        nursery.cancel_scope.cancel()
    return answer


@pytest.mark.parametrize(
    ("fault", "answer"),
    [
        (LinkFault.NONE, b"b"),
        (LinkFault.DELAY, b"nothing"),
        (LinkFault.SILENCE, b"nothing"),
        (LinkFault.ONE_WAY, b"nothing"),
        (LinkFault.RESET, b"reset"),
    ],
)
async def test_proxy_injects_fault(fault, answer):
    assert await _exchange(fault) == answer


# Guards against soaks in which a server never closes an idle connection, as
# servers of the platform may.
@pytest.mark.parametrize(
    ("closes_idle", "is_asked", "is_closed"),
    [(False, True, False), (True, True, True), (True, False, False)],
)
async def test_proxy_closes_connection_only_after_answer(
    closes_idle, is_asked, is_closed
):
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        proxy.closes_idle = closes_idle
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        if is_asked:
            await stream.send_all(b"a")
            assert await stream.receive_some(1) == b"a"
        end = None
        with trio.move_on_after(0.5):
            end = await stream.receive_some(1)
        assert (end == b"") is is_closed
        nursery.cancel_scope.cancel()


async def test_stranded_connection_is_silent_while_new_one_is_served():
    """Guards against strands that end with the fault of the link."""
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        await stream.send_all(b"a")
        assert await stream.receive_some(1) == b"a"
        proxy.strand_connections()
        await stream.send_all(b"b")
        answer = b"nothing"
        with trio.move_on_after(0.3):
            answer = await stream.receive_some(1)
        assert answer == b"nothing"
        assert await _exchange_on_new_connection(proxy.port) == "answered"
        nursery.cancel_scope.cancel()


async def _exchange_on_new_connection(port):
    """Exchange a byte over a new connection; return the outcome."""
    with trio.move_on_after(0.3):
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            return "refused"
        try:
            await stream.send_all(b"b")
            return "answered" if await stream.receive_some(1) else "closed"
        except trio.BrokenResourceError:
            return "reset"
    return "silent"


@pytest.mark.parametrize(
    ("process_end", "old_outcome", "new_outcome"),
    [
        (proxies.ProcessEnd.RESET, "reset", "reset"),
        (proxies.ProcessEnd.REFUSE, "reset", "refused"),
        (proxies.ProcessEnd.STRAND, "silent", "silent"),
    ],
)
async def test_proxy_emulates_end_of_process(
    process_end, old_outcome, new_outcome
):
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        await stream.send_all(b"a")
        assert await stream.receive_some(1) == b"a"
        proxy.end_process(process_end)
        await trio.sleep(0.1)
        assert await _exchange_on_new_connection(proxy.port) == new_outcome
        proxy.start_process()
        await trio.sleep(0.1)
        assert await _exchange_on_new_connection(proxy.port) == "answered"
        outcome = "silent"
        with trio.move_on_after(0.3):
            try:
                await stream.send_all(b"b")
                await stream.receive_some(1)
                outcome = "answered"
            except trio.BrokenResourceError:
                outcome = "reset"
        assert outcome == old_outcome
        nursery.cancel_scope.cancel()

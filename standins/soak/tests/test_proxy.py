import functools

import pytest
import trio

from standins.soak import proxy as proxies

Harm = proxies.Harm


async def _echo(stream):
    async for data in stream:
        await stream.send_all(data)


async def _exchange(harm):
    """Send through a harmed proxy; return what comes back in half a second."""
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        await stream.send_all(b"a")
        assert await stream.receive_some(1) == b"a"
        proxy.harm = harm
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
    ("harm", "answer"),
    [
        (Harm.NONE, b"b"),
        (Harm.DELAY, b"nothing"),
        (Harm.SILENCE, b"nothing"),
        (Harm.ONE_WAY, b"nothing"),
        (Harm.RESET, b"reset"),
    ],
)
async def test_what_a_harmed_proxy_does(harm, answer):
    assert await _exchange(harm) == answer


async def _try(port):
    """Exchange a byte over a new connection; tell how that went."""
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
    ("ending", "opened", "fresh"),
    [
        (proxies.Ending.RESET, "reset", "reset"),
        (proxies.Ending.REFUSE, "reset", "refused"),
        (proxies.Ending.STRAND, "silent", "silent"),
    ],
)
async def test_connections_end_with_their_process(ending, opened, fresh):
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _echo, 0)
        proxy = proxies.Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        stream = await trio.open_tcp_stream("127.0.0.1", proxy.port)
        await stream.send_all(b"a")
        assert await stream.receive_some(1) == b"a"
        proxy.end_process(ending)
        await trio.sleep(0.1)
        assert await _try(proxy.port) == fresh
        proxy.start_process()
        await trio.sleep(0.1)
        assert await _try(proxy.port) == "answered"
        seen = "silent"
        with trio.move_on_after(0.3):
            try:
                await stream.send_all(b"b")
                await stream.receive_some(1)
                seen = "answered"
            except trio.BrokenResourceError:
                seen = "reset"
        assert seen == opened
        nursery.cancel_scope.cancel()

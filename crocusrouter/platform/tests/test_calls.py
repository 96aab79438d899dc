"""Calls over real connections to a server that closes them."""

import functools

import trio

from crocusrouter.platform import calls

_TIMEOUT_S = 1.0
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)


async def _answer_and_close(stream):
    await stream.receive_some(1 << 16)
    await stream.send_all(_ANSWER)
    await stream.aclose()


# Guards against an owner that ends with an error: the first answer of a worker
# closes the connection, and the order that follows on it was never sent.
async def test_call_on_connection_closed_by_its_first_answer_is_not_sent():
    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
        [listener] = await nursery.start(serve, _answer_and_close, 0)
        port = listener.socket.getsockname()[1]
        connection = calls.Connection(f"127.0.0.1:{port}")
        first = await connection.call("POST", "/hold", {}, _TIMEOUT_S)
        assert first == calls.Response(200, {})
        second = await connection.call("POST", "/run-stop", {}, _TIMEOUT_S)
        assert isinstance(second, calls.NoResponse)
        assert not second.maybe_done
        await connection.aclose()
        nursery.cancel_scope.cancel()

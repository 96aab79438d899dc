import socket

import hypercorn.trio.tcp_server
import pytest
import trio
import trio.testing

from crocusrouter.http import listening
from crocusrouter.http import server
from crocusrouter.telemetry import Metrics


# Regression: a caller that closed in the middle of a chunked body ended the
# whole entry. hypercorn sent and closed at once, trio refused, and the error
# passed through the listener's nursery.
@pytest.mark.parametrize(
    "error", [trio.BusyResourceError("sending"), ValueError("anything")]
)
async def test_failure_of_a_connection_ends_only_that(monkeypatch, error):
    async def fail(self):
        async with trio.open_nursery():
            raise error

    monkeypatch.setattr(hypercorn.trio.tcp_server.TCPServer, "run", fail)
    metrics = Metrics()
    config = server.build_config("127.0.0.1:1", 1.0, metrics)
    stream, peer = trio.testing.memory_stream_pair()
    guarded = server.GuardedServer(None, config, None, None, stream)
    await guarded
    assert metrics.counts["event:connection-failed"] == 1
    with pytest.raises((trio.EndOfChannel, trio.BrokenResourceError)):
        if await peer.receive_some(1) == b"":
            raise trio.EndOfChannel


def test_hypercorn_uses_the_guarded_classes():
    import hypercorn.protocol
    import hypercorn.trio.run

    assert hypercorn.protocol.H11Protocol is server.RefusingProtocol
    assert hypercorn.trio.run.TCPServer is server.GuardedServer


async def _answer_ok(scope, receive, send):
    if scope["type"] == "lifespan":
        while True:
            kind = (await receive())["type"]
            await send({"type": f"{kind}.complete"})
            if kind == "lifespan.shutdown":
                return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"whole"})


_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def _read_all(client):
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
    answer = b""
    async for chunk in stream:
        answer += chunk
    return answer


# The caller sees its connection reset and can't tell whether its request ran.
# It connects in the moment of a planned stop: its connection is still in the
# kernel's queue, or was taken a moment ago and has not brought its request.
@pytest.mark.parametrize("sent_after_s", [0.0, 0.1])
async def test_stop_cuts_no_connection_that_was_made_before(sent_after_s):
    config = server.build_config("127.0.0.1:0", 1.0, Metrics())
    stopped = trio.Event()
    answers = []

    async def read(client):
        answers.append(await _read_all(client))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            [bound] = await nursery.start(
                server.serve_http, _answer_ok, config, stopped.wait
            )
            port = int(bound.rsplit(":", 1)[1])
            stopped.set()
            # No step of the server happens between these connections.
            clients = [
                socket.create_connection(("127.0.0.1", port)) for _ in range(5)
            ]
            await trio.sleep(sent_after_s)
            for client in clients:
                client.sendall(_REQUEST)
                client.setblocking(False)
                nursery.start_soon(read, client)
    assert [b"whole" in answer for answer in answers] == [True] * 5


# A caller that connects after the stop is told so before it sends: its
# connection must not come to be, or its request would be reset unread.
def test_no_connection_comes_to_be_after_the_refusal():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        early = socket.create_connection(address)
        listening.refuse_connections(listener)
        with pytest.raises(TimeoutError):
            socket.create_connection(address, timeout=0.1)
        accepted, _ = listener.accept()
        early.sendall(b"x")
        assert accepted.recv(1) == b"x"
        accepted.close()
        early.close()

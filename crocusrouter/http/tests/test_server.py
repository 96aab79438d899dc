import socket

import hypercorn.trio.tcp_server
import pytest
import trio
import trio.testing

from crocusrouter.http import listener_filter
from crocusrouter.http import server
from crocusrouter.telemetry import Metrics


# Regression: a caller that closed in the middle of a chunked body ended the
# whole entry. hypercorn sent and closed at the same time, trio raised an error,
# and the error propagated through the listener's nursery.
@pytest.mark.parametrize(
    "error", [trio.BusyResourceError("sending"), ValueError("anything")]
)
async def test_failed_connection_ends_only_itself(monkeypatch, error):
    async def fail(self):
        async with trio.open_nursery():
            raise error

    monkeypatch.setattr(hypercorn.trio.tcp_server.TCPServer, "run", fail)
    metrics = Metrics()
    config = server.build_server_config("127.0.0.1:1", 1.0, metrics)
    stream, peer = trio.testing.memory_stream_pair()
    guarded_server = server.GuardedServer(None, config, None, None, stream)
    await guarded_server
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
            message_type = (await receive())["type"]
            await send({"type": f"{message_type}.complete"})
            if message_type == "lifespan.shutdown":
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


# A caller connects at the moment of a planned stop. Its connection is still in
# the kernel's accept queue, or was accepted but hasn't sent its request yet. If
# the connection were reset, the caller couldn't tell whether its request ran.
@pytest.mark.parametrize("send_delay_s", [0.0, 0.1])
async def test_stop_serves_connections_made_before_it(send_delay_s):
    config = server.build_server_config("127.0.0.1:0", 1.0, Metrics())
    stopped = trio.Event()
    answers = []

    async def collect_answer(client):
        answers.append(await _read_all(client))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            [bound_address] = await nursery.start(
                server.serve_http, _answer_ok, config, stopped.wait
            )
            port = int(bound_address.rsplit(":", 1)[1])
            stopped.set()
            # The server doesn't run between these connections.
            clients = [
                socket.create_connection(("127.0.0.1", port)) for _ in range(5)
            ]
            await trio.sleep(send_delay_s)
            for client in clients:
                client.sendall(_REQUEST)
                client.setblocking(False)
                nursery.start_soon(collect_answer, client)
    assert [b"whole" in answer for answer in answers] == [True] * 5


# A caller that connects after the stop must not get a connection; otherwise it
# would send its request and the connection would be reset unread.
def test_no_connection_is_established_after_refuse_connections():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        early_client = socket.create_connection(address)
        listener_filter.drop_new_connections(listener)
        with pytest.raises(TimeoutError):
            socket.create_connection(address, timeout=0.1)
        accepted, _ = listener.accept()
        early_client.sendall(b"x")
        assert accepted.recv(1) == b"x"
        accepted.close()
        early_client.close()

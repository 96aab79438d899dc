import hypercorn.trio.tcp_server
import pytest
import trio
import trio.testing

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

"""An entry that comes up while the key-value service is away."""

import signal

import httpcore
import pytest
import trio

from crocusrouter import settings
from crocusrouter.cli import entry_service
from standins import ports

_JOB = "/q/00000000000000aa"


def _make_settings():
    """Return settings whose store nobody listens for."""
    front, ready, mesh, metrics, store = ports.reserve_ports(5)
    return settings.EntrySettings(
        name="e0",
        ip="127.0.0.1",
        listen=f"127.0.0.1:{front}",
        ready_listen=f"127.0.0.1:{ready}",
        mesh_port=mesh,
        metrics_port=metrics,
        store_address=f"127.0.0.1:{store}",
    )


async def _ask(address, method, path):
    """Ask until the entry listens."""
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                return await pool.request(method, f"http://{address}{path}")
            except httpcore.ConnectError:
                await trio.sleep(0.02)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
async def test_callers_hear_when_to_come_back(method):
    """All VMs lose power while the store is away, and come up before it.

    Callers found no connection and had used up their tries in a second. They
    are told that the job never runs, and when to ask again.
    """
    loaded = _make_settings()
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry_service.serve, loaded)
            answer = await _ask(loaded.listen, method, _JOB)
            ready = await _ask(loaded.ready_listen, "GET", "/ready")
            nursery.cancel_scope.cancel()
    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 503
    assert float(headers[b"retry-after"]) >= 1.0
    assert ready.status == 503


async def test_planned_stop_needs_no_store():
    """The platform kills what has not stopped within its time of grace."""
    loaded = _make_settings()
    with trio.fail_after(loaded.grace_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry_service.serve, loaded)
            await _ask(loaded.ready_listen, "GET", "/ready")
            signal.raise_signal(signal.SIGTERM)

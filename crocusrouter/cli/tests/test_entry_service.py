"""Tests an entry that starts while the key-value service is unreachable."""

import signal

import httpcore
import pytest
import trio

from crocusrouter import settings
from crocusrouter.cli import entry_service
from standins import ports

_JOB_PATH = "/q/00000000000000aa"


def _build_settings():
    """Return settings with a store address on which nothing listens."""
    call_port, ready_port, mesh_port, metrics_port, store_port = (
        ports.reserve_ports(5)
    )
    return settings.EntrySettings(
        name="e0",
        ip="127.0.0.1",
        listen=f"127.0.0.1:{call_port}",
        ready_listen=f"127.0.0.1:{ready_port}",
        mesh_port=mesh_port,
        metrics_port=metrics_port,
        store_address=f"127.0.0.1:{store_port}",
    )


async def _ask(address, method, path):
    """Send a request; retry until the entry listens."""
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                return await pool.request(method, f"http://{address}{path}")
            except httpcore.ConnectError:
                await trio.sleep(0.02)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
async def test_callers_get_retry_after_without_a_store(method):
    """After a power loss, entries may start before the store.

    If callers couldn't connect, they would use up their tries in a second. So
    they get 503, which says that the job never runs, with a Retry-After.
    """
    entry_settings = _build_settings()
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry_service.serve, entry_settings)
            response = await _ask(entry_settings.listen, method, _JOB_PATH)
            ready_response = await _ask(
                entry_settings.ready_listen, "GET", "/ready"
            )
            nursery.cancel_scope.cancel()
    headers = {name.lower(): value for name, value in response.headers}
    assert response.status == 503
    assert float(headers[b"retry-after"]) >= 1.0
    assert ready_response.status == 503


async def test_planned_stop_needs_no_store():
    """The platform kills a process that doesn't stop within `grace_s`."""
    entry_settings = _build_settings()
    with trio.fail_after(entry_settings.grace_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry_service.serve, entry_settings)
            await _ask(entry_settings.ready_listen, "GET", "/ready")
            signal.raise_signal(signal.SIGTERM)

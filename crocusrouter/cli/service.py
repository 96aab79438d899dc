"""Runs the process of `crocusrouter serve` from start to planned stop."""

from collections.abc import AsyncIterator
import signal

import trio

from crocusrouter import controllers
from crocusrouter import http
from crocusrouter import mesh
from crocusrouter.http import app
from crocusrouter.settings import ServeSettings
from crocusrouter.settings import parse_address
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.telemetry import open_log

# Time for the balancer to stop sending callers to an entry that isn't ready.
_DRAIN_S = 1.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(settings: ServeSettings) -> None:
    """Serve until SIGTERM or SIGINT, then stop once open requests end."""
    open_log(settings.name)
    metrics = Metrics()
    entry = controllers.Entry(settings, metrics)
    stop_event = trio.Event()
    host, port = parse_address(settings.mesh_listen)
    config = http.build_server_config(
        settings.listen, settings.stop_timeout_s, metrics
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(
            mesh.serve_mesh,
            entry.answer_peer,
            host,
            port,
            settings.mesh_secret,
        )
        nursery.start_soon(entry.run)
        nursery.start_soon(_wait_for_signal, entry, stop_event)
        log("entry:started", listen=settings.listen)
        await http.serve_http(app.build_app(entry), config, stop_event.wait)
        nursery.cancel_scope.cancel()
    for signal_number in _STOP_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)
    metrics.close()
    log("entry:stopped")


async def _wait_for_signal(
    entry: controllers.Entry, stop_event: trio.Event
) -> None:
    """Start a planned stop at the first signal.

    The entry first reports that it isn't ready, so that the balancer sends new
    callers elsewhere, and releases its ownerships; only then are the
    listeners closed. Closing them at once would refuse callers that the
    balancer still sends to this entry.
    """
    with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            signal_number = await anext(signals)
            log("entry:stopping", signal=signal.Signals(signal_number).name)
            # Supervisors send a second signal, which mustn't abort the planned
            # stop. trio would pass a signal that nobody received on to the
            # default handler, which ends the process.
            nursery.start_soon(_log_further_signals, signals)
            await entry.release_data_centres()
            await trio.sleep(_DRAIN_S)
            stop_event.set()


async def _log_further_signals(signals: AsyncIterator[int]) -> None:
    async for signal_number in signals:
        log("entry:already-stopping", signal=signal.Signals(signal_number).name)

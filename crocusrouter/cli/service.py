"""The life of one `serve` process, from start to planned stop."""

from collections.abc import AsyncIterator
import signal

import trio

from crocusrouter import controllers
from crocusrouter import http
from crocusrouter import mesh
from crocusrouter.http import app
from crocusrouter.settings import Settings
from crocusrouter.settings import parse_address
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.telemetry import open_log

_LAME_DUCK_S = 1.0
_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then stop without cutting a request."""
    open_log(settings.name)
    metrics = Metrics()
    entry = controllers.Entry(settings, metrics)
    stopped = trio.Event()
    host, port = parse_address(settings.mesh_listen)
    config = http.build_config(
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
        nursery.start_soon(_wait_for_signal, entry, stopped)
        log("entry:started", listen=settings.listen)
        await http.serve_http(app.build_app(entry), config, stopped.wait)
        nursery.cancel_scope.cancel()
    for number in _SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    metrics.close()
    log("entry:stopped")


async def _wait_for_signal(
    entry: controllers.Entry, stopped: trio.Event
) -> None:
    """Turn a signal into a planned stop.

    First not ready, so that the balancer sends new callers elsewhere, and
    ownership given up; only then are the listeners closed. Closing at once
    would refuse callers whom the balancer still sends here.
    """
    with trio.open_signal_receiver(*_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            number = await anext(signals)
            log("entry:stopping", signal=signal.Signals(number).name)
            # Supervisors send a second signal. It must not cut what the first
            # one promised to finish; trio would deliver one that nobody took
            # to the default handler, which ends the process.
            nursery.start_soon(_take_signals, signals)
            await entry.release_data_centres()
            await trio.sleep(_LAME_DUCK_S)
            stopped.set()


async def _take_signals(signals: AsyncIterator[int]) -> None:
    async for number in signals:
        log("entry:already-stopping", signal=signal.Signals(number).name)

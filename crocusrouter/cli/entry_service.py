"""The life of one `entry` process, from start to planned stop."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import os
import pathlib
import signal
import sys

import hypercorn
import trio

from crocusrouter import http
from crocusrouter import mesh
from crocusrouter import platform
from crocusrouter import pools
from crocusrouter import settings
from crocusrouter import store as stores
from crocusrouter.http import entry_app
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.telemetry import open_log
from crocusrouter.work import worker_port

_STOPS = (signal.SIGTERM, signal.SIGINT)
# The balancer asks each second and drops an entry after two misses; callers
# whom it still sends are served meanwhile.
_LAME_DUCK_S = 2.6
_STOP_TIMEOUT_S = 1.5
_SETTINGS_POLL_S = 2.0
_RETRY_S = 0.2


async def serve(loaded: settings.EntrySettings) -> None:
    """Serve until SIGTERM, then stop without cutting a request."""
    open_log(loaded.name, sys.stdout)
    metrics = Metrics()
    store = platform.PlatformStore(loaded.store_address, metrics)
    log("entry:starting", settings=loaded.model_dump())
    stopped = trio.Event()
    with trio.open_signal_receiver(*_STOPS, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            entry = _build_entry(loaded, store, metrics)
            nursery.start_soon(_run_entry, entry, loaded, store)
            nursery.start_soon(_take_signals, signals, entry, stopped)
            nursery.start_soon(_watch_settings, loaded)
            # Callers are answered before the store is: while it was away, an
            # entry that came up took no connection, and callers had used their
            # tries up within a second instead of hearing when to come back.
            await http.serve_http(
                entry_app.build_entry_app(
                    entry,
                    settings.parse_address(loaded.ready_listen)[1],
                    loaded.metrics_port,
                ),
                _build_http(loaded, metrics),
                stopped.wait,
            )
            nursery.cancel_scope.cancel()
    metrics.close()
    log("entry:stopped")


async def _run_entry(
    entry: pools.PoolEntry,
    loaded: settings.EntrySettings,
    store: platform.PlatformStore,
) -> None:
    """Join the other entries as soon as the secret can be read."""
    entry.secret = await _find_secret(store)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            mesh.serve_mesh,
            entry.answer_peer,
            loaded.ip,
            loaded.mesh_port,
            entry.secret,
        )
        log("entry:started", listen=loaded.listen)
        await entry.run()


def _build_entry(
    loaded: settings.EntrySettings,
    store: platform.PlatformStore,
    metrics: Metrics,
) -> pools.PoolEntry:
    return pools.PoolEntry(
        pools.Identity(
            loaded.name,
            f"{loaded.ip}:{loaded.mesh_port}",
            loaded.cpu_share * loaded.cores,
        ),
        store,
        pools.ConfigSource(
            platform.CONFIG_PREFIX,
            platform.CONFIG_KEY,
            platform.parse_config,
            loaded.config_apply_ms / 1000,
        ),
        pools.Platform(
            platform.WORKERS_PREFIX,
            platform.parse_worker_entry,
            platform.PlatformWorkerConnection,
            loaded.keep_jobs_s,
            _find_policy(loaded.policy_address),
            _find_upkeeping(loaded.vms_address),
        ),
        metrics,
    )


def _find_policy(address: str) -> Callable[[], worker_port.PolicyPort] | None:
    if not address:
        return None
    return lambda: platform.PlatformPolicy(address)


def _find_upkeeping(address: str) -> pools.UpkeepPlatform | None:
    if not address:
        return None
    return pools.UpkeepPlatform(
        platform.WAVES_PREFIX,
        platform.parse_wave,
        lambda: platform.PlatformVms(address),
        platform.build_wave_status,
    )


def _build_http(
    loaded: settings.EntrySettings, metrics: Metrics
) -> hypercorn.Config:
    config = http.build_config(loaded.listen, _STOP_TIMEOUT_S, metrics)
    config.bind = [
        loaded.listen,
        loaded.ready_listen,
        f"{loaded.ip}:{loaded.metrics_port}",
    ]
    return config


async def _find_secret(store: platform.PlatformStore) -> str:
    while True:
        try:
            return await pools.load_or_create_secret(store)
        except stores.StoreUnavailableError as error:
            log("entry:no-secret", cause=str(error))
            await trio.sleep(_RETRY_S)


async def _take_signals(
    signals: AsyncIterator[int], entry: pools.PoolEntry, stopped: trio.Event
) -> None:
    """Turn the first stop signal into a planned stop.

    Supervisors send a second one. It must not cut what the first one
    promised to finish.
    """
    async with trio.open_nursery() as nursery:
        async for number in signals:
            log("entry:signal", signal=signal.Signals(number).name)
            if number == signal.SIGHUP or entry.is_stopping:
                continue
            entry.is_stopping = True
            nursery.start_soon(_stop, entry, stopped)


async def _stop(entry: pools.PoolEntry, stopped: trio.Event) -> None:
    """Go unready, hand the pools over, serve who still comes, then close."""
    with trio.move_on_after(_LAME_DUCK_S):
        await entry.release_all()
        await trio.sleep_forever()
    stopped.set()


async def _watch_settings(loaded: settings.EntrySettings) -> None:
    """Tell of changed settings.

    Addresses of a running process don't change, and peers and store keys are
    found in the store, so nothing has to be taken over before a restart; a
    file that fails its checks is told at once, not at the next start.
    """
    path = os.environ.get(settings.FILE_VARIABLE)
    if not path:
        return
    source = pathlib.Path(path)
    before = source.read_bytes()
    while True:
        await trio.sleep(_SETTINGS_POLL_S)
        try:
            text = source.read_bytes()
        except OSError as error:
            log("settings:unreadable", error=str(error))
            continue
        if text == before:
            continue
        before = text
        try:
            fresh = settings.load_entry_settings({})
        except settings.WrongSettingsError as error:
            log("settings:wrong", error=str(error))
            continue
        changed = {
            name: value
            for name, value in fresh.model_dump().items()
            if value != getattr(loaded, name)
        }
        log("settings:reloaded", changed=changed)

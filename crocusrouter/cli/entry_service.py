"""Runs the process of `crocusrouter entry` from start to planned stop."""

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

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The balancer checks readiness each second and removes an entry after two
# failed checks; callers that it sends in that time are still served.
_DRAIN_S = 2.6
_STOP_TIMEOUT_S = 1.5
_SETTINGS_POLL_INTERVAL_S = 2.0
_SECRET_RETRY_S = 0.2


async def serve(entry_settings: settings.EntrySettings) -> None:
    """Serve until SIGTERM or SIGINT, then stop once open requests end."""
    open_log(entry_settings.name, sys.stdout)
    metrics = Metrics()
    store = platform.PlatformStore(entry_settings.store_address, metrics)
    log("entry:starting", settings=entry_settings.model_dump())
    stop_event = trio.Event()
    with trio.open_signal_receiver(*_STOP_SIGNALS, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            entry = _build_entry(entry_settings, store, metrics)
            nursery.start_soon(_run_entry, entry, entry_settings, store)
            nursery.start_soon(_handle_signals, signals, entry, stop_event)
            nursery.start_soon(_watch_settings, entry_settings)
            # Callers are answered even if the store can't be reached yet. If
            # an entry that starts during an outage of the store accepted no
            # connections, callers would use up their tries within a second
            # instead of receiving a Retry-After.
            await http.serve_http(
                entry_app.build_entry_app(
                    entry,
                    settings.parse_address(entry_settings.ready_listen)[1],
                    entry_settings.metrics_port,
                ),
                _build_http_config(entry_settings, metrics),
                stop_event.wait,
            )
            nursery.cancel_scope.cancel()
    metrics.close()
    log("entry:stopped")


async def _run_entry(
    entry: pools.PoolEntry,
    entry_settings: settings.EntrySettings,
    store: platform.PlatformStore,
) -> None:
    """Join the mesh of entries once the secret can be read, then run."""
    entry.secret = await _wait_for_secret(store)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            mesh.serve_mesh,
            entry.answer_peer,
            entry_settings.ip,
            entry_settings.mesh_port,
            entry.secret,
        )
        log("entry:started", listen=entry_settings.listen)
        await entry.run()


def _build_entry(
    entry_settings: settings.EntrySettings,
    store: platform.PlatformStore,
    metrics: Metrics,
) -> pools.PoolEntry:
    return pools.PoolEntry(
        pools.Identity(
            entry_settings.name,
            f"{entry_settings.ip}:{entry_settings.mesh_port}",
            entry_settings.cpu_share * entry_settings.cores,
        ),
        store,
        pools.ConfigSource(
            platform.CONFIG_PREFIX,
            platform.CONFIG_KEY,
            platform.parse_config,
            entry_settings.config_apply_ms / 1000,
            pools.ClosureSource(
                platform.find_closed_data_centre,
                entry_settings.closure_apply_ms / 1000,
            ),
        ),
        pools.Platform(
            platform.WORKERS_PREFIX,
            platform.parse_worker_entry,
            platform.PlatformWorkerConnection,
            entry_settings.keep_jobs_s,
            _build_policy_factory(entry_settings.policy_address),
            _build_upkeeping(entry_settings.vms_address),
        ),
        metrics,
    )


def _build_policy_factory(
    address: str,
) -> Callable[[], worker_port.PolicyPort] | None:
    if not address:
        return None
    return lambda: platform.PlatformPolicy(address)


def _build_upkeeping(address: str) -> pools.UpkeepPlatform | None:
    if not address:
        return None
    return pools.UpkeepPlatform(
        platform.WAVES_PREFIX,
        platform.parse_wave,
        lambda: platform.PlatformVms(address),
        platform.build_wave_status,
    )


def _build_http_config(
    entry_settings: settings.EntrySettings, metrics: Metrics
) -> hypercorn.Config:
    config = http.build_server_config(
        entry_settings.listen, _STOP_TIMEOUT_S, metrics
    )
    config.bind = [
        entry_settings.listen,
        entry_settings.ready_listen,
        f"{entry_settings.ip}:{entry_settings.metrics_port}",
    ]
    return config


async def _wait_for_secret(store: platform.PlatformStore) -> str:
    while True:
        try:
            return await pools.load_or_create_secret(store)
        except stores.StoreUnavailableError as error:
            log("entry:no-secret", cause=str(error))
            await trio.sleep(_SECRET_RETRY_S)


async def _handle_signals(
    signals: AsyncIterator[int], entry: pools.PoolEntry, stop_event: trio.Event
) -> None:
    """Start a planned stop at the first stop signal.

    Supervisors send a second signal; it must not abort the planned stop.
    """
    async with trio.open_nursery() as nursery:
        async for signal_number in signals:
            log("entry:signal", signal=signal.Signals(signal_number).name)
            if signal_number == signal.SIGHUP or entry.is_stopping:
                continue
            entry.is_stopping = True
            nursery.start_soon(_stop_entry, entry, stop_event)


async def _stop_entry(entry: pools.PoolEntry, stop_event: trio.Event) -> None:
    """Release the pools, serve until the drain time ends, then close."""
    with trio.move_on_after(_DRAIN_S):
        await entry.release_all()
        await trio.sleep_forever()
    stop_event.set()


async def _watch_settings(entry_settings: settings.EntrySettings) -> None:
    """Log changes of the settings file and its errors; apply nothing.

    Addresses of a running process don't change, and peers and store keys are
    found in the store, so no setting has to be applied before a restart. A file
    that fails its checks is reported at once, not at the next start.
    """
    path = os.environ.get(settings.SETTINGS_FILE_VARIABLE)
    if not path:
        return
    settings_path = pathlib.Path(path)
    known_content = settings_path.read_bytes()
    while True:
        await trio.sleep(_SETTINGS_POLL_INTERVAL_S)
        try:
            content = settings_path.read_bytes()
        except OSError as error:
            log("settings:unreadable", error=str(error))
            continue
        if content == known_content:
            continue
        known_content = content
        try:
            new_settings = settings.load_entry_settings({})
        except settings.WrongSettingsError as error:
            log("settings:wrong", error=str(error))
            continue
        changed_fields = {
            name: value
            for name, value in new_settings.model_dump().items()
            if value != getattr(entry_settings, name)
        }
        log("settings:reloaded", changed=changed_fields)

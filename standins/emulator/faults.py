"""Injects faults into the emulated platform, and plays whole days of them."""

from collections.abc import Sequence
import dataclasses
import enum
import random

import trio

from crocusrouter import work
from crocusrouter.pools import keys
from standins.emulator import cluster as clusters
from standins.emulator import load as loads
from standins.emulator import operators
from standins.emulator import store as stores

_CALM_S = 25.0
# A job that has not ended after this time counts as lost; the longest wait of a
# task is for the end of a worker's lease, 6 s.
_END_LIMIT_S = 30.0
_FINAL = frozenset({"done", "failed", "cancelled"})
# The platform no longer lists a worker that has missed three heartbeats.
_HEARTBEAT_S = 1.5
_UNLISTED_S = 3 * _HEARTBEAT_S
_RESTART_S = 1.5
# How long a restarting worker's process is away, and how many workers restart
# at once at most.
_AWAY_S = (0.2, 1.5)
_AWAY_BEHIND_CUT_S = (1.0, 4.0)
_MOST_RESTARTED = 3
_LATE_SHARE = 0.5
_LOST_S = 0.1
_GRACE_S = 6.0
_WATCHED = (clusters.OPERATORS, clusters.WORKERS, keys.JOBS, keys.SYSTEM)
# Interval of calls to all entries on routes and keys that the operators add and
# remove.
_ASKING_S = 0.25
FOREIGN = (
    b"",
    b"\xff\xfe",
    b"[]",
    b"{}",
    b'{"id": 5, "pool": "match"}',
    b'{"pool": "nobody\'s"}',
)


class Fault(enum.StrEnum):
    """A kind of fault."""

    KILL_OWNER = "kill-owner"
    KILL_ALL = "kill-all"
    CUT_OWNER_FROM_STORE = "cut-owner-from-store"
    CUT_OWNER = "cut-owner"
    STORE_BUSY = "store-busy"
    STORE_SILENT = "store-silent"
    STORE_SLOW = "store-slow"
    STORE_LOST = "store-lost"
    STORE_LATE = "store-late"
    FREEZE_OWNER = "freeze-owner"
    COMPACT = "compact"
    COMPACT_LATE = "compact-late"
    FOREIGN_ENTRY = "foreign-entry"
    CUT_WORKER = "cut-worker"
    CRASH_WORKER = "crash-worker"
    DRAIN_WORKER = "drain-worker"
    REBORN_WORKER = "reborn-worker"
    LATE_ORDERS = "late-orders"
    FAIL_ALL = "fail-all"
    CANCEL_MANY = "cancel-many"
    SHRINK_WORKER = "shrink-worker"
    CUT_ENTRY = "cut-entry"  # from its peers only
    LOSE_ANSWERS = "lose-answers"  # of the store to one entry, for 0.1 s
    LOSE_PEERS = "lose-peers"  # LOSE_ANSWERS, then CUT_ENTRY
    REFUSE_WATCHES = "refuse-watches"  # by the store, on one prefix
    STOP_ENTRY = "stop-entry"  # with a handover of its pools
    FREEZE_OTHERS = "freeze-others"  # all entries but one
    # Restarts of workers' processes under the same ids.
    RESTART = "restart"
    RESTART_BEHIND_CUT = "restart-behind-cut"  # cut from the entries
    RESTART_BESIDE_LATE = "restart-beside-late"  # late orders
    SLOW_WORKER = "slow-worker"
    STALL_WORKER = (
        "stall-worker"  # its tasks stop progressing; it still answers
    )


_STORE = {
    Fault.STORE_BUSY: stores.StoreFault.BUSY,
    Fault.STORE_SILENT: stores.StoreFault.SILENT,
    Fault.STORE_SLOW: stores.StoreFault.SLOW,
    Fault.STORE_LOST: stores.StoreFault.LOST,
    Fault.STORE_LATE: stores.StoreFault.LATE,
}


# Faults of a single entry among its peers. Days kept from before these kinds
# existed are drawn without them, else their seeds would give other days.
ALONE = (
    Fault.CUT_ENTRY,
    Fault.LOSE_ANSWERS,
    Fault.LOSE_PEERS,
    Fault.REFUSE_WATCHES,
    Fault.STOP_ENTRY,
    Fault.FREEZE_OTHERS,
)
RESTARTS = (
    Fault.RESTART,
    Fault.RESTART_BEHIND_CUT,
    Fault.RESTART_BESIDE_LATE,
)
# Speed of a worker's tasks under a fault, as a share of the usual speed.
SPEEDS = {Fault.SLOW_WORKER: 0.25, Fault.STALL_WORKER: 0.0}
# The kinds that existed before restarts and speeds, for days and histories kept
# from then.
EARLIER = tuple(fault for fault in Fault if fault not in (*RESTARTS, *SPEEDS))
# The kinds of drawn days. A seed picks them by position in this list, so kept
# seeds would play other days if it changed.
DRAWN = tuple(
    fault
    for fault in Fault
    if fault
    not in (
        Fault.COMPACT_LATE,
        Fault.FOREIGN_ENTRY,
        Fault.FREEZE_OWNER,
        Fault.SHRINK_WORKER,
        *ALONE,
        *RESTARTS,
        *SPEEDS,
    )
)


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault that is injected at one time of a day.

    Attributes:
        at: Seconds from the start of the day.
        fault: The kind.
        for_s: How long it lasts.
    """

    at: float
    fault: Fault
    for_s: float


def choose_faults(
    seed: int,
    count: int,
    length_s: float,
    kinds: Sequence[Fault] = DRAWN,
) -> list[Event]:
    """Draw the faults of a day.

    Args:
        seed: Seed of the draws.
        count: How many faults.
        length_s: Length of the day.
        kinds: The kinds to draw from.

    Returns:
        The faults by time.
    """
    rng = random.Random(seed)
    drawn = [
        Event(
            rng.uniform(1.0, length_s),
            rng.choice(kinds),
            rng.uniform(1.0, 6.0),
        )
        for _ in range(count)
    ]
    return sorted(drawn, key=lambda event: event.at)


async def play(
    seed: int,
    load: loads.Load,
    faults: list[Event],
    *,
    lapses: bool = True,
    entries: int = 4,
    hosts: int = 6,
    guards: bool = True,
    changes_per_s: float = 0.0,
) -> clusters.Cluster:
    """Play a day with load and faults, and check the final states.

    Args:
        seed: Seed of the jobs, the callers and the workers.
        load: The jobs that callers submit.
        faults: The faults to inject.
        lapses: Whether leases of the store expire while it is unavailable.
        entries: How many entries.
        hosts: How many workers.
        guards: Whether workers reject tasks that they have no room for.
        changes_per_s: How often the configuration changes. Calls on the routes
            and keys that it adds and removes are made only if it does.

    Returns:
        The cluster; its oracle lists the broken rules.
    """
    held = clusters.Cluster(seed, entries, hosts, guards)
    held.store.lapses = lapses
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(2.0)
        if changes_per_s:
            nursery.start_soon(_change_configuration, held, seed, changes_per_s)
            nursery.start_soon(ask_all, held, seed)
        async with trio.open_nursery() as day:
            for at, job in load.draw(seed):
                day.start_soon(_submit, held, at, job)
            for event in faults:
                day.start_soon(strike, held, event)
        await _wait_until_idle(held)
        held.oracle.check_over(await held.read_states())
        held.oracle.broken += held.list_failures()
        held.oracle.broken += held.changes.broken
        nursery.cancel_scope.cancel()
    return held


async def _submit(held: clusters.Cluster, at: float, job: work.Job) -> None:
    await trio.sleep(at)
    await held.submit(job)


async def _change_configuration(
    held: clusters.Cluster, seed: int, per_s: float
) -> None:
    rng = random.Random(seed)
    while True:
        await trio.sleep(rng.expovariate(per_s))
        held.operators.draw_change(rng, trio.current_time())


async def ask_all(held: clusters.Cluster, seed: int) -> None:
    """Call every entry on drawn routes and keys until cancelled."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        while True:
            for name in held.names:
                route = rng.choice((clusters.PREFIX, *operators.ROUTES))
                key = rng.choice(("a", *operators.KEYS))
                nursery.start_soon(held.ask_for, name, route, key)
            await trio.sleep(_ASKING_S)


async def _wait_until_idle(held: clusters.Cluster) -> None:
    """Wait until nothing runs and every job has ended, or until a time limit.

    That nothing runs isn't enough: a job whose workers are suspected waits some
    seconds with nothing running.
    """
    await trio.sleep(_CALM_S)
    with trio.move_on_after(_END_LIMIT_S):
        while any(worker.tasks for worker in held.workers.values()):
            await trio.sleep(1.0)
        while not _FINAL.issuperset((await held.read_states()).values()):
            await trio.sleep(1.0)
        await trio.sleep(3.0)


async def strike(held: clusters.Cluster, event: Event) -> None:
    """Inject one fault at its time, and end it after its duration."""
    await trio.sleep(event.at)
    fault = event.fault
    owner = held.find_owner()
    if fault in _STORE:
        held.store.fault = _STORE[fault]
        await trio.sleep(event.for_s)
        held.store.fault = stores.StoreFault.NONE
    elif fault is Fault.COMPACT:
        held.store.forget_history()
    elif fault is Fault.COMPACT_LATE:
        await held.store.forget_history_later()
    elif fault is Fault.KILL_ALL:
        await _kill(held, list(held.entries))
    elif fault is Fault.KILL_OWNER and owner is not None:
        await _kill(held, [owner])
    elif fault in (Fault.CUT_OWNER_FROM_STORE, Fault.CUT_OWNER):
        if owner is not None:
            await _cut(held, owner, event)
    elif fault is Fault.FREEZE_OWNER and owner is not None:
        await held.suspensions.suspend(owner, event.for_s)
    elif fault is Fault.CANCEL_MANY:
        await _cancel_many(held)
    elif fault in ALONE:
        await _strike_entry(held, event)
    elif fault in RESTARTS:
        await _strike_processes(held, event)
    else:
        await _strike_worker(held, event)


async def _strike_entry(held: clusters.Cluster, event: Event) -> None:
    name = held.random.choice(held.names)
    match event.fault:
        case Fault.CUT_ENTRY:
            await _cut_from_peers(held, name, event.for_s)
        case Fault.LOSE_ANSWERS:
            await _lose_answers(held, name)
        case Fault.LOSE_PEERS:
            await _lose_answers(held, name)
            await trio.sleep(held.random.uniform(0.0, event.for_s))
            await _cut_from_peers(held, name, event.for_s)
        case Fault.REFUSE_WATCHES:
            prefix = held.random.choice(_WATCHED)
            held.store.refused_watches.add(prefix)
            await trio.sleep(event.for_s)
            held.store.refused_watches.discard(prefix)
        case Fault.STOP_ENTRY:
            await _stop(held, name)
        case Fault.FREEZE_OTHERS:
            async with trio.open_nursery() as nursery:
                for other in held.names:
                    if other != name:
                        nursery.start_soon(
                            held.suspensions.suspend, other, event.for_s
                        )


async def _cut_from_peers(
    held: clusters.Cluster, name: str, for_s: float
) -> None:
    held.cut_off.add(name)
    await trio.sleep(for_s)
    held.cut_off.discard(name)


async def _lose_answers(held: clusters.Cluster, name: str) -> None:
    """Lose the store's answers to an entry; few calls are made meanwhile."""
    if name in held.store.turned_away:
        return
    held.store.turned_away[name] = stores.StoreFault.SILENT
    await trio.sleep(_LOST_S)
    held.store.turned_away.pop(name, None)


async def _stop(held: clusters.Cluster, name: str) -> None:
    """Hand an entry's pools over, stop it, and start it again."""
    entry = held.entries.get(name)
    if entry is None:
        return
    held.touch.note_impaired(name, trio.current_time())
    with trio.move_on_after(_GRACE_S):
        await entry.release_all()
    if held.entries.get(name) is entry:
        await _kill(held, [name])


async def _kill(held: clusters.Cluster, names: list[str]) -> None:
    for name in names:
        held.kill_entry(name)
    await trio.sleep(_RESTART_S)
    for name in names:
        if name not in held.entries:
            held.start_entry(name)
    if set(names) == set(held.names):
        held.oracle.back_at = trio.current_time()


async def _cut(held: clusters.Cluster, owner: str, event: Event) -> None:
    held.store.turned_away[owner] = stores.StoreFault.SILENT
    if event.fault is Fault.CUT_OWNER:
        held.cut_off.add(owner)
    await trio.sleep(event.for_s)
    held.store.turned_away.pop(owner, None)
    held.cut_off.discard(owner)


async def _cancel_many(held: clusters.Cluster) -> None:
    chosen = [
        job_id
        for job_id in sorted(held.oracle.accepted)
        if held.random.random() < 0.25
    ]
    async with trio.open_nursery() as nursery:
        for job_id in chosen:
            nursery.start_soon(held.cancel, job_id)


async def _strike_worker(held: clusters.Cluster, event: Event) -> None:
    live = [name for name, worker in held.workers.items() if worker.alive]
    if not live:
        return
    name = held.random.choice(live)
    worker = held.workers[name]
    match event.fault:
        case Fault.CUT_WORKER:
            worker.cut_from = set(held.names)
            await trio.sleep(event.for_s)
            worker.cut_from = set()
        case Fault.LATE_ORDERS:
            worker.late_share = 0.5
            await trio.sleep(event.for_s)
            worker.late_share = 0.0
        case Fault.FAIL_ALL:
            worker.fails_all = True
            await trio.sleep(event.for_s)
            worker.fails_all = False
        case Fault.SLOW_WORKER | Fault.STALL_WORKER:
            worker.speed = SPEEDS[event.fault]
            await trio.sleep(event.for_s)
            worker.speed = 1.0
        case Fault.SHRINK_WORKER:
            await _shrink(held, name, event.for_s)
        case Fault.CRASH_WORKER:
            await _replace(held, name, event.for_s)
        case Fault.FOREIGN_ENTRY:
            await _write_over(held, name, event.for_s)
        case Fault.REBORN_WORKER:
            await _bear_again(held, name)
        case Fault.DRAIN_WORKER:
            held.drain_worker(name)
            await trio.sleep(3.0)
            await _replace(held, name, event.for_s)


async def _strike_processes(held: clusters.Cluster, event: Event) -> None:
    """Restart the processes of one to three workers at the same time."""
    live = [name for name, worker in held.workers.items() if worker.alive]
    most = min(len(live), held.random.randint(1, _MOST_RESTARTED))
    chosen = held.random.sample(live, k=most)
    async with trio.open_nursery() as nursery:
        for name in chosen:
            nursery.start_soon(_restart, held, name, event)


async def _restart(held: clusters.Cluster, name: str, event: Event) -> None:
    """Crash a worker's process and start the next one under its id.

    Until its first heartbeat the store holds the entry of the earlier process.
    """
    worker = held.workers[name]
    away_s = held.random.uniform(*_AWAY_S)
    match event.fault:
        case Fault.RESTART_BEHIND_CUT:
            worker.cut_from = set(held.names)
            away_s = held.random.uniform(*_AWAY_BEHIND_CUT_S)
        case Fault.RESTART_BESIDE_LATE:
            worker.late_share = _LATE_SHARE
            await trio.sleep(event.for_s)
    if not worker.alive:
        return
    worker.refuses = not worker.cut_from
    worker.crash()
    await trio.sleep(away_s)
    held.restart_worker(name)
    await trio.sleep(held.random.uniform(0.0, _HEARTBEAT_S))
    if held.workers[name].alive:
        held.list_worker(name)


async def _shrink(held: clusters.Cluster, name: str, for_s: float) -> None:
    """Shrink a worker's room for a time; its next heartbeat reports it."""
    worker = held.workers[name]
    whole = clusters.ROOM
    if worker.entry.room != whole:
        return
    part = work.Room(
        whole.cpu // 4, whole.memory_mb // 2, whole.accelerators // 4
    )
    for room, wait_s in ((part, for_s), (whole, 0.0)):
        worker.set_room(room, trio.current_time())
        beat_s = held.random.uniform(0.0, _HEARTBEAT_S)
        await trio.sleep(beat_s)
        if worker.alive:
            held.list_worker(name)
        await trio.sleep(wait_s)


async def _bear_again(held: clusters.Cluster, name: str) -> None:
    """Crash a worker; another incarnation answers at its address at once.

    The platform lists the old one until it has missed its heartbeats.
    """
    held.workers[name].crash()
    held.bear_again(name)
    await trio.sleep(_UNLISTED_S)
    held.store.remove(clusters.WORKERS + name)


async def _write_over(held: clusters.Cluster, name: str, for_s: float) -> None:
    """Overwrite a worker's entry with a foreign value for some seconds.

    Values that can't be decoded, lack fields or name another pool are written
    under new names as well.
    """
    key = clusters.WORKERS + name
    held.store.put(key, held.random.choice(FOREIGN))
    for value in FOREIGN:
        stray = f"{clusters.WORKERS}x{held.random.getrandbits(16)}"
        held.store.put(stray, value)
    await trio.sleep(for_s)
    if held.workers[name].alive:
        held.list_worker(name)


async def _replace(held: clusters.Cluster, name: str, after_s: float) -> None:
    """Crash a worker and start another incarnation some seconds later."""
    rack = next(r for r in held.workers[name].entry.labels if "-" in r)
    held.crash_worker(name)
    await trio.sleep(after_s)
    base = name.partition("+")[0]
    held.add_worker(f"{base}+{held.random.getrandbits(16)}", rack)

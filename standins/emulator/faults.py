"""Injects faults into the emulated platform, and plays whole days of them."""

from collections.abc import Callable
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
_FINAL_STATES = frozenset({"done", "failed", "cancelled"})
# The platform no longer lists a worker that has missed three heartbeats.
_HEARTBEAT_S = 1.5
_DELISTING_DELAY_S = 3 * _HEARTBEAT_S
_RESTART_DELAY_S = 1.5
# How long a restarting worker's process is down, and how many workers restart
# at once at most.
_RESTART_RANGE_S = (0.2, 1.5)
_RESTART_RANGE_BEHIND_CUT_S = (1.0, 4.0)
_MAX_RESTARTED = 3
_LATE_SHARE = 0.5
# Longest time for which a new process leaves calls unanswered.
_UNANSWERED_S = 1.5
_ANSWER_LOSS_S = 0.1
_STOP_GRACE_S = 6.0
# The longest time for which a data centre is closed or open by turns, and by
# how much a closure outlasts another fault of the same drawn duration.
_MAX_TURN_S = 0.5
_CLOSURE_FACTOR = 2.5
# A partition of a data centre outlasts another fault of the same drawn duration
# by this factor: up to 24 s, three times what a successor waits for a lease.
_PARTITION_FACTOR = 4.0
_WATCHED_PREFIXES = (
    clusters.OPERATORS_PREFIX,
    clusters.WORKERS_PREFIX,
    keys.JOBS,
    keys.SYSTEM,
)
_DOWN = (stores.StoreFault.BUSY, stores.StoreFault.SILENT)
_RETRY_DELAY_S = 0.1
# Interval of calls to all entries on routes and keys that the operators add and
# remove.
_CALL_INTERVAL_S = 0.25
FOREIGN_VALUES = (
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
    # The same; the new process leaves its first calls unanswered.
    RESTART_UNANSWERED = "restart-unanswered"
    SLOW_WORKER = "slow-worker"
    STALL_WORKER = (
        "stall-worker"  # its tasks stop progressing; it still answers
    )
    # Closures of data centres to new work.
    CLOSE_ONE = "close-one"
    CLOSE_ALL = "close-all"
    CLOSE_BY_TURNS = "close-by-turns"  # closed and opened within one poll
    # All entries and workers of one data centre, the owner's first.
    LOSE_DATA_CENTRE = "lose-data-centre"  # its power, for a second or two
    CUT_DATA_CENTRE = "cut-data-centre"  # from the others and from the store
    # The store is down twice, soon after workers have registered, and the
    # entries of all workers expire.
    LAPSE_TWICE = "lapse-twice"
    # The same for longer than leases last; entries within reach each other.
    PARTITION_DATA_CENTRE = "partition-data-centre"


_STORE_FAULTS = {
    Fault.STORE_BUSY: stores.StoreFault.BUSY,
    Fault.STORE_SILENT: stores.StoreFault.SILENT,
    Fault.STORE_SLOW: stores.StoreFault.SLOW,
    Fault.STORE_LOST: stores.StoreFault.LOST,
    Fault.STORE_LATE: stores.StoreFault.LATE,
}


# Faults of a single entry among its peers. Days kept from before these kinds
# existed are drawn without them, else their seeds would give other days.
SINGLE_ENTRY_FAULTS = (
    Fault.CUT_ENTRY,
    Fault.LOSE_ANSWERS,
    Fault.LOSE_PEERS,
    Fault.REFUSE_WATCHES,
    Fault.STOP_ENTRY,
    Fault.FREEZE_OTHERS,
)
RESTART_FAULTS = (
    Fault.RESTART,
    Fault.RESTART_BEHIND_CUT,
    Fault.RESTART_BESIDE_LATE,
)
CLOSURE_FAULTS = (
    Fault.CLOSE_ONE,
    Fault.CLOSE_ALL,
    Fault.CLOSE_BY_TURNS,
)
DATA_CENTRE_FAULTS = (Fault.LOSE_DATA_CENTRE, Fault.CUT_DATA_CENTRE)
LAPSE_FAULTS = (Fault.LAPSE_TWICE,)
PARTITION_FAULTS = (Fault.PARTITION_DATA_CENTRE,)
# The kinds that existed before data centres were closed or lost.
FAULTS_BEFORE_CLOSURES = tuple(
    fault
    for fault in Fault
    if fault
    not in (
        *CLOSURE_FAULTS,
        *DATA_CENTRE_FAULTS,
        *LAPSE_FAULTS,
        *PARTITION_FAULTS,
        Fault.RESTART_UNANSWERED,
    )
)
# Speed of a worker's tasks under a fault, as a share of the usual speed.
SPEED_BY_FAULT = {Fault.SLOW_WORKER: 0.25, Fault.STALL_WORKER: 0.0}
# The kinds that existed before restarts and speeds, for days and histories kept
# from then.
FAULTS_BEFORE_RESTARTS = tuple(
    fault
    for fault in FAULTS_BEFORE_CLOSURES
    if fault not in (*RESTART_FAULTS, *SPEED_BY_FAULT)
)
# The kinds of drawn days. A seed picks them by position in this list, so kept
# seeds would play other days if it changed.
DEFAULT_FAULTS = tuple(
    fault
    for fault in FAULTS_BEFORE_CLOSURES
    if fault
    not in (
        Fault.COMPACT_LATE,
        Fault.FOREIGN_ENTRY,
        Fault.FREEZE_OWNER,
        Fault.SHRINK_WORKER,
        *SINGLE_ENTRY_FAULTS,
        *RESTART_FAULTS,
        *SPEED_BY_FAULT,
    )
)


@dataclasses.dataclass(frozen=True)
class FaultEvent:
    """A fault that is injected at one time of a day.

    Attributes:
        at: Seconds from the start of the day.
        fault: The kind.
        for_s: How long it lasts.
    """

    at: float
    fault: Fault
    duration_s: float


def choose_faults(
    seed: int,
    count: int,
    length_s: float,
    kinds: Sequence[Fault] = DEFAULT_FAULTS,
) -> list[FaultEvent]:
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
    events = [
        FaultEvent(
            rng.uniform(1.0, length_s),
            rng.choice(kinds),
            rng.uniform(1.0, 6.0),
        )
        for _ in range(count)
    ]
    return sorted(events, key=lambda event: event.at)


async def play(
    seed: int,
    load: loads.Load,
    faults: list[FaultEvent],
    *,
    leases_expire: bool = True,
    entries: int = 4,
    worker_count: int = 6,
    workers_check_room: bool = True,
    changes_per_s: float = 0.0,
    workers_per_rack: int = 3,
    rejected_share: float = 0.0,
    other_worker_count: int = 0,
    operations: Sequence[tuple[float, Callable[[clusters.Cluster], None]]] = (),
) -> clusters.Cluster:
    """Play a day with load and faults, and check the final states.

    Args:
        seed: Seed of the jobs, the callers and the workers.
        load: The jobs that callers submit.
        faults: The faults to inject.
        leases_expire: Whether leases of the store expire while it is
            unavailable.
        entries: How many entries.
        worker_count: How many workers.
        workers_check_room: Whether workers reject tasks that they have no room
            for.
        changes_per_s: How often the configuration changes. Calls on the routes
            and keys that it adds and removes are made only if it does.
        workers_per_rack: How many workers stand in a rack.
        rejected_share: Share of the starts that workers reject for want of
            room although they have it.
        other_worker_count: How many workers a second pool has.
        operations: What operators do, with the seconds from the start of the
            day.

    Returns:
        The cluster; its oracle lists the broken rules. Jobs that have stood
        beside room are in its `standing_oracle`.
    """
    cluster = clusters.Cluster(
        seed,
        entries,
        worker_count,
        workers_check_room,
        workers_per_rack,
        rejected_share,
        other_worker_count,
    )
    cluster.store.leases_expire = leases_expire
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(2.0)
        if changes_per_s:
            nursery.start_soon(
                _change_configuration, cluster, seed, changes_per_s
            )
            nursery.start_soon(call_all_entries, cluster, seed)
        async with trio.open_nursery() as day:
            jobs = load.draw(seed)
            cancel_delays_s = load.draw_cancels(seed, jobs)
            for at, job in jobs:
                day.start_soon(
                    _submit, cluster, at, job, cancel_delays_s.get(job.id), seed
                )
            for event in faults:
                day.start_soon(inject_fault, cluster, event)
            for at, operate in operations:
                day.start_soon(_operate, cluster, at, operate)
        cluster.standing_oracle.note_traffic_ended(trio.current_time())
        end_limit_s = _END_LIMIT_S * max(1.0, load.duration_factor)
        await _wait_until_idle(
            cluster,
            end_limit_s + _sum_full_closures(faults) + _sum_partitions(faults),
        )
        cluster.oracle.check_final_states(await cluster.read_states())
        cluster.oracle.broken += cluster.list_owner_failures()
        cluster.oracle.broken += cluster.config_oracle.broken
        cluster.oracle.broken += cluster.closure_oracle.broken
        nursery.cancel_scope.cancel()
    return cluster


async def _operate(
    cluster: clusters.Cluster,
    at: float,
    operate: Callable[[clusters.Cluster], None],
) -> None:
    await trio.sleep(at)
    operate(cluster)


async def _submit(
    cluster: clusters.Cluster,
    at: float,
    job: work.Job,
    cancel_delay_s: float | None,
    seed: int,
) -> None:
    """Submit a job, and cancel it some seconds later unless it was refused."""
    await trio.sleep(at)
    outcome = await cluster.submit(job)
    if outcome != "refused" and cancel_delay_s is not None:
        await trio.sleep(cancel_delay_s)
        await cluster.cancel_until_confirmed(job.id, seed)


async def _change_configuration(
    cluster: clusters.Cluster, seed: int, per_s: float
) -> None:
    rng = random.Random(seed)
    while True:
        await trio.sleep(rng.expovariate(per_s))
        cluster.operators.draw_change(rng, trio.current_time())


async def call_all_entries(cluster: clusters.Cluster, seed: int) -> None:
    """Call every entry on drawn routes and keys until cancelled."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        while True:
            for name in cluster.entry_names:
                route = rng.choice((clusters.ROUTE_PREFIX, *operators.ROUTES))
                key = rng.choice(("a", *operators.KEYS))
                nursery.start_soon(cluster.call_route, name, route, key)
            await trio.sleep(_CALL_INTERVAL_S)


def _sum_full_closures(events: list[FaultEvent]) -> float:
    """Return for how many seconds nothing may start at all."""
    return sum(
        _CLOSURE_FACTOR * event.duration_s
        for event in events
        if event.fault is Fault.CLOSE_ALL
    )


def _sum_partitions(events: list[FaultEvent]) -> float:
    """Return for how many seconds a data centre is cut off."""
    return sum(
        _PARTITION_FACTOR * event.duration_s
        for event in events
        if event.fault is Fault.PARTITION_DATA_CENTRE
    )


async def _wait_until_idle(
    cluster: clusters.Cluster, end_limit_s: float
) -> None:
    """Wait until nothing runs and every job has ended, or until a time limit.

    That nothing runs isn't enough: a job whose workers are suspected waits some
    seconds with nothing running.
    """
    await trio.sleep(_CALM_S)
    with trio.move_on_after(end_limit_s):
        while any(worker.tasks for worker in cluster.workers.values()):
            await trio.sleep(1.0)
        while not _FINAL_STATES.issuperset(
            (await cluster.read_states()).values()
        ):
            await trio.sleep(1.0)
        await trio.sleep(3.0)


async def inject_fault(cluster: clusters.Cluster, event: FaultEvent) -> None:
    """Inject one fault at its time, and end it after its duration."""
    await trio.sleep(event.at)
    fault = event.fault
    owner = cluster.find_owner()
    if fault in _STORE_FAULTS:
        cluster.store.fault = _STORE_FAULTS[fault]
        await trio.sleep(event.duration_s)
        cluster.store.fault = stores.StoreFault.NONE
    elif fault is Fault.COMPACT:
        cluster.store.compact()
    elif fault is Fault.COMPACT_LATE:
        await cluster.store.compact_after_pause()
    elif fault is Fault.KILL_ALL:
        await _restart_entries(cluster, list(cluster.entries))
    elif fault is Fault.KILL_OWNER and owner is not None:
        await _restart_entries(cluster, [owner])
    elif fault in (Fault.CUT_OWNER_FROM_STORE, Fault.CUT_OWNER):
        if owner is not None:
            await _cut_owner(cluster, owner, event)
    elif fault is Fault.FREEZE_OWNER and owner is not None:
        await cluster.suspensions.suspend(owner, event.duration_s)
    elif fault is Fault.CANCEL_MANY:
        await _cancel_many(cluster)
    else:
        inject = next(
            (inject for kinds, inject in _INJECTORS_BY_KINDS if fault in kinds),
            _inject_worker_fault,
        )
        await inject(cluster, event)


async def _inject_entry_fault(
    cluster: clusters.Cluster, event: FaultEvent
) -> None:
    name = cluster.random.choice(cluster.entry_names)
    match event.fault:
        case Fault.CUT_ENTRY:
            await _cut_from_peers(cluster, name, event.duration_s)
        case Fault.LOSE_ANSWERS:
            await _lose_answers(cluster, name)
        case Fault.LOSE_PEERS:
            await _lose_answers(cluster, name)
            await trio.sleep(cluster.random.uniform(0.0, event.duration_s))
            await _cut_from_peers(cluster, name, event.duration_s)
        case Fault.REFUSE_WATCHES:
            prefix = cluster.random.choice(_WATCHED_PREFIXES)
            cluster.store.rejected_prefixes.add(prefix)
            await trio.sleep(event.duration_s)
            cluster.store.rejected_prefixes.discard(prefix)
        case Fault.STOP_ENTRY:
            await _stop_entry(cluster, name)
        case Fault.FREEZE_OTHERS:
            async with trio.open_nursery() as nursery:
                for other in cluster.entry_names:
                    if other != name:
                        nursery.start_soon(
                            cluster.suspensions.suspend, other, event.duration_s
                        )


async def _close_data_centres(
    cluster: clusters.Cluster, event: FaultEvent
) -> None:
    names = list(clusters.DATA_CENTRES)
    if event.fault is not Fault.CLOSE_ALL:
        names = [cluster.random.choice(names)]
    turn_count = 1
    if event.fault is Fault.CLOSE_BY_TURNS:
        turn_count = cluster.random.randint(2, 6)
    for _ in range(turn_count - 1):
        for name in names:
            cluster.close_data_centre(name)
        await trio.sleep(cluster.random.uniform(0.0, _MAX_TURN_S))
        for name in names:
            cluster.open_data_centre(name)
    for name in names:
        cluster.close_data_centre(name)
    await trio.sleep(_CLOSURE_FACTOR * event.duration_s)
    for name in names:
        cluster.open_data_centre(name)


async def _inject_data_centre_fault(
    cluster: clusters.Cluster, event: FaultEvent
) -> None:
    """Lose or cut the data centre of the owner; of no owner, a drawn one."""
    owner = cluster.find_owner()
    name = next(
        (
            data_centre
            for data_centre in clusters.DATA_CENTRES
            if owner in cluster.list_entries_in(data_centre)
        ),
        cluster.random.choice(clusters.DATA_CENTRES),
    )
    match event.fault:
        case Fault.LOSE_DATA_CENTRE:
            await _lose_data_centre(cluster, name)
        case Fault.CUT_DATA_CENTRE:
            inside = cluster.list_entries_in(name)
            cluster.partitioned_entries.update(inside)
            await _cut_data_centre(cluster, name, event.duration_s)
            cluster.partitioned_entries.difference_update(inside)
        case Fault.PARTITION_DATA_CENTRE:
            cluster.partitioned_data_centres.add(name)
            await _cut_data_centre(
                cluster, name, _PARTITION_FACTOR * event.duration_s
            )
            cluster.partitioned_data_centres.discard(name)


async def _lose_data_centre(cluster: clusters.Cluster, name: str) -> None:
    async with trio.open_nursery() as nursery:
        for worker in cluster.list_workers_in(name):
            nursery.start_soon(
                _replace_worker, cluster, worker, _RESTART_DELAY_S
            )
        nursery.start_soon(
            _restart_entries, cluster, cluster.list_entries_in(name)
        )


async def _cut_data_centre(
    cluster: clusters.Cluster, name: str, duration_s: float
) -> None:
    """Cut a data centre from the store and from workers elsewhere.

    Its entries reach its own workers. Links between entries are not changed.
    """
    for entry in cluster.list_entries_in(name):
        cluster.store.entry_faults[entry] = stores.StoreFault.SILENT
    for worker_name, entries in _find_cut_links(cluster, name).items():
        cluster.workers[worker_name].unreachable_from |= entries
    await trio.sleep(duration_s)
    for entry in cluster.list_entries_in(name):
        cluster.store.entry_faults.pop(entry, None)
    for worker_name, entries in _find_cut_links(cluster, name).items():
        cluster.workers[worker_name].unreachable_from -= entries


def _find_cut_links(
    cluster: clusters.Cluster, name: str
) -> dict[str, set[str]]:
    """Return the entries from which a data centre's cut separates workers."""
    inside = set(cluster.list_entries_in(name))
    outside = set(cluster.entry_names) - inside
    within = cluster.list_workers_in(name)
    return {
        worker_name: outside if worker_name in within else inside
        for worker_name in cluster.workers
    }


async def _cut_from_peers(
    cluster: clusters.Cluster, name: str, duration_s: float
) -> None:
    cluster.partitioned_entries.add(name)
    await trio.sleep(duration_s)
    cluster.partitioned_entries.discard(name)


async def _lose_answers(cluster: clusters.Cluster, name: str) -> None:
    """Lose the store's answers to an entry; few calls are made meanwhile."""
    if name in cluster.store.entry_faults:
        return
    cluster.store.entry_faults[name] = stores.StoreFault.SILENT
    await trio.sleep(_ANSWER_LOSS_S)
    cluster.store.entry_faults.pop(name, None)


async def _stop_entry(cluster: clusters.Cluster, name: str) -> None:
    """Hand an entry's pools over, stop it, and start it again."""
    entry = cluster.entries.get(name)
    if entry is None:
        return
    cluster.impairments.note_impaired(name, trio.current_time())
    with trio.move_on_after(_STOP_GRACE_S):
        await entry.release_all()
    if cluster.entries.get(name) is entry:
        await _restart_entries(cluster, [name])


async def _restart_entries(cluster: clusters.Cluster, names: list[str]) -> None:
    for name in names:
        cluster.kill_entry(name)
    await trio.sleep(_RESTART_DELAY_S)
    for name in names:
        if name not in cluster.entries:
            cluster.start_entry(name)
    if set(names) == set(cluster.entry_names):
        cluster.oracle.entries_back_at = trio.current_time()


async def _cut_owner(
    cluster: clusters.Cluster, owner: str, event: FaultEvent
) -> None:
    cluster.store.entry_faults[owner] = stores.StoreFault.SILENT
    if event.fault is Fault.CUT_OWNER:
        cluster.partitioned_entries.add(owner)
    await trio.sleep(event.duration_s)
    cluster.store.entry_faults.pop(owner, None)
    cluster.partitioned_entries.discard(owner)


async def _cancel_many(cluster: clusters.Cluster) -> None:
    job_ids = [
        job_id
        for job_id in sorted(cluster.oracle.accepted)
        if cluster.random.random() < 0.25
    ]
    async with trio.open_nursery() as nursery:
        for job_id in job_ids:
            nursery.start_soon(cluster.cancel, job_id)


async def _inject_worker_fault(
    cluster: clusters.Cluster, event: FaultEvent
) -> None:
    alive = [name for name, worker in cluster.workers.items() if worker.alive]
    if not alive:
        return
    name = cluster.random.choice(alive)
    worker = cluster.workers[name]
    match event.fault:
        case Fault.CUT_WORKER:
            worker.unreachable_from = set(cluster.entry_names)
            await trio.sleep(event.duration_s)
            worker.unreachable_from = set()
        case Fault.LATE_ORDERS:
            worker.late_order_share = 0.5
            await trio.sleep(event.duration_s)
            worker.late_order_share = 0.0
        case Fault.FAIL_ALL:
            worker.fails_all = True
            await trio.sleep(event.duration_s)
            worker.fails_all = False
        case Fault.SLOW_WORKER | Fault.STALL_WORKER:
            worker.speed = SPEED_BY_FAULT[event.fault]
            await trio.sleep(event.duration_s)
            worker.speed = 1.0
        case Fault.SHRINK_WORKER:
            await _shrink_worker(cluster, name, event.duration_s)
        case Fault.CRASH_WORKER:
            await _replace_worker(cluster, name, event.duration_s)
        case Fault.FOREIGN_ENTRY:
            await _overwrite_worker_entry(cluster, name, event.duration_s)
        case Fault.REBORN_WORKER:
            await _replace_worker_at_once(cluster, name)
        case Fault.DRAIN_WORKER:
            cluster.drain_worker(name)
            await trio.sleep(3.0)
            await _replace_worker(cluster, name, event.duration_s)


async def _inject_restarts(
    cluster: clusters.Cluster, event: FaultEvent
) -> None:
    """Restart the processes of one to three workers at the same time."""
    alive = [name for name, worker in cluster.workers.items() if worker.alive]
    count = min(len(alive), cluster.random.randint(1, _MAX_RESTARTED))
    names = cluster.random.sample(alive, k=count)
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(_restart_worker, cluster, name, event)


async def _restart_worker(
    cluster: clusters.Cluster, name: str, event: FaultEvent
) -> None:
    """Crash a worker's process and start the next one under its id.

    Until its first heartbeat the store holds the entry of the earlier process.
    """
    worker = cluster.workers[name]
    restart_delay_s = cluster.random.uniform(*_RESTART_RANGE_S)
    match event.fault:
        case Fault.RESTART_BEHIND_CUT:
            worker.unreachable_from = set(cluster.entry_names)
            restart_delay_s = cluster.random.uniform(
                *_RESTART_RANGE_BEHIND_CUT_S
            )
        case Fault.RESTART_BESIDE_LATE | Fault.RESTART_UNANSWERED:
            worker.late_order_share = _LATE_SHARE
            await trio.sleep(event.duration_s)
    if not worker.alive:
        return
    worker.refuses_connections = not worker.unreachable_from
    worker.crash()
    await trio.sleep(restart_delay_s)
    cluster.restart_worker(name)
    new_process = cluster.workers[name]
    if event.fault is Fault.RESTART_UNANSWERED:
        new_process.unreachable_from = set(cluster.entry_names)
    await trio.sleep(cluster.random.uniform(0.0, _HEARTBEAT_S))
    if cluster.workers[name].alive:
        cluster.write_worker_entry(name)
    if event.fault is Fault.RESTART_UNANSWERED:
        await trio.sleep(cluster.random.uniform(0.0, _UNANSWERED_S))
        new_process.unreachable_from = set()


async def _lapse_twice(cluster: clusters.Cluster, event: FaultEvent) -> None:
    """Take the store down twice; the event's duration is not used.

    A new worker registers a moment before each outage, and the others register
    again between the outages. The store may be late with writes then.
    """
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            cluster.store.fault = cluster.random.choice(
                (stores.StoreFault.NONE, stores.StoreFault.LATE)
            )
            number = cluster.random.getrandbits(16)
            cluster.add_worker(f"n{number}", f"r0-{number % 2}")
            await trio.sleep(cluster.random.uniform(0.0, _HEARTBEAT_S))
            cluster.store.fault = cluster.random.choice(_DOWN)
            # The last heartbeats were stored up to an interval before.
            await trio.sleep(
                _DELISTING_DELAY_S - cluster.random.uniform(0.0, _HEARTBEAT_S)
            )
            names = [n for n, worker in cluster.workers.items() if worker.alive]
            for name in names:
                cluster.store.remove(clusters.WORKERS_PREFIX + name)
            cluster.store.fault = stores.StoreFault.NONE
            for name in names:
                nursery.start_soon(_register_again, cluster, name)


async def _register_again(cluster: clusters.Cluster, name: str) -> None:
    """Have a worker's next heartbeat stored once the store is up."""
    await trio.sleep(cluster.random.uniform(0.0, _HEARTBEAT_S))
    while cluster.store.fault in _DOWN:
        await trio.sleep(_RETRY_DELAY_S)
    if cluster.workers[name].alive:
        cluster.write_worker_entry(name)


async def _shrink_worker(
    cluster: clusters.Cluster, name: str, duration_s: float
) -> None:
    """Shrink a worker's room for a time; its next heartbeat reports it."""
    worker = cluster.workers[name]
    full_room = clusters.WORKER_ROOM
    if worker.entry.room != full_room:
        return
    reduced_room = work.Room(
        full_room.cpu // 4,
        full_room.memory_mb // 2,
        full_room.accelerators // 4,
    )
    for room, wait_s in ((reduced_room, duration_s), (full_room, 0.0)):
        worker.set_room(room, trio.current_time())
        heartbeat_delay_s = cluster.random.uniform(0.0, _HEARTBEAT_S)
        await trio.sleep(heartbeat_delay_s)
        if worker.alive:
            cluster.write_worker_entry(name)
        await trio.sleep(wait_s)


async def _replace_worker_at_once(cluster: clusters.Cluster, name: str) -> None:
    """Crash a worker; another incarnation answers at its address at once.

    The platform lists the old one until it has missed its heartbeats.
    """
    cluster.workers[name].crash()
    cluster.start_replacement(name)
    await trio.sleep(_DELISTING_DELAY_S)
    cluster.store.remove(clusters.WORKERS_PREFIX + name)


async def _overwrite_worker_entry(
    cluster: clusters.Cluster, name: str, duration_s: float
) -> None:
    """Overwrite a worker's entry with a foreign value for some seconds.

    Values that can't be decoded, lack fields or name another pool are written
    under new names as well.
    """
    key = clusters.WORKERS_PREFIX + name
    cluster.store.put(key, cluster.random.choice(FOREIGN_VALUES))
    for value in FOREIGN_VALUES:
        foreign_key = (
            f"{clusters.WORKERS_PREFIX}x{cluster.random.getrandbits(16)}"
        )
        cluster.store.put(foreign_key, value)
    await trio.sleep(duration_s)
    if cluster.workers[name].alive:
        cluster.write_worker_entry(name)


async def _replace_worker(
    cluster: clusters.Cluster, name: str, after_s: float
) -> None:
    """Crash a worker and start another incarnation some seconds later."""
    worker_entry = cluster.workers[name].entry
    rack = next(label for label in worker_entry.labels if "-" in label)
    cluster.crash_worker(name)
    await trio.sleep(after_s)
    base = name.partition("+")[0]
    cluster.add_worker(
        f"{base}+{cluster.random.getrandbits(16)}", rack, worker_entry.pool
    )


_INJECTORS_BY_KINDS = (
    (SINGLE_ENTRY_FAULTS, _inject_entry_fault),
    ((*RESTART_FAULTS, Fault.RESTART_UNANSWERED), _inject_restarts),
    (CLOSURE_FAULTS, _close_data_centres),
    (DATA_CENTRE_FAULTS, _inject_data_centre_fault),
    (LAPSE_FAULTS, _lapse_twice),
    (PARTITION_FAULTS, _inject_data_centre_fault),
)

"""The emulated system: entries, workers, store and callers in one process."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import math
import random
from typing import Any
from typing import cast

import orjson
from starlette import requests as starlette_requests
import trio

from crocusrouter import mesh
from crocusrouter import platform
from crocusrouter import pools
from crocusrouter import work
from crocusrouter.http import queue_endpoints
from crocusrouter.store import key_value
from crocusrouter.telemetry import Metrics
from crocusrouter.work import incarnations
from crocusrouter.work import worker_port
from standins.emulator import closure_oracle as closure_oracles
from standins.emulator import config_oracle as config_oracles
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import operators
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import rules
from standins.emulator import standing_oracle as standing_oracles
from standins.emulator import store as stores
from standins.emulator import suspension
from standins.emulator import vms as vm_control
from standins.emulator import worker as workers

# Rules that the cluster checks itself; the oracles check the others.
RULES = frozenset({rules.Rule.DRAIN})

POOL = "match"
OTHER_POOL = "stock"
WORKERS_PREFIX = "listed/"
OPERATORS_PREFIX = "op/"
CONFIG_KEY = OPERATORS_PREFIX + "config"
CLOSURES_PREFIX = OPERATORS_PREFIX + "evacuate/"
DATA_CENTRES = ("liege", "namur")
ROUTE_HOST = "h"
ROUTE_PREFIX = "/q/"
WORKER_ROOM = work.Room(32_000, 131_072, 8)
_WORKERS_PER_RACK = 3
_CLOCK_STEP_S = 0.02
_PEER_DELAY_S = 0.001
# How long after its notice a draining worker may still get new tasks.
_DRAIN_NOTICE_S = 2.0
# A crashed worker is replaced after this time; the platform lists the earlier
# incarnation until three heartbeats of 1.5 s have been missed.
_REPLACEMENT_DELAY_S = 3.2
_DELISTING_DELAY_S = 4.5
# Callers repeat a cancel for about 30 s.
_MAX_CANCEL_ATTEMPTS = 60
_CANCEL_RETRY_DELAY_S = 0.5
_WALL_CLOCK_START_S = 1_700_000_000.0


def _encode_worker_entry(
    worker_entry: worker_port.WorkerEntry, born_ms: int
) -> bytes:
    return orjson.dumps(
        dataclasses.asdict(worker_entry)
        | {
            "labels": sorted(worker_entry.labels),
            "room": list(worker_entry.room),
            "born": born_ms,
        }
    )


def _parse_worker_entry(
    key: str, value: bytes
) -> worker_port.WorkerEntry | None:
    try:
        fields = orjson.loads(value)
        fields["room"] = work.Room(*fields["room"])
        fields["labels"] = frozenset(fields["labels"])
        fields["id"] = incarnations.build_incarnation(
            fields["id"], fields.pop("born")
        )
        return worker_port.WorkerEntry(**fields)
    except (KeyError, TypeError, ValueError):
        return None


def _build_address(worker_id: str) -> str:
    """Return the address at which a worker listens."""
    return f"{worker_id}:1"


def _find_data_centre(rack: str) -> str:
    """Return the data centre of a rack, whose name ends in its number."""
    number = int(rack.rpartition("-")[2])
    return DATA_CENTRES[number % len(DATA_CENTRES)]


def _build_config(
    guaranteed: dict[str, int], pools: Sequence[str], queue_pool: str
) -> dict[str, Any]:
    """Return a configuration of one queue, without a version.

    Args:
        guaranteed: Accelerators that each customer is guaranteed.
        pools: The services.
        queue_pool: The service of the queue.
    """
    route = {
        "name": "q",
        "host": ROUTE_HOST,
        "prefix": ROUTE_PREFIX,
        "service": queue_pool,
    }
    tenants = [
        {"name": name, "api_keys": [name], "guaranteed": {"gpu": count}}
        for name, count in guaranteed.items()
    ]
    services = [{"name": pool} for pool in pools]
    return {"routes": [route], "services": services, "tenants": tenants}


def _assign_pool(job: work.Job, entry: pools.PoolEntry) -> work.Job:
    """Return a job as an entry stores it by its configuration."""
    config = entry.configuration.current
    if config is None:
        return job
    for queue in config.queues:
        if queue.name == job.queue:
            return dataclasses.replace(
                job, pool=queue.pool, config_version=config.version
            )
    return job


def _build_request(route: str, key: str) -> starlette_requests.Request:
    """Return a request whose answer depends on the route and the key alone.

    It names a job id that no job has, so only the configuration decides.
    """
    return starlette_requests.Request(
        {
            "type": "http",
            "method": "GET",
            "path": f"{route}none",
            "raw_path": f"{route}none".encode(),
            "query_string": b"",
            "headers": [
                (b"host", ROUTE_HOST.encode()),
                (b"x-api-key", key.encode()),
            ],
            "server": ("127.0.0.1", 80),
            "scheme": "http",
            "http_version": "1.1",
        }
    )


class _PeerLink:
    """A connection from one entry to another in the same process."""

    def __init__(self, cluster: "Cluster", source: str, target: str) -> None:
        self._cluster = cluster
        self._source = source
        self._target = target

    async def run(self) -> None:
        """Do nothing: there is no connection to keep open."""
        await trio.sleep_forever()

    async def call(self, message: object, timeout_s: float) -> object:
        """Send a message to the other entry and return its answer."""
        await trio.sleep(_PEER_DELAY_S)
        suspensions = self._cluster.suspensions
        async with suspensions.delay_while_suspended(self._source):
            return await self._exchange(message, timeout_s)

    async def _exchange(self, message: object, timeout_s: float) -> object:
        target = self._cluster.entries.get(self._target)
        if target is None or self._cluster.are_partitioned(
            self._source, self._target
        ):
            await trio.sleep(timeout_s)
            raise mesh.PeerUnreachableError("cut", maybe_received=False)
        with trio.move_on_after(timeout_s):
            await self._cluster.suspensions.wait_until_resumed(self._target)
            return await target.answer_peer(message)
        raise mesh.PeerUnreachableError("suspended", maybe_received=True)


class Cluster:
    """The whole emulated system on a clock that tests control."""

    def __init__(
        self,
        seed: int,
        entries: int = 4,
        worker_count: int = 6,
        workers_check_room: bool = True,
        workers_per_rack: int = _WORKERS_PER_RACK,
        rejected_share: float = 0.0,
        other_worker_count: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self._rejected_share = rejected_share
        self._workers_check_room = workers_check_room
        self.store = stores.Store(seed)
        self.oracle = oracles.JobOracle()
        self.gangs = workers.Gangs()
        self.policy = policies.Policy()
        self.vms = vm_control.VmControl(self)
        self.workers: dict[str, workers.Worker] = {}
        self.entries: dict[str, pools.PoolEntry] = {}
        self.partitioned_entries: set[str] = set()
        # Their entries and workers reach each other, and nothing else.
        self.partitioned_data_centres: set[str] = set()
        self.suspensions = suspension.Suspensions()
        self.entry_names = [f"e{number}" for number in range(entries)]
        self._entry_data_centres = {
            name: DATA_CENTRES[number % len(DATA_CENTRES)]
            for number, name in enumerate(self.entry_names)
        }
        self._cancel_scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._replaced_workers: set[str] = set()
        self.impairments = impairment_logs.ImpairmentLog()
        self.config_oracle = config_oracles.ConfigOracle(self.impairments)
        self.closure_oracle = closure_oracles.ClosureOracle()
        self.standing_oracle = standing_oracles.StandingOracle(
            self.oracle, self.policy
        )
        self._suspended_at: dict[str, float] = {}
        self._closing_counts: collections.Counter[str] = collections.Counter()
        self.queue_pool = POOL
        self._guaranteed = {"a": 16, "b": 8}
        self._pools = [POOL, OTHER_POOL] if other_worker_count else [POOL]
        self.operators = operators.Operators(
            self.store,
            CONFIG_KEY,
            self.config_oracle,
            _build_config(self._guaranteed, self._pools, POOL),
        )
        self._start_counts: collections.Counter[str] = collections.Counter()
        self._last_fault_at = 0.0
        for number in range(worker_count):
            self.add_worker(f"w{number}", f"r0-{number // workers_per_rack}")
        for number in range(other_worker_count):
            rack = f"r1-{number // workers_per_rack}"
            self.add_worker(f"v{number}", rack, OTHER_POOL)
        self.oracle.queue_pools.add(POOL)
        self.operators.write(0.0)

    def put_config(self, guaranteed: dict[str, int]) -> None:
        """Replace the guarantees, as the operators do."""
        self._guaranteed = guaranteed
        self._write_config()

    def move_queue(self, pool: str, *, drops_former: bool = False) -> None:
        """Give the queue another service, as the operators do.

        Args:
            pool: The service.
            drops_former: Whether the configuration names no other service.
        """
        self.queue_pool = pool
        self.oracle.queue_pools.add(pool)
        self._pools = [pool] if drops_former else [POOL, OTHER_POOL]
        self._write_config()

    def _write_config(self) -> None:
        self.operators.set_base(
            _build_config(self._guaranteed, self._pools, self.queue_pool),
            trio.current_time(),
        )

    # Data centres.

    def close_data_centre(self, name: str, value: bytes = b"{}") -> None:
        """Close a data centre to new work, as operators do."""
        self.store.put(CLOSURES_PREFIX + name, value)
        self._closing_counts[name] += 1
        if self._closing_counts[name] == 1:
            self.closure_oracle.note_closed(name, trio.current_time())

    def open_data_centre(self, name: str) -> None:
        """Open a data centre once all its closures have ended."""
        self._closing_counts[name] -= 1
        if self._closing_counts[name] == 0:
            self.store.remove(CLOSURES_PREFIX + name)
            self.closure_oracle.note_opened(name, trio.current_time())

    def list_entries_in(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's entries."""
        return [
            name
            for name in self.entry_names
            if self._entry_data_centres[name] == data_centre
        ]

    def are_partitioned(self, name: str, peer: str) -> bool:
        """Tell whether two entries can't reach each other."""
        return bool({name, peer} & self.partitioned_entries) or any(
            len({name, peer}.intersection(self.list_entries_in(data_centre)))
            == 1
            for data_centre in self.partitioned_data_centres
        )

    def list_workers_in(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's workers that are up."""
        return [
            name
            for name, worker in self.workers.items()
            if worker.alive and worker.entry.data_centre == data_centre
        ]

    def _list_open_workers(self) -> list[workers.Worker]:
        """Return the queue's workers that are listed, in open data centres."""
        return [
            worker
            for name, worker in self.workers.items()
            if not self._closing_counts[worker.entry.data_centre]
            and worker.entry.pool == self.queue_pool
            and self._is_listed(name)
        ]

    def _is_listed(self, name: str) -> bool:
        """Tell whether the store holds the entry of a worker's process."""
        key = WORKERS_PREFIX + name
        if key not in self.store.items:
            return False
        worker = self.workers[name]
        listed_entry = _parse_worker_entry(key, self.store.read(key).value)
        return listed_entry is not None and (
            listed_entry.id
            == incarnations.build_incarnation(name, worker.born_ms)
        )

    # Workers.

    def add_worker(self, name: str, rack: str, pool: str = POOL) -> None:
        """Start a worker and write its entry to the store."""
        self._start_worker(name, rack, pool)
        self.write_worker_entry(name)

    def restart_worker(self, name: str) -> None:
        """Start a new process of a worker under the same id."""
        worker_entry = self.workers[name].entry
        rack = next(label for label in worker_entry.labels if "-" in label)
        worker = self._start_worker(name, rack, worker_entry.pool)
        worker.become_new_process(trio.current_time())

    def _start_worker(self, name: str, rack: str, pool: str) -> workers.Worker:
        worker_entry = worker_port.WorkerEntry(
            name,
            pool,
            _build_address(name),
            _find_data_centre(rack),
            False,
            WORKER_ROOM,
            frozenset({"a", rack}),
        )
        seed = self.random.getrandbits(32)
        worker = workers.Worker(
            worker_entry, self.oracle, self.gangs, self.policy, seed
        )
        worker.checks_room = self._workers_check_room
        worker.rejected_share = self._rejected_share
        self.workers[name] = worker
        return worker

    def write_worker_entry(self, name: str) -> None:
        """Write a worker's entry to the store, as its heartbeat does."""
        worker = self.workers[name]
        value = _encode_worker_entry(worker.entry, worker.born_ms)
        self.store.put(WORKERS_PREFIX + name, value)

    def write_odd_worker_entry(self, name: str, address: str | None) -> None:
        """Overwrite a worker's entry until its next heartbeat is stored.

        Args:
            name: The worker.
            address: The address that the entry gives; None for an entry that
                can't be read.
        """
        worker = self.workers[name]
        value = b"odd"
        if address is not None:
            odd_entry = dataclasses.replace(worker.entry, address=address)
            value = _encode_worker_entry(odd_entry, worker.born_ms)
        self.store.put(WORKERS_PREFIX + name, value)

    def drain_worker(self, name: str) -> None:
        """Mark a worker as draining and write its entry."""
        worker = self.workers[name]
        worker.drain(trio.current_time())
        self.write_worker_entry(name)

    def crash_worker(self, name: str) -> None:
        """Crash a worker and remove its entry, as the platform does."""
        self.workers[name].crash()
        self.store.remove(WORKERS_PREFIX + name)

    def start_replacement(self, name: str) -> None:
        """Start another incarnation that answers at a worker's address."""
        worker = self.workers[name]
        rack = next(label for label in worker.entry.labels if "-" in label)
        worker.superseded = True
        base = name.partition("+")[0]
        self.add_worker(
            f"{base}+{self.random.getrandbits(16)}", rack, worker.entry.pool
        )

    async def _replace_crashed_worker(self, name: str) -> None:
        """Replace a worker that a task has crashed by one of another name."""
        await trio.sleep(_REPLACEMENT_DELAY_S)
        self.start_replacement(name)
        await trio.sleep(_DELISTING_DELAY_S - _REPLACEMENT_DELAY_S)
        self.store.remove(WORKERS_PREFIX + name)

    def _step_worker(self, name: str, now: float) -> None:
        worker = self.workers[name]
        worker.step(now)
        if worker.crashed_by_task and name not in self._replaced_workers:
            assert self._nursery is not None
            self._replaced_workers.add(name)
            self._nursery.start_soon(self._replace_crashed_worker, name)

    # Entries.

    def add_entry(self, name: str, data_centre: str) -> None:
        """Start an entry under a name that none has had.

        Partitions that are there already separate it, too.
        """
        self.entry_names.append(name)
        self._entry_data_centres[name] = data_centre
        for worker in self.workers.values():
            if self._is_cut_between(worker.entry.data_centre, data_centre):
                worker.unreachable_from.add(name)
        if data_centre in self.partitioned_data_centres:
            self.store.entry_faults[name] = stores.StoreFault.SILENT
        self.start_entry(name)

    def _is_cut_between(self, data_centre: str, other: str) -> bool:
        """Tell whether a partition separates two data centres."""
        return data_centre != other and bool(
            {data_centre, other} & self.partitioned_data_centres
        )

    def start_entry(self, name: str) -> None:
        """Start the process of an entry."""
        assert self._nursery is not None
        clock = pools.Clock(
            trio.current_time, lambda: _WALL_CLOCK_START_S + trio.current_time()
        )
        entry = pools.PoolEntry(
            pools.Identity(name, f"{name}:7000"),
            self._build_store_view(name),
            pools.ConfigSource(
                OPERATORS_PREFIX,
                CONFIG_KEY,
                platform.parse_config,
                closure_source=pools.ClosureSource(
                    platform.find_closed_data_centre
                ),
            ),
            pools.Platform(
                WORKERS_PREFIX,
                _parse_worker_entry,
                self._build_worker_view_opener(name),
                make_policy=lambda: policies.PolicyView(self.policy),
                upkeep_platform=pools.UpkeepPlatform(
                    vm_control.WAVES_PREFIX,
                    vm_control.parse_wave,
                    lambda: vm_control.VmControlView(self.vms, name),
                    vm_control.build_status,
                ),
            ),
            Metrics(),
            clock,
            make_link=lambda peer, _: _PeerLink(self, name, peer),
        )
        self.entries[name] = entry
        self._start_counts[name] += 1
        self.impairments.note_impaired(name, trio.current_time())
        scope = trio.CancelScope()
        self._cancel_scopes[name] = scope
        self._nursery.start_soon(self._run_entry, entry, scope)

    def _build_store_view(self, name: str) -> key_value.KeyValueStore:
        view = stores.StoreView(self.store, name)
        suspendable_view = suspension.SuspendablePort(
            view, self.suspensions, name
        )
        return cast(key_value.KeyValueStore, suspendable_view)

    def _build_worker_view_opener(
        self, name: str
    ) -> Callable[[str, str], worker_port.Connection]:
        def open_view(incarnation: str, address: str) -> worker_port.Connection:
            worker_id = incarnations.find_worker(incarnation)
            view: workers.WorkerView | workers.MisdirectedView
            if address == _build_address(worker_id):
                view = workers.WorkerView(lambda: self.workers[worker_id], name)
            else:
                view = workers.MisdirectedView(
                    is_taken=address in map(_build_address, self.workers)
                )
            suspendable_view = suspension.SuspendablePort(
                view, self.suspensions, name
            )
            return cast(worker_port.Connection, suspendable_view)

        return open_view

    async def _run_entry(
        self, entry: pools.PoolEntry, scope: trio.CancelScope
    ) -> None:
        with scope:
            await entry.run()

    def kill_entry(self, name: str) -> None:
        """Kill the process of an entry without notice."""
        if name in self.entries:
            del self.entries[name]
            self._cancel_scopes.pop(name).cancel()

    def find_owner(self, pool: str = POOL) -> str | None:
        """Return the name of the entry that owns a pool."""
        for name, entry in self.entries.items():
            if pool in entry.pool_owners:
                return name
        return None

    def list_owner_failures(self) -> list[str]:
        """Return a line for each entry whose scheduling ended with an error."""
        return [
            f"{name}: an owner failed"
            for name, entry in self.entries.items()
            if entry.metrics.counts["event:owner-failed"]
        ]

    # Callers.

    async def submit(self, job: work.Job) -> str:
        """Submit a job as a caller with retries does, and record the result."""
        sent_at = trio.current_time()
        answer = await self._submit(job)
        self.oracle.submissions.append((sent_at, answer == "accepted"))
        return answer

    async def _submit(self, job: work.Job) -> str:
        """Submit a job in up to five attempts.

        A job counts as refused only if every attempt was refused: an attempt
        with an unknown outcome may still take effect after a later refusal.
        """
        self.oracle.jobs[job.id] = job
        maybe_accepted = False
        for _ in range(5):
            name = self.random.choice(list(self.entries) or [""])
            entry = self.entries.get(name)
            if entry is None or not entry.is_ready:
                await trio.sleep(0.5)
                continue
            outcome = await entry.job_api.accept(_assign_pool(job, entry))
            if outcome is pools.AcceptOutcome.STORED:
                self.oracle.accepted.add(job.id)
                return "accepted"
            if outcome is pools.AcceptOutcome.NOT_STORED and maybe_accepted:
                return "unknown"
            if outcome is pools.AcceptOutcome.NOT_STORED:
                self.oracle.refused.add(job.id)
                return "refused"
            maybe_accepted = True
            await trio.sleep(0.3)
        return "unknown"

    async def cancel(self, job_id: str) -> None:
        """Cancel a job through the first entry that confirms it."""
        self.oracle.cancels_sent.add(job_id)
        for entry in list(self.entries.values()):
            outcome = await entry.job_api.cancel(job_id)
            if outcome is pools.CancelOutcome.DONE:
                self.oracle.cancelled.setdefault(job_id, trio.current_time())
                return

    async def cancel_until_confirmed(self, job_id: str, seed: int) -> None:
        """Cancel a job at drawn entries, in several attempts.

        Args:
            job_id: The job.
            seed: Determines the entries.
        """
        rng = random.Random(f"{seed} {job_id}")
        self.oracle.cancels_sent.add(job_id)
        for _ in range(_MAX_CANCEL_ATTEMPTS):
            entry = self.entries.get(rng.choice(self.entry_names))
            if entry is not None and entry.is_ready:
                outcome = await entry.job_api.cancel(job_id)
                if outcome is pools.CancelOutcome.DONE:
                    self.oracle.cancelled.setdefault(
                        job_id, trio.current_time()
                    )
                    return
            await trio.sleep(_CANCEL_RETRY_DELAY_S)

    async def read_states(self) -> dict[str, str | None]:
        """Return the state that a caller reads for each accepted job."""
        states: dict[str, str | None] = {}
        for job_id in sorted(self.oracle.accepted):
            entry = self.random.choice(list(self.entries.values()))
            try:
                state = await entry.job_api.find_state(self.queue_pool, job_id)
            except pools.StateUnknownError:
                state = None
            states[job_id] = str(state) if state is not None else None
        return states

    async def call_route(self, name: str, route: str, key: str) -> None:
        """Call an entry on a route with a key and have the answer checked."""
        entry = self.entries.get(name)
        if entry is None:
            return
        incarnation = self._start_counts[name]
        sent_call = config_oracles.SentCall(
            name, incarnation, route, key, trio.current_time()
        )
        await self.suspensions.wait_until_resumed(name)
        calls = queue_endpoints.QueueEndpoints(entry)
        response = await calls.handle(_build_request(route, key))
        if self._start_counts[name] != incarnation or name not in self.entries:
            return
        now = trio.current_time()
        self.config_oracle.check_answer(sent_call, response.status, now)

    # Clock steps.

    def _note_impairments(self, now: float) -> None:
        """Record which workers and entries are impaired, and the store."""
        for name, worker in self.workers.items():
            if worker.is_impaired(now, counts_shutdown=False):
                self.impairments.note_impaired(name, now)
            if worker.is_shutting_down(now):
                self.impairments.note_shutting_down(now)
        if self.store.is_impaired(now):
            self.impairments.note_store_impaired(now)
        if self.partitioned_entries or self.store.rejected_prefixes:
            self.impairments.note_links_impaired(now)
        for name in self.entry_names:
            impaired = name in self.store.entry_faults
            impaired |= name not in self.entries
            if impaired or self.suspensions.is_suspended(name):
                self.impairments.note_impaired(name, now)

    def _check_cancelled_runs(self, now: float) -> None:
        """Report runs that go on for too long after a cancel of their job."""
        self.oracle.check_cancelled_runs(
            itertools.chain.from_iterable(
                worker.list_runs() for worker in self.workers.values()
            ),
            self.impairments.find_calm_since(),
            now,
        )

    def _check_standing(self, now: float) -> None:
        """Report jobs that stand still although their tasks could run."""
        self.standing_oracle.check(
            self.workers.values(),
            self._list_open_workers,
            self.impairments.find_calm_since(),
            now,
            _WALL_CLOCK_START_S + now,
        )

    def _check_drains(self, now: float) -> None:
        """Report starts on workers that have been draining for too long.

        The time counts from the last fault of the store, of a suspension or of
        a partition, if that is later: until then an owner may not have learnt
        of the drain.
        """
        has_fault = self.store.fault is not stores.StoreFault.NONE
        has_fault |= self.suspensions.is_any_suspended()
        has_fault |= bool(self.partitioned_data_centres)
        if has_fault or self.store.entry_faults or self.partitioned_entries:
            self._last_fault_at = now
        for name, worker in self.workers.items():
            starts, worker.starts_while_draining = (
                worker.starts_while_draining,
                [],
            )
            for key, at in starts:
                assert worker.draining_since is not None
                known_at = max(worker.draining_since, self._last_fault_at)
                if at > known_at + _DRAIN_NOTICE_S:
                    self.oracle.broken.append(
                        f"{at:.3f} drain: {key} on {name}, draining since "
                        f"{worker.draining_since:.3f}"
                    )

    def _check_closures(self, now: float) -> None:
        """Have all starts checked against the closures of data centres."""
        for name in self.entry_names:
            if self.suspensions.is_suspended(name):
                self._suspended_at[name] = now
        for worker in self.workers.values():
            starts, worker.recent_starts = worker.recent_starts, []
            for start in starts:
                calm_since = start.at - impairment_logs.STABLE_WINDOW_S
                suspended_at = self._suspended_at.get(start.sender, -math.inf)
                self.closure_oracle.check_start(
                    start, is_sender_calm=suspended_at < calm_since
                )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the entries and advance workers and store until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self.entry_names:
                self.start_entry(name)
            task_status.started()
            while True:
                now = trio.current_time()
                for name in list(self.workers):
                    self._step_worker(name, now)
                self._note_impairments(now)
                self.oracle.check_incomplete_gangs(
                    self.impairments.is_unimpaired_since
                )
                self._check_cancelled_runs(now)
                self._check_standing(now)
                self.store.note_silences(self.entry_names, now)
                self._check_drains(now)
                self._check_closures(now)
                self.store.expire_leases(now)
                await trio.sleep(_CLOCK_STEP_S)

"""The system under soak: emulated store and workers, entry processes."""

import collections
from collections.abc import Mapping
import pathlib
import random
import signal
import time
from typing import Any

import orjson
import trio

from crocusrouter import work
from crocusrouter.http import server
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.telemetry import Metrics
from crocusrouter.work import worker_port
from demo import processes
from standins import ports
from standins.emulator import closure_oracle as closure_oracles
from standins.emulator import config_oracle as config_oracles
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import operators
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import standing_oracle as standing_oracles
from standins.emulator import store as stores
from standins.emulator import worker as workers
from standins.soak import cut_requests
from standins.soak import data_centre_links
from standins.soak import platform_server
from standins.soak import processor_limit
from standins.soak import proxy as proxies

POOL = "match"
HOST = "queue.example"
PREFIX = "/match/"
KEY = "key-of-a"
_STEP_INTERVAL_S = 0.02
_HEARTBEAT_INTERVAL_S = 1.5
# Workers stay listed until three heartbeats are missed.
_DELISTING_DELAY_S = 3 * _HEARTBEAT_INTERVAL_S
# In a line of an entry's log: scheduling has ended by an unexpected error.
_ERROR_MARK = '"owner:failed"'
# After this delay another worker runs at a crashed worker's address, under
# another name.
_REPLACEMENT_DELAY_S = 3.2
# Entries are spread evenly over these.
_ENTRY_DATA_CENTRES = ("dc-0", "dc-1")
_FULL_ROOM = work.Room(32_000, 131_072, 8)
_SMALL_ROOM = work.Room(8_000, 65_536, 2)
# From two seconds after a worker started draining, no entry may start a task on
# it. It exits later.
_DRAIN_NOTICE_S = 2.0
_DRAINED_EXIT_DELAY_S = 4.5
# Workers that are replaced one after the other exit at times in this range.
_PLANNED_EXIT_DELAY_S = (2.2, 6.0)
# Long enough for the proxy to reset all connections to the previous process.
_PLANNED_DOWNTIME_S = (0.2, 1.0)
# A step that comes this late shows that this process stood still, and with it
# store and workers.
_STALL_S = 0.3


class World:
    """Everything in a soak except callers and injected faults."""

    def __init__(
        self,
        seed: int,
        entry_count: int,
        worker_count: int,
        log_folder: pathlib.Path,
        processor_share: float = 1.0,
        *,
        has_partitions: bool = False,
    ) -> None:
        """Create a world; `run` starts it.

        Args:
            seed: Seeds the clocks of the workers and the lost answers.
            entry_count: Number of entry processes.
            worker_count: Number of workers.
            log_folder: Folder for the processes' logs.
            processor_share: Share of a processor that each entry may use.
            has_partitions: Whether data centres can be cut off from each other.
        """
        self.oracle = oracles.JobOracle()
        self.impairments = impairment_logs.ImpairmentLog()
        self.config_oracle = config_oracles.ConfigOracle(self.impairments)
        self.closure_oracle = closure_oracles.ClosureOracle()
        self._closing_counts: collections.Counter[str] = collections.Counter()
        # Like `impairments`, but without planned stops.
        self.unplanned_impairments = impairment_logs.ImpairmentLog()
        self.cut_checker = cut_requests.CutRequestChecker(
            self.unplanned_impairments
        )
        self.store = stores.Store(seed)
        self.operators = operators.Operators(
            self.store,
            "op/config",
            self.config_oracle,
            _build_config(checks_room=seed % 2 == 0),
        )
        # How often each entry's process was started.
        self.start_counts: collections.Counter[str] = collections.Counter()
        self._paused_entries: set[str] = set()
        self._stopping_entries: set[str] = set()
        self.processes = processes.Processes(log_folder)
        self._log_folder = log_folder
        self._processor_share = processor_share
        self.entry_names = [f"e{number}" for number in range(entry_count)]
        self._entry_data_centres = {
            name: _ENTRY_DATA_CENTRES[number % len(_ENTRY_DATA_CENTRES)]
            for number, name in enumerate(self.entry_names)
        }
        self.urls: dict[str, str] = {}
        self.store_proxies: dict[str, proxies.Proxy] = {}
        self.worker_proxies: dict[str, proxies.Proxy] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.peer_proxies: dict[str, proxies.Proxy] = {}
        self.longest_stall_s = 0.0
        self._planned_random = random.Random(f"planned {seed}")
        # Workers whose processes end and start as planned.
        self._planned_exits: set[str] = set()
        self._new_worker_count = 0
        self._nursery: trio.Nursery | None = None
        self._platform = platform_server.Platform(seed)
        if has_partitions:
            self._platform.links = data_centre_links.DataCentreLinks(
                _ENTRY_DATA_CENTRES
            )
        self._ports = ports.PortAllocator()
        self._settings: dict[str, dict[str, str]] = {}
        self._seed = seed
        # Workers that don't check their room start every task they are sent.
        self._workers_check_room = seed % 2 == 0
        self._gangs = workers.Gangs()
        self._policy = policies.Policy()
        self.standing_oracle = standing_oracles.StandingOracle(
            self.oracle, self._policy
        )
        self._worker_ports: dict[str, int] = {}
        for number in range(worker_count):
            labels = frozenset({"a", f"r0-{number // 3}"})
            self._add_worker(f"w{number}", f"dc-{number // 3}", labels)

    def _add_worker(
        self, name: str, data_centre: str, labels: frozenset[str]
    ) -> None:
        worker_entry = worker_port.WorkerEntry(
            name, POOL, "", data_centre, False, _FULL_ROOM, labels
        )
        self._seed += 1
        worker = workers.Worker(
            worker_entry, self.oracle, self._gangs, self._policy, self._seed
        )
        worker.checks_room = self._workers_check_room
        self.workers[name] = worker

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run store, workers and entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._serve_platform(nursery)
            self.operators.write(trio.current_time())
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._run_steps, nursery)
            for name in self.entry_names:
                self.start_entry(name)
            if self._processor_share < 1.0:
                limit = processor_limit.ProcessorLimit(
                    self.processes,
                    self._processor_share,
                    self._paused_entries.__contains__,
                )
                nursery.start_soon(limit.run, self.entry_names)
            task_status.started()

    async def _serve_platform(self, nursery: trio.Nursery) -> None:
        free_ports = self._ports.allocate_ports(
            len(self.entry_names) + len(self.workers)
        )
        config = server.build_server_config("127.0.0.1:0", 1.0, Metrics())
        config.bind = [f"127.0.0.1:{port}" for port in free_ports]
        await nursery.start(
            server.serve_http, self._platform, config, trio.sleep_forever
        )
        for name in self.entry_names:
            port = free_ports.pop()
            self._platform.stores[port] = stores.StoreView(self.store, name)
            self._platform.data_centres[port] = self._entry_data_centres[name]
            self.store_proxies[name] = proxies.Proxy(port)
            await nursery.start(self.store_proxies[name].run)
            self._settings[name] = self._build_settings(name)
            await self._run_peer_proxy(nursery, name)
        for name, worker in self.workers.items():
            port = free_ports.pop()
            self._worker_ports[name] = port
            await self._run_worker_proxy(
                nursery, name, port, worker.entry.data_centre
            )
            self._platform.workers[port] = _build_worker_view(worker)

    async def _run_peer_proxy(self, nursery: trio.Nursery, name: str) -> None:
        """Put a proxy before an entry's mesh listener."""
        mesh_port = int(self._settings[name]["CROCUSROUTER_MESH_PORT"])
        proxy = proxies.Proxy(mesh_port)
        await nursery.start(proxy.run)
        self.peer_proxies[name] = proxy
        self._platform.shown_addresses[f"127.0.0.1:{mesh_port}".encode()] = (
            f"127.0.0.1:{proxy.port}".encode()
        )
        if self._platform.links is not None:
            await self._platform.links.add_target(
                nursery, proxy.port, self._entry_data_centres[name]
            )

    async def _run_worker_proxy(
        self, nursery: trio.Nursery, name: str, port: int, data_centre: str
    ) -> None:
        self._worker_ports[name] = port
        self._platform.worker_names[port] = name
        self._platform.manners[port] = platform_server.AnswerManners()
        self.worker_proxies[name] = proxies.Proxy(port)
        await nursery.start(self.worker_proxies[name].run)
        if self._platform.links is not None:
            await self._platform.links.add_target(
                nursery, self.worker_proxies[name].port, data_centre
            )

    async def partition_owner(
        self, fault: proxies.LinkFault, duration_s: float
    ) -> None:
        """Cut the owner's data centre off from the others and the store."""
        links = self._platform.links
        owner_key = keys.build_owner_key(POOL)
        if links is None or links.isolated or owner_key not in self.store.items:
            return
        holder = owner_leases.parse_holder(self.store.read(owner_key).value)
        data_centre = self._entry_data_centres[holder.name]
        links.isolate(data_centre, fault)
        store_links = [
            self.store_proxies[name]
            for name in self.entry_names
            if self._entry_data_centres[name] == data_centre
        ]
        for store_link in store_links:
            store_link.fault = fault
        await trio.sleep(duration_s)
        for store_link in store_links:
            store_link.fault = proxies.LinkFault.NONE
        links.heal()

    def find_answer_manners(self, name: str) -> platform_server.AnswerManners:
        """Return how a worker answers; the caller may change it."""
        return self._platform.manners[self._worker_ports[name]]

    def strand_connections(self, harmed: Mapping[str, proxies.Proxy]) -> None:
        """Silence all open connections through some proxies for good."""
        now = trio.current_time()
        for proxy in harmed.values():
            proxy.strand_connections()
        for name in self.entry_names:
            self.impairments.note_impaired(name, now)
            self.unplanned_impairments.note_impaired(name, now)

    def _note_store_impaired(self, now: float) -> None:
        self.impairments.note_store_impaired(now)
        self.unplanned_impairments.note_store_impaired(now)

    def _build_settings(self, name: str) -> dict[str, str]:
        http_port, ready_port, mesh_port, metrics_port = (
            self._ports.allocate_ports(4)
        )
        self.urls[name] = f"http://127.0.0.1:{http_port}"
        settings = {
            "NAME": name,
            "IP": "127.0.0.1",
            "LISTEN": f"127.0.0.1:{http_port}",
            "READY_LISTEN": f"127.0.0.1:{ready_port}",
            "MESH_PORT": str(mesh_port),
            "METRICS_PORT": str(metrics_port),
            "STORE_ADDRESS": f"127.0.0.1:{self.store_proxies[name].port}",
        }
        return {f"CROCUSROUTER_{key}": value for key, value in settings.items()}

    async def _send_heartbeats(self) -> None:
        """Write the workers' entries regularly, as their heartbeats do."""
        sequence = 0
        while True:
            sequence += 1
            for name in sorted(self.workers.keys() - self._planned_exits):
                self._write_worker_entry(name, sequence)
            await trio.sleep(_HEARTBEAT_INTERVAL_S)

    def _write_worker_entry(self, name: str, sequence: int) -> None:
        self.store.put(
            f"servers/{name}", self._build_worker_entry(name, sequence)
        )

    def _build_worker_entry(self, name: str, sequence: int) -> bytes:
        worker = self.workers[name]
        worker_entry = worker.entry
        port = self.worker_proxies[name].port
        room = {
            "cpu": worker_entry.room.cpu,
            "mem_mb": worker_entry.room.memory_mb,
            "gpu": worker_entry.room.accelerators,
        }
        return orjson.dumps(
            {
                "service": POOL,
                "address": f"127.0.0.1:{port}",
                "zone": worker_entry.data_centre,
                "state": "draining" if worker_entry.draining else "ready",
                "capacity": room,
                "labels": sorted(worker_entry.labels),
                "seq": sequence,
                "born": worker.born_ms,
            }
        )

    async def _run_steps(self, nursery: trio.Nursery) -> None:
        while True:
            now = trio.current_time()
            for name, worker in list(self.workers.items()):
                worker.step(now)
                if worker.crashed_by_task:
                    del self.workers[name]
                    nursery.start_soon(
                        self._replace_crashed_worker, name, worker
                    )
            self._record_impairments(now)
            self._check_starts_while_draining()
            self._check_closures()
            self._check_cancelled_runs(now)
            self._check_standing(now)
            self.oracle.check_incomplete_gangs(
                self.impairments.is_unimpaired_since
            )
            self.store.note_silences(self.entry_names, now)
            self.store.expire_leases(now)
            await trio.sleep(_STEP_INTERVAL_S)
            self._note_stall(trio.current_time() - now - _STEP_INTERVAL_S)

    def _note_stall(self, late_s: float) -> None:
        """Record how late a step comes; a long stall impairs everything."""
        self.longest_stall_s = max(self.longest_stall_s, late_s)
        if late_s > _STALL_S:
            self._note_store_impaired(trio.current_time())
            self.standing_oracle.note_stall(trio.current_time())

    def _check_standing(self, now: float) -> None:
        """Check for jobs that stand still although their tasks could run.

        A worker that a task has crashed counts as impaired until it is no
        longer listed.
        """
        calm_since = self.impairments.find_calm_since()
        if self.oracle.task_crashes:
            crashed_at, _ = self.oracle.task_crashes[-1]
            delisted_at = crashed_at + _DELISTING_DELAY_S
            calm_since = max(calm_since, min(now, delisted_at))
        self.standing_oracle.check(
            self.workers.values(),
            self._list_open_workers,
            calm_since,
            now,
            time.time(),
        )

    def _list_open_workers(self) -> list[workers.Worker]:
        """Return the workers that are listed, in open data centres."""
        return [
            worker
            for name, worker in self.workers.items()
            if not self._closing_counts[worker.entry.data_centre]
            and self._is_listed(name)
        ]

    def _is_listed(self, name: str) -> bool:
        """Tell whether the store holds the entry of a worker's process."""
        item = self.store.items.get(f"servers/{name}")
        if item is None or name in self._planned_exits:
            return False
        return bool(
            orjson.loads(item.value)["born"] == self.workers[name].born_ms
        )

    def _check_cancelled_runs(self, now: float) -> None:
        """Check for runs of cancelled jobs that go on."""
        runs = [
            observed_run
            for worker in self.workers.values()
            for observed_run in worker.list_runs()
        ]
        self.oracle.check_cancelled_runs(
            runs, self.impairments.find_calm_since(), now
        )

    def _record_impairments(self, now: float) -> None:
        """Record which entries, workers and links are impaired."""
        if self.store.is_impaired(now) or self._is_partitioned():
            self._note_store_impaired(now)
        for name, worker in self.workers.items():
            is_harmed = self.find_answer_manners(name).is_slow
            is_harmed |= (
                self.worker_proxies[name].fault is not proxies.LinkFault.NONE
                and name not in self._planned_exits
            )
            if is_harmed or worker.is_impaired(now, counts_shutdown=False):
                self.impairments.note_impaired(name, now)
            if worker.is_shutting_down(now) or name in self._planned_exits:
                self.impairments.note_shutting_down(now)
        for name in self.entry_names:
            is_impaired = name in self.store.entry_faults
            is_impaired |= name in self._paused_entries
            is_impaired |= (
                self.store_proxies[name].fault is not proxies.LinkFault.NONE
            )
            has_ended = not self.processes.is_running(name)
            if is_impaired or has_ended:
                self.impairments.note_impaired(name, now)
            if is_impaired or (
                has_ended and name not in self._stopping_entries
            ):
                self.unplanned_impairments.note_impaired(name, now)

    def _is_partitioned(self) -> bool:
        links = self._platform.links
        return links is not None and bool(links.isolated)

    def _check_starts_while_draining(self) -> None:
        """Check for starts on workers that have been draining for long.

        Orders don't name the entry that sent them, so a start counts only if
        nothing at all was impaired.
        """
        for name, worker in self.workers.items():
            starts, worker.starts_while_draining = (
                worker.starts_while_draining,
                [],
            )
            draining_since = worker.draining_since
            if draining_since is None:
                continue
            for key, started_at in starts:
                is_calm = self.impairments.is_unimpaired_since(
                    started_at - impairment_logs.STABLE_WINDOW_S
                )
                if started_at > draining_since + _DRAIN_NOTICE_S and is_calm:
                    self.oracle.broken.append(
                        f"{started_at:.3f} drain: {key} on {name}, which has "
                        f"been draining since {draining_since:.3f}"
                    )

    def _check_closures(self) -> None:
        """Check starts in closed data centres.

        Orders don't name the entry that sent them, so a start counts only if
        nothing at all was impaired.
        """
        for worker in self.workers.values():
            starts, worker.recent_starts = worker.recent_starts, []
            for start in starts:
                is_calm = self.impairments.is_unimpaired_since(
                    start.at - impairment_logs.STABLE_WINDOW_S
                )
                self.closure_oracle.check_start(start, is_sender_calm=is_calm)

    async def close_data_centre(self, name: str, duration_s: float) -> None:
        """Close a data centre to new work for some seconds."""
        key = f"op/evacuate/{name}"
        self.store.put(key, b"{}")
        self._closing_counts[name] += 1
        if self._closing_counts[name] == 1:
            self.closure_oracle.note_closed(name, trio.current_time())
        await trio.sleep(duration_s)
        self._closing_counts[name] -= 1
        if self._closing_counts[name] == 0:
            self.store.remove(key)
            self.closure_oracle.note_opened(name, trio.current_time())

    async def drain_worker(self, name: str) -> None:
        """Drain a worker until it exits, and replace it by a new worker."""
        worker = self.workers[name]
        worker.drain(trio.current_time())
        self._write_worker_entry(name, 0)
        await trio.sleep(_DRAINED_EXIT_DELAY_S)
        if self.workers.get(name) is not worker:
            return
        worker.crash()
        del self.workers[name]
        self.store.remove(f"servers/{name}")
        await self._replace_crashed_worker(name, worker)

    async def replace_worker(self, name: str) -> None:
        """Start a worker at another address, then drain another one.

        The drained worker exits some time after it may.
        """
        worker = self.workers.get(name)
        if worker is None or worker.draining_since is not None:
            return
        assert self._nursery is not None
        self._new_worker_count += 1
        new_name = f"{name.partition('+')[0]}+{self._new_worker_count}"
        [port] = self._ports.allocate_ports(1)
        config = server.build_server_config(f"127.0.0.1:{port}", 1.0, Metrics())
        await self._nursery.start(
            server.serve_http, self._platform, config, trio.sleep_forever
        )
        await self._run_worker_proxy(
            self._nursery, new_name, port, worker.entry.data_centre
        )
        self._add_worker(
            new_name, worker.entry.data_centre, worker.entry.labels
        )
        self._platform.workers[port] = _build_worker_view(
            self.workers[new_name]
        )
        self._write_worker_entry(new_name, 0)
        if await self._drain_until_exit(name, worker):
            del self.workers[name]
            self.store.remove(f"servers/{name}")
            self.worker_proxies[name].end_process(proxies.ProcessEnd.REFUSE)

    async def renew_worker(self, name: str) -> None:
        """Drain a worker, then start it again under its id and address."""
        worker = self.workers.get(name)
        if worker is None or worker.draining_since is not None:
            return
        if not await self._drain_until_exit(name, worker):
            return
        proxy = self.worker_proxies[name]
        self._planned_exits.add(name)
        proxy.end_process(
            self._planned_random.choice(
                (proxies.ProcessEnd.RESET, proxies.ProcessEnd.REFUSE)
            )
        )
        self.store.remove(f"servers/{name}")
        await trio.sleep(self._planned_random.uniform(*_PLANNED_DOWNTIME_S))
        self._start_new_process(name, worker)
        proxy.start_process()
        self._planned_exits.discard(name)
        self._write_worker_entry(name, 0)

    async def _drain_until_exit(
        self, name: str, worker: workers.Worker
    ) -> bool:
        """Drain a worker; return whether it has exited as planned."""
        worker.drain(trio.current_time())
        self._write_worker_entry(name, 0)
        await trio.sleep(self._planned_random.uniform(*_PLANNED_EXIT_DELAY_S))
        if self.workers.get(name) is not worker:
            return False
        worker.crash()
        return True

    async def shrink_worker(self, name: str, duration_s: float) -> None:
        """Reduce a worker's room for some seconds."""
        worker = self.workers[name]
        for room, wait_s in ((_SMALL_ROOM, duration_s), (_FULL_ROOM, 0.0)):
            worker.set_room(room, trio.current_time())
            await trio.sleep(wait_s)

    async def restart_worker(
        self, name: str, process_end: proxies.ProcessEnd, downtime_s: float
    ) -> None:
        """Crash a worker's process and start another under the same id.

        Until the next heartbeat, the worker's entry in the store describes the
        crashed process.
        """
        worker = self.workers[name]
        if not worker.alive:
            return
        proxy = self.worker_proxies[name]
        proxy.end_process(process_end)
        worker.crash()
        await trio.sleep(downtime_s)
        proxy.start_process()
        if self.workers.get(name) is not worker:
            return
        self._start_new_process(name, worker)

    def _start_new_process(self, name: str, worker: workers.Worker) -> None:
        """Start another process under a worker's id, at its address."""
        self._add_worker(name, worker.entry.data_centre, worker.entry.labels)
        new_worker = self.workers[name]
        new_worker.become_new_process(trio.current_time())
        self._platform.workers[self._worker_ports[name]] = _build_worker_view(
            new_worker
        )

    async def _replace_crashed_worker(
        self, name: str, worker: workers.Worker
    ) -> None:
        """Start a new worker at a crashed worker's address.

        The crashed worker's entry stays in the store until three heartbeats
        are missed.
        """
        proxy = self.worker_proxies[name]
        proxy.fault = proxies.LinkFault.RESET
        await trio.sleep(_REPLACEMENT_DELAY_S)
        proxy.fault = proxies.LinkFault.NONE
        new_name = f"{name}+"
        port = self._worker_ports[name]
        self._worker_ports[new_name] = port
        self.worker_proxies[new_name] = proxy
        self._add_worker(
            new_name, worker.entry.data_centre, worker.entry.labels
        )
        self._platform.workers[port] = _build_worker_view(
            self.workers[new_name]
        )
        self._platform.worker_names[port] = new_name
        await trio.sleep(_DELISTING_DELAY_S - _REPLACEMENT_DELAY_S)
        self.store.remove(f"servers/{name}")

    # Entry processes.

    def start_entry(self, name: str) -> None:
        """Start or restart an entry's process."""
        self.start_counts[name] += 1
        self._paused_entries.discard(name)
        self._stopping_entries.discard(name)
        self.impairments.note_impaired(name, trio.current_time())
        self._keep_output(name)
        self.processes.start(
            name, "crocusrouter", "entry", **self._settings[name]
        )

    def _keep_output(self, name: str) -> None:
        """Rename the output of an entry's previous process."""
        for suffix in ("out", "err"):
            path = self._log_folder / f"{name}.{suffix}"
            if path.exists():
                number = self.start_counts[name] - 1
                path.rename(self._log_folder / f"{name}-{number}.{suffix}")

    def list_internal_errors(self) -> list[str]:
        """Return one line for each unexpected error that an entry has logged.

        Callers may not notice such an error, since another entry takes over.
        """
        errors = []
        for path in sorted(self._log_folder.iterdir()):
            for line in path.read_text(errors="replace").splitlines():
                if path.suffix == ".err" or _ERROR_MARK in line:
                    errors.append(f"internal error: {path.name}: {line[-300:]}")
                    break
        return errors

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to an entry unless its process has ended."""
        if not self.processes.is_running(name):
            return
        self.processes.signal(name, signal_number)
        now = trio.current_time()
        if signal_number != signal.SIGHUP:
            self.impairments.note_impaired(name, now)
        if signal_number in (signal.SIGHUP, signal.SIGTERM):
            self.cut_checker.record_planned_event(name, now)
        else:
            self.unplanned_impairments.note_impaired(name, now)
        if signal_number == signal.SIGTERM:
            self._stopping_entries.add(name)
        if signal_number == signal.SIGSTOP:
            self._paused_entries.add(name)
        elif signal_number == signal.SIGCONT:
            self._paused_entries.discard(name)


def _build_worker_view(worker: workers.Worker) -> workers.WorkerView:
    return workers.WorkerView(lambda: worker, "")


def _build_config(*, checks_room: bool) -> dict[str, Any]:
    route = {
        "name": "q",
        "host": HOST,
        "prefix": PREFIX,
        "service": POOL,
        "priority": 1,
        "max_attempts": 3,
        "slack_factor": 2.0,
        "target_duration_ms": 1000,
    }
    return {
        "routes": [route],
        "services": [{"name": POOL, "admission_check": checks_room}],
        "tenants": [{"name": "a", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
    }

"""Store, workers, proxies and entry processes of one soak."""

import collections
import pathlib
import signal
from typing import Any

import orjson
import trio

from crocusrouter import work
from crocusrouter.http import server
from crocusrouter.telemetry import Metrics
from crocusrouter.work import worker_port
from demo import processes
from standins import ports
from standins.emulator import config_oracle as config_oracles
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import operators
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import store as stores
from standins.emulator import worker as workers
from standins.soak import cuts
from standins.soak import proxy as proxies
from standins.soak import wire

POOL = "match"
HOST = "queue.example"
PREFIX = "/match/"
KEY = "key-of-a"
_STEP_S = 0.02
_HEARTBEAT_S = 1.5
# A crashed worker is back after this, under another name at its address.
_RETURN_S = 3.2
_ROOM = work.Room(32_000, 131_072, 8)
_SMALL_ROOM = work.Room(8_000, 65_536, 2)
# A worker that leaves gets nothing new from two seconds on, and is gone later.
_DRAIN_S = 2.0
_LEAVES_S = 4.5


class World:
    """Everything but callers and faults."""

    def __init__(
        self, seed: int, entries: int, hosts: int, folder: pathlib.Path
    ) -> None:
        """Prepare a world; `run` starts it.

        Args:
            seed: Draws clocks of workers and lost answers.
            entries: How many entry processes.
            hosts: How many workers.
            folder: Where the processes' logs go.
        """
        self.oracle = oracles.JobOracle()
        self.touch = impairment_logs.ImpairmentLog()
        self.changes = config_oracles.ConfigOracle(self.touch)
        # The same without planned stops.
        self.unplanned = impairment_logs.ImpairmentLog()
        self.cuts = cuts.Cuts(self.unplanned)
        self.store = stores.Store(seed)
        self.operators = operators.Operators(
            self.store,
            "op/config",
            self.changes,
            _build_config(checks_room=seed % 2 == 0),
        )
        # How often each entry's process was started.
        self.lives: collections.Counter[str] = collections.Counter()
        self._paused: set[str] = set()
        self._stopping: set[str] = set()
        self.processes = processes.Processes(folder)
        self.entries = [f"e{number}" for number in range(entries)]
        self.urls: dict[str, str] = {}
        self.store_proxies: dict[str, proxies.Proxy] = {}
        self.worker_proxies: dict[str, proxies.Proxy] = {}
        self.workers: dict[str, workers.Worker] = {}
        self._platform = wire.Platform()
        self._ports = ports.Ports()
        self._settings: dict[str, dict[str, str]] = {}
        self._seed = seed
        # Workers that check nothing start whatever they are told to.
        self._guards = seed % 2 == 0
        self._gangs = workers.Gangs()
        self._policy = policies.Policy()
        self._numbers: dict[str, int] = {}
        for number in range(hosts):
            labels = frozenset({"a", f"r0-{number // 3}"})
            self._add_worker(f"w{number}", labels)

    def _add_worker(self, name: str, labels: frozenset[str]) -> None:
        entry = worker_port.WorkerEntry(
            name, POOL, "", "dc", False, _ROOM, labels
        )
        self._seed += 1
        held = workers.Worker(
            entry, self.oracle, self._gangs, self._policy, self._seed
        )
        held.checks_room = self._guards
        self.workers[name] = held

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run store, workers and entries until cancelled."""
        async with trio.open_nursery() as nursery:
            await self._serve_platform(nursery)
            self.operators.write(trio.current_time())
            nursery.start_soon(self._beat)
            nursery.start_soon(self._let_time_pass, nursery)
            for name in self.entries:
                self.start_entry(name)
            task_status.started()

    async def _serve_platform(self, nursery: trio.Nursery) -> None:
        listed = self._ports.take(len(self.entries) + len(self.workers))
        config = server.build_server_config("127.0.0.1:0", 1.0, Metrics())
        config.bind = [f"127.0.0.1:{number}" for number in listed]
        await nursery.start(
            server.serve_http, self._platform, config, trio.sleep_forever
        )
        for name in self.entries:
            number = listed.pop()
            self._platform.stores[number] = stores.StoreView(self.store, name)
            self.store_proxies[name] = proxies.Proxy(number)
            await nursery.start(self.store_proxies[name].run)
            self._settings[name] = self._build_settings(name)
        for name, worker in self.workers.items():
            number = listed.pop()
            self._numbers[name] = number
            self._platform.workers[number] = _open_view(worker)
            self._platform.lives[number] = name
            self.worker_proxies[name] = proxies.Proxy(number)
            await nursery.start(self.worker_proxies[name].run)

    def _build_settings(self, name: str) -> dict[str, str]:
        front, ready, mesh, metrics = self._ports.take(4)
        self.urls[name] = f"http://127.0.0.1:{front}"
        found = {
            "NAME": name,
            "IP": "127.0.0.1",
            "LISTEN": f"127.0.0.1:{front}",
            "READY_LISTEN": f"127.0.0.1:{ready}",
            "MESH_PORT": str(mesh),
            "METRICS_PORT": str(metrics),
            "STORE_ADDRESS": f"127.0.0.1:{self.store_proxies[name].port}",
        }
        return {f"CROCUSROUTER_{key}": value for key, value in found.items()}

    async def _beat(self) -> None:
        """Keep the workers listed, as they do by their heartbeats."""
        number = 0
        while True:
            number += 1
            for name in self.workers:
                self._list_worker(name, number)
            await trio.sleep(_HEARTBEAT_S)

    def _list_worker(self, name: str, number: int) -> None:
        self.store.put(f"servers/{name}", self._list(name, number))

    def _list(self, name: str, number: int) -> bytes:
        worker = self.workers[name]
        entry = worker.entry
        port = self.worker_proxies[name].port
        room = {
            "cpu": entry.room.cpu,
            "mem_mb": entry.room.memory_mb,
            "gpu": entry.room.accelerators,
        }
        return orjson.dumps(
            {
                "service": POOL,
                "address": f"127.0.0.1:{port}",
                "zone": "dc",
                "state": "draining" if entry.draining else "ready",
                "capacity": room,
                "labels": sorted(entry.labels),
                "seq": number,
                "born": worker.born_ms,
            }
        )

    async def _let_time_pass(self, nursery: trio.Nursery) -> None:
        while True:
            now = trio.current_time()
            for name, worker in list(self.workers.items()):
                worker.step(now)
                if worker.crashed_by_task:
                    del self.workers[name]
                    nursery.start_soon(self._return_crashed, name, worker)
            self._note_impairments(now)
            self._check_drains()
            self.oracle.check_incomplete_gangs(self.touch.is_unimpaired_since)
            self.store.note_silences(self.entries, now)
            self.store.expire_leases(now)
            await trio.sleep(_STEP_S)

    def _note_impairments(self, now: float) -> None:
        """Take note of who is not in touch."""
        if self.store.is_impaired(now):
            self.touch.note_store_impaired(now)
            self.unplanned.note_store_impaired(now)
        for name, worker in self.workers.items():
            harm = self.worker_proxies[name].harm
            if worker.is_impaired(now) or harm is not proxies.Harm.NONE:
                self.touch.note_impaired(name, now)
        for name in self.entries:
            impaired = name in self.store.entry_faults
            impaired |= name in self._paused
            impaired |= self.store_proxies[name].harm is not proxies.Harm.NONE
            ended = not self.processes.is_running(name)
            if impaired or ended:
                self.touch.note_impaired(name, now)
            if impaired or (ended and name not in self._stopping):
                self.unplanned.note_impaired(name, now)

    def _check_drains(self) -> None:
        """Judge starts on workers that had said long before that they leave.

        Orders don't tell their sender, so nobody may have been impaired.
        """
        for name, worker in self.workers.items():
            starts, worker.starts_while_draining = (
                worker.starts_while_draining,
                [],
            )
            since = worker.draining_since
            if since is None:
                continue
            for key, at in starts:
                calm = self.touch.is_unimpaired_since(
                    at - impairment_logs.STABLE_WINDOW_S
                )
                if at > since + _DRAIN_S and calm:
                    self.oracle.broken.append(
                        f"{at:.3f} drain: {key} on {name}, which drains since "
                        f"{since:.3f}"
                    )

    async def drain_worker(self, name: str) -> None:
        """Let a worker leave; another one comes under another name."""
        worker = self.workers[name]
        worker.drain(trio.current_time())
        self._list_worker(name, 0)
        await trio.sleep(_LEAVES_S)
        if self.workers.get(name) is not worker:
            return
        worker.crash()
        del self.workers[name]
        self.store.remove(f"servers/{name}")
        await self._return_crashed(name, worker)

    async def shrink_worker(self, name: str, for_s: float) -> None:
        """Take a part of a worker's room away for some seconds."""
        worker = self.workers[name]
        for room, wait_s in ((_SMALL_ROOM, for_s), (_ROOM, 0.0)):
            worker.set_room(room, trio.current_time())
            await trio.sleep(wait_s)

    async def restart_worker(
        self, name: str, ending: proxies.Ending, away_s: float
    ) -> None:
        """Crash a worker's process; the next one takes its id.

        Until its next heartbeat the list tells of the earlier one.
        """
        worker = self.workers[name]
        if not worker.alive:
            return
        proxy = self.worker_proxies[name]
        proxy.end_process(ending)
        worker.crash()
        await trio.sleep(away_s)
        proxy.start_process()
        if self.workers.get(name) is not worker:
            return
        self._add_worker(name, worker.entry.labels)
        again = self.workers[name]
        again.become_new_process(trio.current_time())
        self._platform.workers[self._numbers[name]] = _open_view(again)

    async def _return_crashed(self, name: str, worker: workers.Worker) -> None:
        """Bring a crashed worker back under another name.

        Its earlier life stays listed until three heartbeats are missed.
        """
        proxy = self.worker_proxies[name]
        proxy.harm = proxies.Harm.RESET
        await trio.sleep(_RETURN_S)
        proxy.harm = proxies.Harm.NONE
        again = f"{name}+"
        number = self._numbers[name]
        self._numbers[again] = number
        self.worker_proxies[again] = proxy
        self._add_worker(again, worker.entry.labels)
        self._platform.workers[number] = _open_view(self.workers[again])
        self._platform.lives[number] = again
        await trio.sleep(3 * _HEARTBEAT_S - _RETURN_S)
        self.store.remove(f"servers/{name}")

    # Entry processes.

    def start_entry(self, name: str) -> None:
        """Start an entry, or start it again."""
        self.lives[name] += 1
        self._paused.discard(name)
        self._stopping.discard(name)
        self.touch.note_impaired(name, trio.current_time())
        self.processes.start(
            name, "crocusrouter", "entry", **self._settings[name]
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an entry; one that has ended gets none."""
        if not self.processes.is_running(name):
            return
        self.processes.signal(name, number)
        now = trio.current_time()
        if number != signal.SIGHUP:
            self.touch.note_impaired(name, now)
        if number in (signal.SIGHUP, signal.SIGTERM):
            self.cuts.note_planned(name, now)
        else:
            self.unplanned.note_impaired(name, now)
        if number == signal.SIGTERM:
            self._stopping.add(name)
        if number == signal.SIGSTOP:
            self._paused.add(name)
        elif number == signal.SIGCONT:
            self._paused.discard(name)


def _open_view(worker: workers.Worker) -> workers.WorkerView:
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

"""Entries, workers, store and callers, joined in one process."""

import collections
from collections.abc import Callable
import dataclasses
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
from crocusrouter.store import port
from crocusrouter.telemetry import Metrics
from crocusrouter.work import incarnations
from crocusrouter.work import orders
from standins.emulator import changes as change_rules
from standins.emulator import operators
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import rules
from standins.emulator import store as stores
from standins.emulator import suspension
from standins.emulator import touch as touches
from standins.emulator import vms as vm_control
from standins.emulator import worker as workers

# What the cluster judges itself.
RULES = frozenset({rules.Rule.DRAIN})

POOL = "match"
WORKERS = "listed/"
OPERATORS = "op/"
CONFIG = OPERATORS + "config"
HOST = "h"
PREFIX = "/q/"
ROOM = work.Room(32_000, 131_072, 8)
_STEP_S = 0.02
_PEER_S = 0.001
# A worker that drains must get nothing new from here on.
_DRAIN_S = 2.0
# A crashed worker is back after this; the platform lists its earlier life
# until three heartbeats of 1.5 s have been missed.
_RETURN_S = 3.2
_UNLISTED_S = 4.5
_WALL = 1_700_000_000.0


def _encode_worker(entry: orders.WorkerEntry, born_ms: int) -> bytes:
    return orjson.dumps(
        dataclasses.asdict(entry)
        | {
            "labels": sorted(entry.labels),
            "room": list(entry.room),
            "born": born_ms,
        }
    )


def _parse_worker(key: str, value: bytes) -> orders.WorkerEntry | None:
    try:
        fields = orjson.loads(value)
        fields["room"] = work.Room(*fields["room"])
        fields["labels"] = frozenset(fields["labels"])
        fields["id"] = incarnations.build_incarnation(
            fields["id"], fields.pop("born")
        )
        return orders.WorkerEntry(**fields)
    except (KeyError, TypeError, ValueError):
        return None


def _build_config(guaranteed: dict[str, int]) -> dict[str, Any]:
    """Return a configuration of one queue without its version."""
    route = {"name": "q", "host": HOST, "prefix": PREFIX, "service": POOL}
    tenants = [
        {"name": name, "api_keys": [name], "guaranteed": {"gpu": count}}
        for name, count in guaranteed.items()
    ]
    services = [{"name": POOL}]
    return {"routes": [route], "services": services, "tenants": tenants}


def _build_request(route: str, key: str) -> starlette_requests.Request:
    """Return a call that only route and key decide.

    No job can have its id, so nothing but the configuration is asked.
    """
    return starlette_requests.Request(
        {
            "type": "http",
            "method": "GET",
            "path": f"{route}none",
            "raw_path": f"{route}none".encode(),
            "query_string": b"",
            "headers": [
                (b"host", HOST.encode()),
                (b"x-api-key", key.encode()),
            ],
            "server": ("127.0.0.1", 80),
            "scheme": "http",
            "http_version": "1.1",
        }
    )


class _Link:
    """Calls another entry in the same process."""

    def __init__(self, cluster: "Cluster", source: str, target: str) -> None:
        self._cluster = cluster
        self._source = source
        self._target = target

    async def run(self) -> None:
        """Keep nothing open."""
        await trio.sleep_forever()

    async def call(self, message: object, timeout_s: float) -> object:
        """Ask the other entry."""
        await trio.sleep(_PEER_S)
        suspensions = self._cluster.suspensions
        async with suspensions.pass_through(self._source):
            return await self._exchange(message, timeout_s)

    async def _exchange(self, message: object, timeout_s: float) -> object:
        target = self._cluster.entries.get(self._target)
        cut = {self._source, self._target} & self._cluster.cut_off
        if target is None or cut:
            await trio.sleep(timeout_s)
            raise mesh.PeerUnreachableError("cut", maybe_received=False)
        with trio.move_on_after(timeout_s):
            await self._cluster.suspensions.wait_awake(self._target)
            return await target.answer_peer(message)
        raise mesh.PeerUnreachableError("suspended", maybe_received=True)


class Cluster:
    """The whole system on a controlled clock."""

    def __init__(
        self,
        seed: int,
        entries: int = 4,
        hosts: int = 6,
        guards: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        self._guards = guards
        self.store = stores.Store(seed)
        self.oracle = oracles.Oracle()
        self.gangs = workers.Gangs()
        self.policy = policies.Policy()
        self.vms = vm_control.Vms(self)
        self.workers: dict[str, workers.Worker] = {}
        self.entries: dict[str, pools.PoolEntry] = {}
        self.cut_off: set[str] = set()
        self.suspensions = suspension.Suspensions()
        self.names = [f"e{number}" for number in range(entries)]
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._returning: set[str] = set()
        self.touch = touches.Touch()
        self.changes = change_rules.Changes(self.touch)
        guaranteed = {"a": 16, "b": 8}
        self.operators = operators.Operators(
            self.store, CONFIG, self.changes, _build_config(guaranteed)
        )
        self._started: collections.Counter[str] = collections.Counter()
        self._troubled_at = 0.0
        for number in range(hosts):
            self.add_worker(f"w{number}", f"r0-{number // 3}")
        self.operators.write(0.0)

    def put_config(self, guaranteed: dict[str, int]) -> None:
        """Write a configuration as the operators do."""
        now = trio.current_time()
        self.operators.set_base(_build_config(guaranteed), now)

    # Workers.

    def add_worker(self, name: str, rack: str) -> None:
        """Start a worker and list it."""
        self._start_worker(name, rack)
        self.list_worker(name)

    def restart_worker(self, name: str) -> None:
        """Start a worker's process again under its id."""
        entry = self.workers[name].entry
        rack = next(label for label in entry.labels if "-" in label)
        self._start_worker(name, rack).start_anew(trio.current_time())

    def _start_worker(self, name: str, rack: str) -> workers.Worker:
        entry = orders.WorkerEntry(
            name,
            POOL,
            f"{name}:1",
            "liege",
            False,
            ROOM,
            frozenset({"a", rack}),
        )
        seed = self.random.getrandbits(32)
        held = workers.Worker(entry, self.oracle, self.gangs, self.policy, seed)
        held.guards = self._guards
        self.workers[name] = held
        return held

    def list_worker(self, name: str) -> None:
        """Write a worker's entry, as its heartbeat does."""
        held = self.workers[name]
        value = _encode_worker(held.entry, held.born_ms)
        self.store.put(WORKERS + name, value)

    def drain_worker(self, name: str) -> None:
        """Say that a worker leaves."""
        held = self.workers[name]
        held.drain(trio.current_time())
        self.list_worker(name)

    def crash_worker(self, name: str) -> None:
        """End a worker; the platform drops it from the list."""
        self.workers[name].crash()
        self.store.remove(WORKERS + name)

    def bear_again(self, name: str) -> None:
        """Let another incarnation answer at a worker's address."""
        held = self.workers[name]
        rack = next(label for label in held.entry.labels if "-" in label)
        held.reborn = True
        base = name.partition("+")[0]
        self.add_worker(f"{base}+{self.random.getrandbits(16)}", rack)

    async def _return_crashed(self, name: str) -> None:
        """Bring a worker that a task has crashed back under another name."""
        await trio.sleep(_RETURN_S)
        self.bear_again(name)
        await trio.sleep(_UNLISTED_S - _RETURN_S)
        self.store.remove(WORKERS + name)

    def _step_worker(self, name: str, now: float) -> None:
        held = self.workers[name]
        held.step(now)
        if held.crashed_by_task and name not in self._returning:
            assert self._nursery is not None
            self._returning.add(name)
            self._nursery.start_soon(self._return_crashed, name)

    # Entries.

    def start_entry(self, name: str) -> None:
        """Start an entry under a name."""
        assert self._nursery is not None
        clock = pools.Clock(
            trio.current_time, lambda: _WALL + trio.current_time()
        )
        entry = pools.PoolEntry(
            pools.Identity(name, f"{name}:7000"),
            self._find_store_view(name),
            pools.ConfigSource(OPERATORS, CONFIG, platform.parse_config),
            pools.Platform(
                WORKERS,
                _parse_worker,
                self._find_view(name),
                make_policy=lambda: policies.PolicyView(self.policy),
                upkeeping=pools.Upkeeping(
                    vm_control.WAVES,
                    vm_control.parse_wave,
                    lambda: vm_control.VmsView(self.vms, name),
                    vm_control.build_status,
                ),
            ),
            Metrics(),
            clock,
            make_link=lambda peer, _: _Link(self, name, peer),
        )
        self.entries[name] = entry
        self._started[name] += 1
        self.touch.note_impaired(name, trio.current_time())
        scope = trio.CancelScope()
        self._scopes[name] = scope
        self._nursery.start_soon(self._run_entry, entry, scope)

    def _find_store_view(self, name: str) -> port.KeyValueStore:
        view = stores.StoreView(self.store, name)
        held = suspension.Suspendable(view, self.suspensions, name)
        return cast(port.KeyValueStore, held)

    def _find_view(self, name: str) -> Callable[[str, str], orders.Connection]:
        def open_view(incarnation: str, _: str) -> orders.Connection:
            worker = incarnations.find_worker(incarnation)
            view = workers.WorkerView(lambda: self.workers[worker], name)
            held = suspension.Suspendable(view, self.suspensions, name)
            return cast(orders.Connection, held)

        return open_view

    async def _run_entry(
        self, entry: pools.PoolEntry, scope: trio.CancelScope
    ) -> None:
        with scope:
            await entry.run()

    def kill_entry(self, name: str) -> None:
        """End an entry without notice."""
        if name in self.entries:
            del self.entries[name]
            self._scopes.pop(name).cancel()

    def find_owner(self) -> str | None:
        """Return the entry that owns the pool."""
        for name, entry in self.entries.items():
            if POOL in entry.owned:
                return name
        return None

    def list_failures(self) -> list[str]:
        """Return the faults that ended an owner's decisions."""
        return [
            f"{name}: an owner failed"
            for name, entry in self.entries.items()
            if entry.metrics.counts["event:owner-failed"]
        ]

    # Callers.

    async def submit(self, job: work.Job) -> str:
        """Hand a job in as a caller with retries does."""
        sent_at = trio.current_time()
        answer = await self._submit(job)
        self.oracle.tries.append((sent_at, answer == "accepted"))
        return answer

    async def _submit(self, job: work.Job) -> str:
        """Try up to five times.

        A job counts as refused only if every try was: one that was answered
        "nobody knows" may still be carried out after a later refusal.
        """
        self.oracle.jobs[job.id] = job
        may_come = False
        for _ in range(5):
            name = self.random.choice(list(self.entries) or [""])
            entry = self.entries.get(name)
            if entry is None or not entry.is_ready:
                await trio.sleep(0.5)
                continue
            outcome = await entry.desk.accept(job)
            if outcome is pools.Stored.STORED:
                self.oracle.accepted.add(job.id)
                return "accepted"
            if outcome is pools.Stored.NOT_STORED and may_come:
                return "unknown"
            if outcome is pools.Stored.NOT_STORED:
                self.oracle.refused.add(job.id)
                return "refused"
            may_come = True
            await trio.sleep(0.3)
        return "unknown"

    async def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self.oracle.asked_to_cancel.add(job_id)
        for entry in list(self.entries.values()):
            outcome = await entry.desk.cancel(job_id)
            if outcome is pools.Cancelled.DONE:
                self.oracle.cancelled[job_id] = trio.current_time()
                return

    async def read_states(self) -> dict[str, str | None]:
        """Return what a caller reads of each accepted job."""
        states: dict[str, str | None] = {}
        for job_id in sorted(self.oracle.accepted):
            entry = self.random.choice(list(self.entries.values()))
            try:
                state = await entry.desk.find_state(POOL, job_id)
            except pools.StateUnknownError:
                state = None
            states[job_id] = str(state) if state is not None else None
        return states

    async def ask_for(self, name: str, route: str, key: str) -> None:
        """Call an entry on a route with a key; the answer is judged."""
        entry = self.entries.get(name)
        if entry is None:
            return
        life = self._started[name]
        asked = change_rules.Asked(name, life, route, key, trio.current_time())
        await self.suspensions.wait_awake(name)
        calls = queue_endpoints.QueueEndpoints(entry)
        rendered = await calls.handle(_build_request(route, key))
        if self._started[name] != life or name not in self.entries:
            return
        now = trio.current_time()
        self.changes.note_answer(asked, rendered.status, now)

    # Time.

    def _note_impairments(self, now: float) -> None:
        """Take note of who is not in touch."""
        for name, held in self.workers.items():
            if held.is_impaired(now):
                self.touch.note_impaired(name, now)
        if self.store.is_impaired(now):
            self.touch.note_store_impaired(now)
        for name in self.names:
            impaired = name in self.store.turned_away
            impaired |= name not in self.entries
            if impaired or self.suspensions.is_suspended(name):
                self.touch.note_impaired(name, now)

    def _check_drains(self, now: float) -> None:
        """Note starts on workers that had long said that they leave.

        While the store is in trouble, and for a while after it, nobody can
        be expected to have heard that.
        """
        troubled = self.store.fault is not stores.StoreFault.NONE
        troubled |= self.suspensions.is_any()
        if troubled or self.store.turned_away or self.cut_off:
            self._troubled_at = now
        for name, held in self.workers.items():
            starts, held.started_draining = held.started_draining, []
            for key, at in starts:
                assert held.drains_since is not None
                heard_by = max(held.drains_since, self._troubled_at)
                if at > heard_by + _DRAIN_S:
                    self.oracle.broken.append(
                        f"{at:.3f} drain: {key} on {name}, which drains since "
                        f"{held.drains_since:.3f}"
                    )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run everything until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self.names:
                self.start_entry(name)
            task_status.started()
            while True:
                now = trio.current_time()
                for name in list(self.workers):
                    self._step_worker(name, now)
                self._note_impairments(now)
                self.oracle.judge_alone(self.touch.is_calm)
                self.store.note_silences(self.names, now)
                self._check_drains(now)
                self.store.expire(now)
                await trio.sleep(_STEP_S)

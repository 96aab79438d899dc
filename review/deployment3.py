"""Stand-ins of the platform for the cases of the second review.

One asyncio process serves the key-value store, the workers (runners) and the
control of machines over HTTP/1.1, as PROTOCOL.md describes them. Only the
standard library is used.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HISTORY_S = 20.0
PORTS = (12_000, 31_000)


def free_port():
    """Return a port of the loopback address that is free now.

    It lies below the ports that the system gives to outgoing connections, so
    that none of these takes it before it is listened on.
    """
    while True:
        port = random.randint(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port


class Record:
    """Writes what was sent, answered and run to the console and a file."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_at

    def write(self, event, /, **facts):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        line = f"{self.now():8.3f} {event} {text}".rstrip()
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")
        print(line, flush=True)


# HTTP.


async def serve_http(handler, port, writers=None):
    """Serve `handler(method, path, query, headers, document)` on a port."""

    async def serve(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query_text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query_text))
                document = json.loads(body) if body else {}
                answer = await handler(method, path, query, headers, document)
                if answer is None:  # no answer, and nothing further here
                    await asyncio.sleep(30.0)
                    break
                status, result = answer
                content = json.dumps(result).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(serve, LOOPBACK, port, backlog=500)


async def call_http(
    port, method, path, headers=None, document=None, wait_s=3.0
):
    """Make one call; return status and document, or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            content = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [f"Content-Length: {len(content)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = None
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            body = await (
                reader.read() if length is None else reader.readexactly(length)
            )
            return status, json.loads(body) if body else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), wait_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    except (ValueError, IndexError):
        return None


# The key-value store.


class Store:
    """The platform's store: keys, leases, watches and transactions."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.events = []
        self._trimmed_to = 0
        self.leases = {}
        self._next_lease = 7000
        self._changed = asyncio.Condition()

    async def run(self):
        """Remove the keys of leases that have ended."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [k for k, item in self.items.items() if item["lease"] == lease]
        if gone:
            await self.apply([], gone)

    async def apply(self, writes, removals):
        """Apply writes of (key, value, lease) and removals as one change."""
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in writes:
            earlier = self.items.get(key)
            created = earlier["created"] if earlier else self.revision
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append((now, self.revision, key, dict(item)))
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((now, self.revision, key, event))
        while self.events and self.events[0][0] < now - HISTORY_S:
            self._trimmed_to = self.events.pop(0)[1]
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def put(self, key, document):
        """Write a JSON document as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self.apply([(key, value, 0)], [])

    def read_value(self, key):
        """Return a key's value; None if there is none."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def handle(self, method, path, query, headers, document):
        """Answer one call of an entry."""
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, item | {"at_rev": self.revision}
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "at_rev": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._commit(document)
        if path == "/kv-lease":
            ttl_ms = max(1000, int(document["ttl_ms"]))
            self._next_lease += 1
            self.leases[self._next_lease] = (
                time.monotonic() + ttl_ms / 1000,
                ttl_ms,
            )
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            if after < self._trimmed_to:
                return 410, {}
            found = [
                event
                for _, rev, key, event in self.events
                if rev > after and key.startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_rev": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)

    async def _commit(self, document):
        expected = document.get("expected_rev") or []
        if any(
            self.items.get(row["key"], {"revision": 0})["revision"]
            != row["revision"]
            for row in expected
        ):
            items = [
                self.items[row["key"]]
                for row in expected
                if row["key"] in self.items
            ]
            return 412, {"items": items}
        writes = document.get("writes") or []
        if any(
            w.get("lease") and w["lease"] not in self.leases for w in writes
        ):
            return 404, {}
        revision = await self.apply(
            [(w["key"], w["value"], w.get("lease") or 0) for w in writes],
            document.get("remove") or [],
        )
        return 200, {"revision": revision}


# Workers and their machines.


@dataclasses.dataclass
class Run:
    """One start of a task on a runner."""

    task: str
    run_id: int
    began_at: float
    duration_s: float  # of a task that lasts: of its startup
    lasts: bool
    room: tuple
    saved: str = ""
    stop_at: float | None = None

    def percent(self, now):
        """Return the progress of the task."""
        if self.duration_s <= 0:
            return 100
        return min(100, int(100 * (now - self.began_at) / self.duration_s))


class Worker:
    """One life of a machine's runner."""

    def __init__(self, platform, machine, worker_id):
        self.platform = platform
        self.machine = machine
        self.id = worker_id
        self.port = free_port()
        self.shown_port = self.port
        self.born_at = time.monotonic()
        self.runs = {}
        self.finished = []
        self.ended_runs = {}
        self.end_count = 0
        self.fence = 0
        self.lease_until = 0.0
        self.seq = 0
        self.is_up = True
        self.state = "ready"
        self._ended = asyncio.Condition()
        self._server = None
        self._tasks = []
        self._writers = set()

    def clock_ms(self):
        """Return the runner's own steady clock."""
        return int((time.monotonic() - self.born_at) * 1000) + 1000

    async def open(self):
        """Open the listeners."""
        self._server = await serve_http(self._handle, self.port, self._writers)
        self._tasks = [
            asyncio.create_task(self._run_clock()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    def _end_life(self):
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        for run in list(self.runs.values()):
            self.platform.note_gone(self, run)
        self.runs.clear()

    async def close(self):
        """Leave: everything that runs here is gone, and so is the entry."""
        self._end_life()
        await self._unregister()

    async def crash(self):
        """End without a word; the entry goes after three heartbeats."""
        self._end_life()
        asyncio.create_task(self._unregister(4.5))

    async def _unregister(self, delay_s=0.0):
        await asyncio.sleep(delay_s)
        key = f"servers/{self.id}"
        if key in self.platform.store.items:
            await self.platform.store.apply([], [key])

    async def _send_heartbeats(self):
        while True:
            self.seq += 1
            await self.platform.store.put(
                f"servers/{self.id}",
                {
                    "service": self.machine.pool,
                    "address": f"{LOOPBACK}:{self.shown_port}",
                    "zone": self.machine.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "capacity": self.machine.capacity,
                    "labels": self.machine.labels,
                    "clock_ms": self.clock_ms(),
                    "seq": self.seq,
                },
            )
            await asyncio.sleep(1.5)

    async def _run_clock(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.lease_until:
                for run in list(self.runs.values()):
                    await self._end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    await self._end(run, "stopped")
                elif not run.lasts and now >= run.began_at + run.duration_s:
                    await self._end(run, self.platform.find_end(run))

    async def _end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.end_count += 1
        self.finished.append([self.end_count, run.task, run.run_id, how, ""])
        self._note_over(run.task, run.run_id)
        self.platform.note_end(self, run, how)
        async with self._ended:
            self._ended.notify_all()

    def _note_over(self, task, run_id):
        self.ended_runs[task] = max(run_id, self.ended_runs.get(task, 0))

    async def _handle(self, method, path, query, headers, document):
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, {}
        fence = document.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if path == "/hold":
            return await self._hold(document)
        if path == "/run-start":
            return self._start(document)
        if path == "/run-stop":
            return self._stop(document)
        if path == "/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 400, {"clock_ms": self.clock_ms()}

    def _extend(self, document):
        until_ms = document.get("until_ms")
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms() + 10_000)
            self.lease_until = max(self.lease_until, until_ms)

    async def _hold(self, document):
        self._extend(document)
        seen = document.get("last_seen", 0)
        for end in self.finished:
            if end[0] <= seen:
                self.platform.note_seen(self, end)
        self.finished = [end for end in self.finished if end[0] > seen]
        wait_s = min(2.0, document.get("wait_ms", 0) / 1000)
        if wait_s and not self.finished:
            async with self._ended:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._ended.wait(), wait_s)
        now = time.monotonic()
        return 200, {
            "clock_ms": self.clock_ms(),
            "running": [
                [run.task, run.run_id, run.saved, run.percent(now), 0]
                for run in self.runs.values()
            ],
            "finished": self.finished[:500],
        }

    def _start(self, document):
        task, run_id = document["task"], document["run_id"]
        reply = {"clock_ms": self.clock_ms()}
        present = self.runs.get(task)
        if present is not None and present.run_id == run_id:
            self._extend(document)
            return 200, reply
        if document["until_ms"] <= self.clock_ms():
            return 409, reply | {"reason": "late"}
        self._extend(document)
        if run_id <= self.ended_runs.get(task, 0) or present is not None:
            return 409, reply | {"reason": "old"}
        room = self.platform.find_room(task)
        used = [sum(r.room[i] for r in self.runs.values()) for i in range(3)]
        total = [self.machine.capacity[n] for n in ("cpu", "mem_mb", "gpu")]
        if any(u + r > t for u, r, t in zip(used, room, total, strict=True)):
            return 409, reply | {"reason": "room"}
        duration_s, lasts = self.platform.find_work(task)
        run = Run(task, run_id, time.monotonic(), duration_s, lasts, room)
        self.runs[task] = run
        self.platform.note_start(self, run, document)
        return 200, reply

    def _stop(self, document):
        task, run_id = document["task"], document["run_id"]
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id:
            if run.stop_at is None:
                run.stop_at = time.monotonic() + 0.1
                self.platform.note_stop(self, run)
        else:
            self._note_over(task, run_id)
        return 200, {"clock_ms": self.clock_ms()}


class Cut:
    """A TCP path that can be made to lose everything, without a reset.

    What is sent during a cut is lost; connections from before or during the
    cut are closed when it ends, as their bytes are missing.
    """

    def __init__(self, target_port):
        self.port = free_port()
        self.target_port = target_port
        self.is_cut = False
        self._server = None
        self._healed = asyncio.Event()

    async def open(self):
        """Open the listeners."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, backlog=200
        )

    def cut(self):
        """Lose everything from now on."""
        self.is_cut = True
        self._healed = asyncio.Event()

    def heal(self):
        """Let new connections through again."""
        self.is_cut = False
        self._healed.set()

    def close(self):
        """Close everything."""
        self._server.close()

    async def _serve(self, reader, writer):
        other_writer = None
        try:
            if self.is_cut:
                await self._healed.wait()
                return
            other_reader, other_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
            done, pending = await asyncio.wait(
                [
                    asyncio.create_task(self._copy(reader, other_writer)),
                    asyncio.create_task(self._copy(other_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in pending:
                task.cancel()
        except OSError:
            pass
        finally:
            writer.close()
            if other_writer is not None:
                other_writer.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut:
                    await self._healed.wait()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


@dataclasses.dataclass
class Machine:
    """A machine of the platform; a runner is one life of it."""

    name: str
    pool: str
    zone: str
    labels: list
    capacity: dict
    state: str = "up"
    worker: Worker | None = None
    lives: int = 0
    cut: Cut | None = None
    upkept: set = dataclasses.field(default_factory=set)


class Platform:
    """The store, the machines with their workers, and the jobs' tasks."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.machines = {}
        self.jobs = {}
        self.starts = []  # (time, machine, task, run)
        self.ends = []  # (time, machine, task, run, how, percent)
        self.seen = []
        self.upkeeps = []  # (time, machine, wave, holder, fence, ended runs)
        self.store_ports = []
        self.cloud_port = free_port()
        self._servers = []
        self._tasks = []

    async def open(self, entry_count):
        """Open the listeners."""
        self._tasks.append(asyncio.create_task(self.store.run()))
        for _ in range(entry_count):
            port = free_port()
            self.store_ports.append(port)
            self._servers.append(await serve_http(self.store.handle, port))
        self._servers.append(
            await serve_http(self._handle_cloud, self.cloud_port)
        )

    async def add_machine(
        self, name, pool, zone="z1", labels=("a", "r1-1"), capacity=None
    ):
        """Add a machine with a runner."""
        machine = Machine(
            name,
            pool,
            zone,
            list(labels),
            capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
        )
        self.machines[name] = machine
        await self.start_worker(machine)
        return machine

    async def start_worker(self, machine):
        """Start the next life of a machine."""
        machine.lives += 1
        worker = Worker(self, machine, f"i-{machine.name}-{machine.lives}")
        cut = Cut(worker.port)
        await cut.open()
        worker.shown_port = cut.port
        machine.cut = cut
        machine.worker = worker
        await worker.open()
        machine.state = "up"

    async def crash(self, machine, down_s):
        """End a machine's runner at once; a new one starts later."""
        machine.state = "down"
        worker = machine.worker
        self.record.write("crash", machine=machine.name, worker=worker.id)
        machine.cut.close()
        await worker.crash()
        await asyncio.sleep(down_s)
        await self.start_worker(machine)
        self.record.write(
            "machine-back", machine=machine.name, worker=machine.worker.id
        )

    async def _handle_cloud(self, method, path, query, headers, document):
        if path == "/machines":
            rows = [
                {
                    "machine": m.name,
                    "pool": m.pool,
                    "state": m.state,
                    "zone": m.zone,
                    "labels": m.labels,
                    "capacity": m.capacity,
                    "id": m.worker.id if m.state == "up" else "",
                }
                for m in self.machines.values()
            ]
            return 200, {"machines": rows, "next_token": None}
        if path == "/machine-upkeep":
            return await self._begin_upkeep(headers, document)
        return 404, {}

    async def _begin_upkeep(self, headers, document):
        machine = self.machines.get(document["machine"])
        wave = document["wave"]
        if machine is None:
            return 400, {}
        asked = json.loads(self.store.read_value(f"op/wave/{wave}") or b"{}")
        if machine.name not in asked.get("machines", []):
            return 409, {"reason": "wave"}
        if wave in machine.upkept:
            return 200, {}
        if machine.state != "up" or machine.worker.state != "ready":
            return 409, {"reason": "busy"}
        machine.upkept.add(wave)
        machine.state = "upkeep"
        now = time.monotonic()
        ended = [
            (run.task, run.run_id, run.percent(now), run.lasts)
            for run in machine.worker.runs.values()
        ]
        holder, fence = headers["x-lease-holder"], headers["x-fencing-token"]
        self.upkeeps.append(
            (self.record.now(), machine.name, wave, holder, int(fence), ended)
        )
        self.record.write(
            "upkeep",
            machine=machine.name,
            wave=wave,
            holder=holder,
            fence=fence,
            ends=[
                f"{task}/{run}:{percent}%" for task, run, percent, _ in ended
            ],
        )
        await machine.worker.close()
        machine.cut.close()
        self._tasks.append(asyncio.create_task(self._end_upkeep(machine)))
        return 200, {}

    async def _end_upkeep(self, machine):
        await asyncio.sleep(2.0)
        await self.start_worker(machine)
        self.record.write(
            "machine-back", machine=machine.name, worker=machine.worker.id
        )

    # What tasks do, and what is seen of them.

    def _find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def find_room(self, task):
        """Return what a task takes of cpu, memory and accelerators."""
        step = self._find_step(task)
        return tuple(step.get(name, 0) for name in ("cpu", "mem_mb", "gpu"))

    def find_work(self, task):
        """Return how long a task works or starts up, and if it lasts."""
        step = self._find_step(task)
        if step.get("long_running"):
            return 0.5, True
        return step["est_duration_ms"] / 1000, False

    def find_end(self, run):
        """Return how a task ends that has done its work."""
        return "done"

    def note_start(self, worker, run, document):
        """Record a start that a runner has carried out."""
        self.starts.append(
            (self.record.now(), worker.machine.name, run.task, run.run_id)
        )
        self.record.write(
            "start",
            task=run.task,
            run=run.run_id,
            worker=worker.id,
            fence=document["fencing_token"],
        )

    def note_stop(self, worker, run):
        """Record a stop that a runner has accepted."""
        self.record.write(
            "stop", task=run.task, run=run.run_id, worker=worker.id
        )

    def note_end(self, worker, run, how):
        """Record an end that a runner lists."""
        now = self.record.now()
        percent = run.percent(time.monotonic())
        self.ends.append(
            (now, worker.machine.name, run.task, run.run_id, how, percent)
        )
        self.record.write(
            "end", task=run.task, run=run.run_id, worker=worker.id, how=how
        )

    def note_gone(self, worker, run):
        """Record a run that ended with its runner."""
        now = self.record.now()
        percent = run.percent(time.monotonic())
        self.ends.append(
            (now, worker.machine.name, run.task, run.run_id, "gone", percent)
        )

    def note_seen(self, worker, end):
        """Record an end that was confirmed to a runner."""
        self.seen.append((self.record.now(), worker.id, *end))


# Entries.


class Entry:
    """One process of the project, started as the deploy file does."""

    def __init__(self, platform, number, folder, cores=2.0):
        self.platform = platform
        self.name = f"front-z1-{number + 1}"
        self.port, self.ready_port = free_port(), free_port()
        self.mesh_port, self.metrics_port = free_port(), free_port()
        self.folder = folder
        self.process = None
        self.settings = folder / f"{self.name}.env"
        self.settings.write_text(
            f"CROCUSROUTER_NAME={self.name}\n"
            "CROCUSROUTER_DATA_CENTRE=z1\n"
            f"CROCUSROUTER_IP={LOOPBACK}\n"
            f"CROCUSROUTER_LISTEN={LOOPBACK}:{self.port}\n"
            f"CROCUSROUTER_READY_LISTEN={LOOPBACK}:{self.ready_port}\n"
            f"CROCUSROUTER_MESH_PORT={self.mesh_port}\n"
            f"CROCUSROUTER_METRICS_PORT={self.metrics_port}\n"
            f"CROCUSROUTER_STORE_ADDRESS={LOOPBACK}:{platform.store_ports[number]}\n"
            "CROCUSROUTER_POLICY_ADDRESS=\n"
            f"CROCUSROUTER_VMS_ADDRESS={LOOPBACK}:{platform.cloud_port}\n"
            "CROCUSROUTER_CPU_SHARE=0.537\n"
            f"CROCUSROUTER_CORES={cores}\n"
            "CROCUSROUTER_GRACE_S=6\n"
            "CROCUSROUTER_KEEP_JOBS_S=120\n"
            "CROCUSROUTER_CONFIG_APPLY_MS=2000\n"
        )

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CROCUSROUTER_CONFIG"] = str(self.settings)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "crocusrouter",
                "entry",
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, wait_s=20.0):
        """Wait until the entry reports itself ready."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            answer = await call_http(
                self.ready_port, "GET", "/ready", {"Host": "x"}, wait_s=1.0
            )
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.send(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class Case:
    """A small deployment: platform, entries and a client."""

    def __init__(self, folder, entry_count, host="jobs.example"):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.platform = Platform(self.record)
        self.entry_count = entry_count
        self.entries = []
        self.host = host
        self.key = "key-1"
        self._logs = tempfile.TemporaryDirectory()
        self.logs = pathlib.Path(os.environ.get("LOGS") or self._logs.name)

    async def open(self, config):
        """Open the listeners."""
        await self.platform.open(self.entry_count)
        await self.platform.store.put("op/config", config)

    async def start_entries(self):
        """Start all entries; return whether they are ready."""
        for number in range(self.entry_count):
            entry = Entry(self.platform, number, self.logs)
            self.entries.append(entry)
            await entry.start()
        return all([await entry.wait_ready() for entry in self.entries])

    async def call(
        self, entry, method, path, document=None, key=None, wait_s=3.0
    ):
        """Make a requester's call and record it."""
        headers = {
            "Host": self.host,
            "Content-Type": "application/json",
            "X-Api-Key": key or self.key,
            "X-Deadline-Ms": str(int(wait_s * 1000)),
        }
        answer = await call_http(
            entry.port, method, path, headers, document, wait_s
        )
        self.record.write(
            "call",
            at=entry.name,
            what=f"{method} {path}",
            answer="none"
            if answer is None
            else f"{answer[0]} {json.dumps(answer[1])}",
        )
        return answer

    def find_owner(self, pool):
        """Return the entry that owns a pool; only to time a disruption."""
        value = self.platform.store.read_value(f"crocusrouter/sys/owner/{pool}")
        if value is None:
            return None
        name = value.decode().split(" ")[0]
        return next((e for e in self.entries if e.name == name), None)

    async def wait_for(self, check, wait_s, pause_s=0.05):
        """Wait until a check holds; return whether it does."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if check():
                return True
            await asyncio.sleep(pause_s)
        return False

    async def close(self):
        """Close everything."""
        for entry in self.entries:
            await entry.end()
        self._logs.cleanup()


def run_case(play, folder, entry_count):
    """Run `play(case)`; exit with its result, or 2 if it couldn't run."""

    async def main():
        case = Case(folder, entry_count)
        try:
            async with asyncio.timeout(115.0):
                return await play(case)
        except TimeoutError:
            case.record.write("the case took too long")
            return 2
        except Exception as error:
            case.record.write("the case has failed", error=repr(error))
            traceback.print_exc()
            return 2
        finally:
            await case.close()

    result = asyncio.run(main())
    sys.stdout.flush()
    os._exit(result)

"""A small deployment for the scripts of the second review.

Store, runners, machines and advice are stand-ins that follow the users' pages
and run in this process. Entries are real processes, started with the command
and the settings template of the deploy file. All addresses are loopback.
"""

import asyncio
import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "swapmatch"
OTHER_SERVICE = "stockroom"
HOST = "queue.example"
KEY = "key-of-a"
HEARTBEAT_S = 1.5
STOP_S = 0.1
# From when a runner says that it drains until it leaves.
DRAIN_S = 4.0
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 2.0
RESTART_DELAY_S = 0.5

Answer = tuple[int, dict[str, Any]]
Handler = Callable[
    [str, str, dict[str, str], dict[str, Any]], Awaitable[Answer]
]


def pick_address() -> str:
    """Return a loopback address on which nothing is likely to listen."""
    return "127.{}.{}.{}".format(*(random.randint(2, 250) for _ in range(3)))


def pick_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return int(listener.getsockname()[1])


class Record:
    """The log of a run: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class HttpServer:
    """A minimal HTTP/1.1 server for JSON bodies."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def open(self, address: str) -> None:
        """Listen on "IP:port"; port 0 picks a free one."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Reset all connections and stop listening, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_call(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split(" ", 2)
        headers: dict[str, str] = {}
        while (row := (await reader.readline()).strip()) != b"":
            name, _, value = row.decode().partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        document = json.loads(body) if body else {}
        status, answer = await self._handler(method, target, headers, document)
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                b"\x01\x00\x00\x00\x00\x00\x00\x00",
            )
    writer.transport.abort()


# The store.


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 100
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77_000
        self.server = HttpServer(self._answer)

    def put(self, key: str, value: Any) -> int:
        """Write a key as an operator or a runner does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self._apply([{"key": key, "value": data}], [])

    def remove(self, key: str) -> None:
        """Remove a key as an operator or a runner does."""
        if key in self.items:
            self._apply([], [key])

    async def expire_leases(self) -> None:
        """Remove the keys of ended leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (end, _) in list(self._leases.items()):
                if now >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        ended = [k for k, item in self.items.items() if item["lease"] == lease]
        if ended:
            self._apply([], ended)

    def _apply(self, writes: list[dict[str, Any]], removals: list[str]) -> int:
        self.revision += 1
        for row in writes:
            before = self.items.get(row["key"])
            item = {
                "key": row["key"],
                "value": row["value"],
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": row.get("lease", 0),
            }
            self.items[row["key"]] = item
            self._events.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self._events.append(
                    {"key": key, "revision": self.revision, "deleted": True}
                )
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        document: dict[str, Any],
    ) -> Answer:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        await asyncio.sleep(0.004)
        match path.split("/")[1:]:
            case ["kv-key"]:
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"at_rev": self.revision}
                return 200, item | {"at_rev": self.revision}
            case ["kv-range"]:
                return 200, self._range(query)
            case ["kv-watch"]:
                return 200, await self._watch(query)
            case ["kv-txn"]:
                return self._write(document)
            case ["kv-lease"]:
                self._next_lease += 1
                ttl_s = document["ttl_ms"] / 1000
                end = time.monotonic() + ttl_s
                self._leases[self._next_lease] = end, ttl_s
                return 200, {
                    "lease": self._next_lease,
                    "ttl_ms": document["ttl_ms"],
                }
            case ["kv-keep", lease]:
                if int(lease) not in self._leases:
                    return 404, {}
                _, ttl_s = self._leases[int(lease)]
                self._leases[int(lease)] = time.monotonic() + ttl_s, ttl_s
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            case ["kv-lease-end", lease]:
                if int(lease) in self._leases:
                    self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        found = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [self.items[key] for key in found[:500]],
            "has_more": len(found) > 500,
            "at_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, document: dict[str, Any]) -> Answer:
        expected = document["expected_rev"]
        current = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in current if item]}
        for row in document["writes"]:
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        revision = self._apply(document["writes"], document["remove"])
        return 200, {"revision": revision}


# Runners.


@dataclasses.dataclass
class Task:
    """One run on a runner.

    Attributes:
        name: ID.K.STEP.INDEX.
        run: Number of the run.
        step: The step as it was submitted.
        work_s: Seconds of work, or infinity.
        began_at: When the work began; None while a gang is incomplete.
        started_at: When the start was carried out.
        stop_at: When it ends because of a stop; None without one.
        done_s: Seconds of work that a checkpoint has brought along.
        pace: Percent of its speed.
    """

    name: str
    run: int
    step: dict[str, Any]
    work_s: float
    started_at: float
    began_at: float | None = None
    stop_at: float | None = None
    done_s: float = 0.0
    pace: int = 100
    load: int = 0


class Runner:
    """One life of a worker."""

    def __init__(
        self,
        fleet: "Fleet",
        machine: str,
        identity: str,
        labels: list[str],
        capacity: dict[str, int],
    ) -> None:
        self.fleet = fleet
        self.machine = machine
        self.identity = identity
        self.labels = labels
        self.capacity = capacity
        self.tasks: dict[str, Task] = {}
        self.ends: list[list[Any]] = []
        self.fence = 0
        self.state = "ready"
        self.is_up = False
        self.server = HttpServer(self._answer)
        self._born_at = time.monotonic()
        self._until_ms = 0.0
        self._ended_runs: dict[str, int] = {}
        self._end_count = 0
        self._changed = asyncio.Event()
        self._seq = 0

    @property
    def clock_ms(self) -> int:
        """The runner's own clock."""
        return int((time.monotonic() - self._born_at) * 1000) + 50_000

    def report(self) -> None:
        """Write the runner's entry into the store."""
        self._seq += 1
        self.fleet.store.put(
            f"servers/{self.identity}",
            {
                "service": self.fleet.services.get(self.machine, SERVICE),
                "address": self.server.address,
                "zone": "liege-hall",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "seq": self._seq,
            }
            | (
                {"remaining_ms": int(DRAIN_S * 1000)}
                if self.state == "draining"
                else {}
            ),
        )

    async def _answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        document: dict[str, Any],
    ) -> Answer:
        if target == "/health":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected and expected != self.identity:
            return 421, {"clock_ms": self.clock_ms}
        token = document.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence"}
        self.fence = token
        if target == "/hold":
            return await self._hold(document)
        if target == "/run-start":
            return self._start(document)
        if target == "/run-stop":
            return self._stop(document)
        if target == "/pace":
            task = self.tasks.get(document["task"])
            if task is not None and task.run == document["run_id"]:
                task.pace = document["percent"]
            return 200, {"clock_ms": self.clock_ms}
        return 404, {}

    def _extend(self, until_ms: float) -> None:
        longest = self.clock_ms + self.fleet.hold_max_ms
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    async def _hold(self, document: dict[str, Any]) -> Answer:
        seen = document.get("last_seen", 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        if "until_ms" in document:
            self._extend(document["until_ms"])
        deadline = time.monotonic() + document.get("wait_ms", 0) / 1000
        while not self.ends and (left_s := deadline - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return 200, {
            "clock_ms": self.clock_ms,
            "running": [
                [
                    task.name,
                    task.run,
                    self._save(task),
                    self._percent(task),
                    task.load,
                ]
                for task in self.tasks.values()
            ],
            "finished": self.ends[:500],
        }

    def _measure_work(self, task: Task) -> float:
        if task.began_at is None:
            return task.done_s
        return task.done_s + time.monotonic() - task.began_at

    def _percent(self, task: Task) -> int:
        if task.step.get("long_running"):
            begun = task.began_at is not None
            return 100 if begun and self._measure_work(task) > 0.5 else 0
        return min(99, int(100 * self._measure_work(task) / task.work_s))

    def _save(self, task: Task) -> str:
        if not task.step.get("checkpointing"):
            return ""
        worked = self._measure_work(task)
        if task.stop_at is None:
            worked = CHECKPOINT_S * (worked // CHECKPOINT_S)
        job, occurrence, step, _ = task.name.rsplit(".", 3)
        saved = f"{worked:.3f}/{job}.{occurrence}.{step}"
        return saved if worked > 0 else ""

    def _start(self, document: dict[str, Any]) -> Answer:
        name, run = document["task"], document["run_id"]
        known = self.tasks.get(name)
        if known is not None and known.run == run:
            return 200, {"clock_ms": self.clock_ms}
        if run <= self._ended_runs.get(name, 0):
            self._extend(document["until_ms"])
            return 409, {"clock_ms": self.clock_ms, "reason": "old"}
        if document["until_ms"] <= self.clock_ms:
            return 409, {"clock_ms": self.clock_ms, "reason": "late"}
        step = self.fleet.find_step(name)
        self._extend(document["until_ms"])
        used = collections.Counter[str]()
        for task in (*self.tasks.values(),):
            for kind in ("cpu", "mem_mb", "gpu"):
                used[kind] += _charge(task.step, kind)
        for kind in ("cpu", "mem_mb", "gpu"):
            if used[kind] + _charge(step, kind) > self.capacity[kind]:
                return 409, {"clock_ms": self.clock_ms, "reason": "room"}
        checkpoint = document.get("checkpoint", "")
        task = Task(
            name,
            run,
            step,
            self.fleet.find_work(name),
            time.monotonic(),
            done_s=float(checkpoint.partition("/")[0] or 0.0),
        )
        self.tasks[name] = task
        self.fleet.note_start(self, task, document)
        return 200, {"clock_ms": self.clock_ms}

    def _stop(self, document: dict[str, Any]) -> Answer:
        name, run = document["task"], document["run_id"]
        self._ended_runs[name] = max(run, self._ended_runs.get(name, 0))
        task = self.tasks.get(name)
        if task is not None and task.run <= run and task.stop_at is None:
            task.stop_at = time.monotonic() + STOP_S
            self.fleet.record.note(f"stop {name} run {run} on {self.machine}")
        return 200, {"clock_ms": self.clock_ms}

    def end(self, task: Task, how: str) -> None:
        """End a run and list its end."""
        if self.tasks.pop(task.name, None) is None:
            return
        self._end_count += 1
        self._ended_runs[task.name] = max(
            task.run, self._ended_runs.get(task.name, 0)
        )
        self.ends.append(
            [self._end_count, task.name, task.run, how, self._save(task)]
        )
        self.fleet.note_end(self, task, how)
        self._changed.set()
        self._changed = asyncio.Event()

    def advance(self, now: float) -> None:
        """End what is due."""
        if self.tasks and self.clock_ms >= self._until_ms:
            for task in list(self.tasks.values()):
                self.end(task, "lapsed")
        for task in list(self.tasks.values()):
            if task.name not in self.tasks:
                continue
            if task.stop_at is not None and now >= task.stop_at:
                self.end(task, "stopped")
            elif task.began_at is None:
                self.fleet.begin(self, task, now)
            elif (
                not task.step.get("long_running")
                and self._measure_work(task) >= task.work_s
            ):
                self.end(task, "done")


def _charge(step: dict[str, Any], kind: str) -> int:
    if kind == "cpu" and step.get("fills"):
        return 0
    return int(step.get(kind, 0))


class Fleet:
    """All runners, the machines below them, and what they have run."""

    def __init__(self, store: Store, record: Record, count: int) -> None:
        self.store = store
        self.record = record
        self.jobs: dict[str, dict[str, Any]] = {}
        self.runners: dict[str, Runner] = {}
        self.runs: list[dict[str, Any]] = []
        self.kinds: dict[str, str] = {}
        self.services: dict[str, str] = {}
        self.hold_max_ms = 10_000
        self._life = 0
        self._count = count
        self._addresses: dict[str, str] = {}
        self._ip = pick_address()

    async def open(self) -> None:
        """Start one runner on each machine."""
        for number in range(self._count):
            await self.start_runner(f"m{number}")

    async def start_runner(self, machine: str) -> None:
        """Start the next life of a machine's runner."""
        number = int(machine[1:])
        self._life += 1
        runner = Runner(
            self,
            machine,
            f"i-{self._life:04x}{number:04x}",
            [self.find_kind(number), f"r1-{number // 6}"],
            {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8},
        )
        await runner.server.open(self._addresses.get(machine, f"{self._ip}:0"))
        self._addresses[machine] = runner.server.address
        self.runners[machine] = runner
        runner.is_up = True
        runner.report()
        self.record.note(f"runner {runner.identity} starts on {machine}")

    def find_kind(self, number: int) -> str:
        """Return the kind of a machine, which is a label of its runners."""
        return self.kinds.get(f"m{number}", "a")

    async def crash(self, machine: str) -> None:
        """End a runner without a word; its connections are reset."""
        runner = self.runners[machine]
        runner.is_up = False
        await runner.server.close()
        for task in list(runner.tasks.values()):
            self.note_end(runner, task, "lost")
        runner.tasks.clear()
        self.record.note(f"runner {runner.identity} crashes on {machine}")
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.remove, f"servers/{runner.identity}"
        )

    async def drain(self, machine: str) -> None:
        """Let a runner drain and leave for good."""
        runner = self.runners[machine]
        runner.state = "draining"
        runner.report()
        self.record.note(f"runner {runner.identity} drains on {machine}")
        await asyncio.sleep(DRAIN_S)
        runner.is_up = False
        for task in list(runner.tasks.values()):
            self.note_end(runner, task, "lost")
        runner.tasks.clear()
        self.store.remove(f"servers/{runner.identity}")
        await runner.server.close()
        self.record.note(f"runner {runner.identity} has left {machine}")

    async def run(self) -> None:
        """Advance all runs and write heartbeats until cancelled."""
        next_beat = {name: time.monotonic() for name in self.runners}
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for name, runner in self.runners.items():
                if not runner.is_up:
                    continue
                runner.advance(now)
                if now >= next_beat[name]:
                    next_beat[name] = now + HEARTBEAT_S * random.uniform(0.9, 1)
                    runner.report()

    def find_step(self, task: str) -> dict[str, Any]:
        """Return the step of a task as it was submitted."""
        job, _, step, _ = task.rsplit(".", 3)
        steps: list[dict[str, Any]] = self.jobs[job]["steps"]
        return steps[int(step)]

    def find_work(self, task: str) -> float:
        """Return how many seconds a task works."""
        step = self.find_step(task)
        if step.get("long_running"):
            return float("inf")
        return float(step.get("est_duration_ms", 1000)) / 1000

    def list_beside(self, task: Task) -> list[tuple[Runner, Task]]:
        """Return all present runs of a task's step and run number."""
        prefix = task.name.rpartition(".")[0] + "."
        return [
            (runner, other)
            for runner in self.runners.values()
            for other in runner.tasks.values()
            if other.name.startswith(prefix) and other.run == task.run
        ]

    def begin(self, runner: Runner, task: Task, now: float) -> None:
        """Begin a task's work once its gang is complete."""
        if not task.step.get("gang"):
            task.began_at = now
            return
        members = self.list_beside(task)
        if len(members) == task.step["count"]:
            for _, member in members:
                member.began_at = now
        elif now - task.started_at > GANG_TIMEOUT_S:
            runner.end(task, "alone")

    def note_start(
        self, runner: Runner, task: Task, document: dict[str, Any]
    ) -> None:
        """Record a start."""
        self.record.note(
            f"start {task.name} run {task.run} on {runner.machine}"
            f" fence {document['fencing_token']}"
        )
        self.runs.append(
            {
                "task": task.name,
                "run": task.run,
                "machine": runner.machine,
                "at": time.monotonic(),
                "end": None,
                "how": "",
            }
        )

    def note_end(self, runner: Runner, task: Task, how: str) -> None:
        """Record the end of a run; the other members of a gang end too."""
        self.record.note(
            f"end {task.name} run {task.run} on {runner.machine}: {how}"
        )
        for row in reversed(self.runs):
            if (row["task"], row["run"]) == (task.name, task.run):
                row["end"], row["how"] = time.monotonic(), how
                break
        if task.step.get("gang") and task.began_at is not None:
            for other_runner, other in self.list_beside(task):
                if other is not task:
                    other.began_at = None
                    other_runner.end(
                        other, "done" if how == "done" else "broken"
                    )


# Entries.


def render_settings(template: str, fields: dict[str, Any]) -> str:
    """Fill the deploy file's template as the platform does."""
    template = re.sub(r"\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}\n?", "", template)

    def fill(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            value = value[int(part) if part.isdigit() else part]
        return str(value)

    return re.sub(r"\{\{([^}#/^]+)\}\}", fill, template)


class Entry:
    """One machine of the system and its process."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_address: str,
        cloud_address: str,
        record: Record,
    ) -> None:
        self.name = f"front-liege-hall-{number}"
        self.ip = pick_address()
        self.front = f"{self.ip}:{pick_port(self.ip)}"
        self.ready = f"{self.ip}:{pick_port(self.ip)}"
        self.is_wanted = True
        self.exits: list[int] = []
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self._record = record
        self._settings_path = folder / f"{self.name}.env"
        self._log_path = folder / f"{self.name}.log"
        template = (ROOT / "deploy" / "entry.env.in").read_text()
        self._settings_path.write_text(
            render_settings(
                template,
                {
                    "node": self.name,
                    "zone": "liege-hall",
                    "ip": self.ip,
                    "listen": {"front": self.front, "ready": self.ready},
                    "internal_ports": [pick_port(self.ip)],
                    "platform": {"address": store_address},
                    "advice": "",
                    "cloud": {"address": cloud_address},
                    "limits": {"cpu_share": 0.537, "cores": 2},
                    "bounds": {
                        "grace_s": 6,
                        "status_s": 120,
                        "config_apply_ms": 2000,
                    },
                },
            )
        )

    async def run(self) -> None:
        """Keep the process running, as the platform does, until cancelled."""
        while self.is_wanted:
            await self.start()
            assert self.process is not None
            code = await self.process.wait()
            self.exits.append(code)
            self._record.note(f"process of {self.name} ended: {code}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with self._log_path.open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crocusrouter",
                "entry",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CROCUSROUTER_CONFIG": str(self._settings_path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        self.starts += 1
        self.started_at = time.monotonic()
        self._record.note(f"process of {self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._record.note(f"{number.name} to {self.name}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """End the process for good."""
        self.is_wanted = False
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def call_http(
    address: str,
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Make one call on a connection of its own; status 0 without an answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = (
                json.dumps(document).encode() if document is not None else b""
            )
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Api-Key: {KEY}\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            data = await reader.read()
            head, _, content = data.partition(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            try:
                return status, json.loads(content) if content else {}
            except ValueError:
                return status, {}
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()


QUEUES = {
    "urgent": ("/urgent/", 0, 2, 1.5, 250),
    "batch": ("/batch/", 1, 3, 3.0, 1000),
    "idle": ("/idle/", 2, 4, 3.0, 3000),
}


def build_config(
    version: int, services: dict[str, str] | None = None
) -> dict[str, Any]:
    """Return a configuration with three queues and one tenant.

    Args:
        version: Its version.
        services: The service of each queue that has another one than the
            usual.
    """
    services = services or {}
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "host": HOST,
                "prefix": prefix,
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": target_ms,
                "priority": priority,
                "service": services.get(name, SERVICE),
                "max_attempts": attempts,
                "slack_factor": slack,
                "public": False,
            }
            for name, (prefix, priority, attempts, slack, target_ms) in (
                QUEUES.items()
            )
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "admission_check": True,
                "standby": False,
            }
            for service in (SERVICE, OTHER_SERVICE)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "a",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpu": 32},
            }
        ],
    }


class Deployment:
    """Store, runners and entries of one case."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        entry_count: int,
        runner_count: int,
    ) -> None:
        self.record = record
        self.store = Store()
        self.fleet = Fleet(self.store, record, runner_count)
        self.entries: list[Entry] = []
        self.queue_services: dict[str, str] = {}
        self._folder = folder
        self._entry_count = entry_count
        self._tasks: list[asyncio.Task[None]] = []
        self._job_number = random.getrandbits(48) << 12

    async def open(self) -> None:
        """Start everything; return once all entries are ready."""
        await self.store.server.open(f"{pick_address()}:0")
        self.store.put("op/config", build_config(7, self.queue_services))
        await self.fleet.open()
        self._spawn(self.store.expire_leases())
        self._spawn(self.fleet.run())
        for number in range(self._entry_count):
            entry = Entry(
                number + 1,
                self._folder,
                self.store.server.address,
                "",
                self.record,
            )
            self.entries.append(entry)
            self._spawn(entry.run())
        async with asyncio.timeout(25):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def is_ready(self, entry: Entry) -> bool:
        """Ask an entry as the platform's ingress does."""
        status, _ = await call_http(entry.ready, "GET", "/ready", None, 1.0)
        return status == 200

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for entry in self.entries:
            await entry.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.store.server.close()
        for runner in self.fleet.runners.values():
            await runner.server.close()

    def count_running(self) -> int:
        """Return how many runs there are on runners that are up."""
        return sum(
            len(runner.tasks)
            for runner in self.fleet.runners.values()
            if runner.is_up
        )

    async def call(
        self, method: str, path: str, document: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Call as a requester: up to four tries, each at another entry."""
        status, answer = 0, {}
        entries = random.sample(self.entries, len(self.entries))
        for attempt in range(5):
            entry = entries[attempt % len(entries)]
            status, answer = await call_http(
                entry.front, method, path, document
            )
            self.record.note(
                f"{method} {path} at {entry.name}: {status} {answer}"
            )
            if status and status not in (429, 502, 503, 504):
                break
            await asyncio.sleep(1.0)
        return status, answer

    async def submit(
        self, queue: str, steps: list[dict[str, Any]], **fields: Any
    ) -> str:
        """Submit a job; return its path, or an empty string."""
        self._job_number += 1
        job = f"{self._job_number:016x}"
        document = {"spec": f"spec of {job}", "steps": steps} | fields
        self.fleet.jobs[job] = document
        path = QUEUES[queue][0] + job
        self.record.note(f"job {job}: {json.dumps(document)}")
        status, _ = await self.call("POST", path, document)
        return path if status == 200 else ""

    async def find_state(self, path: str) -> str:
        """Return a job's state as shown to its requester."""
        status, answer = await self.call("GET", path)
        return str(answer.get("state", status))


async def run_case(
    case: Callable[[Deployment, bool], Awaitable[bool]],
    record_path: pathlib.Path,
    entry_count: int,
    runner_count: int,
    prepare: Callable[[Deployment], None] | None = None,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, else 2.

    Args:
        case: Plays the case; told whether to bring trouble about, it returns
            whether the rule was broken.
        record_path: Where the record is written.
        entry_count: Number of entries.
        runner_count: Number of runners.
        prepare: Called before anything is started.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    this_task = asyncio.current_task()
    assert this_task is not None
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, this_task.cancel
    )
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as folder:
        log_folder = pathlib.Path(os.environ.get("LOGS", folder))
        deployment = Deployment(record, log_folder, entry_count, runner_count)
        if prepare is not None:
            prepare(deployment)
        try:
            async with asyncio.timeout(110):
                await deployment.open()
                is_broken = await case(deployment, trouble)
        except (Exception, asyncio.CancelledError) as error:
            record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.close()
    record.note(f"the rule was {'broken' if is_broken else 'kept'}")
    record.close()
    return 1 if is_broken else 0

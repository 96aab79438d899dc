"""Stand-ins of the platform for the scripts of the review, on loopback.

They follow the users' PROTOCOL page: a key-value service with leases and
watches, and runners with leases, fences, run numbers and lists of ends. Only
the standard library is used. Every script builds a `Lab`, which also starts the
entry processes as the deploy file does and ends them.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "swapmatch"
HOST = "queue.example"
PREFIX = "/match/"
API_KEY = "key-of-a"
CONFIG_KEY = "op/config"
HEARTBEAT_S = 1.5
# An entry of the list of runners is removed after three missed heartbeats.
DELIST_S = 3 * HEARTBEAT_S
HOLD_MAX_MS = 10_000
STOP_S = 0.15
# A checkpointing task saves this often, and resumes after this time.
SAVE_S = 2.0
RESTORE_S = 0.6
ANSWER_S = 0.004
TICK_S = 0.01
HANG = "hang"
RESET = "reset"
Answer = tuple[int, dict[str, Any]] | str
Handler = Callable[
    [str, str, dict[str, str], dict[str, str], dict[str, Any]],
    Awaitable[Answer],
]


class Record:
    """Writes what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.broken: list[str] = []

    def note(self, text: str) -> None:
        """Write one line."""
        passed_s = time.monotonic() - self._started_at
        self._file.write(f"{passed_s:9.3f}  {text}\n")
        self._file.flush()

    def note_broken(self, rule: str, text: str) -> None:
        """Write that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")


# HTTP.


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes] | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def serve(
    handler: Handler,
    writers: set[asyncio.StreamWriter] | None = None,
    port: int = 0,
) -> tuple[Any, int]:
    """Serve JSON calls on 127.0.0.1; return the server and its port.

    Args:
        handler: Answers a call.
        writers: Kept equal to the open connections.
        port: Port to listen on; 0 for any.
    """
    open_writers = writers if writers is not None else set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        open_writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                method, target, headers, body = request
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                document = json.loads(body) if body else {}
                answer = await handler(
                    method, url.path, query, headers, document
                )
                if answer == HANG:
                    # The connection stays open and answers nothing further.
                    await reader.read()
                    return
                if isinstance(answer, str):
                    _reset(writer)
                    return
                status, content = answer
                payload = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            # The script is over.
            return
        finally:
            open_writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", port)
    return server, server.sockets[0].getsockname()[1]


# The key-value service.


@dataclasses.dataclass
class Item:
    """One key's value."""

    value: str
    revision: int
    created: int
    lease: int


class Store:
    """The platform's key-value service.

    Attributes:
        mode: "up", "busy" (503), "hang" or "reset", for all callers.
        modes: The same for single callers, by name.
    """

    def __init__(self, record: Record) -> None:
        self.mode = "up"
        self.modes: dict[str, str] = {}
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._record = record
        self.beats: dict[str, float] = {}

    def find_mode(self, caller: str) -> str:
        """Return how calls of a caller are treated now."""
        return self.mode if self.mode != "up" else self.modes.get(caller, "up")

    def set_mode(self, mode: str) -> None:
        """Begin or end an outage; waiting watches are cut."""
        self._record.note(f"store: {mode}")
        self.mode = mode
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key as the operator and the runners do."""
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._history.append((self.revision, self._show(key)))

    def remove(self, key: str) -> None:
        """Remove one key."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._wake()

    def _delete(self, key: str) -> None:
        del self.items[key]
        row = {"key": key, "revision": self.revision, "deleted": True}
        self._history.append((self.revision, row))

    def _show(self, key: str) -> dict[str, Any]:
        return {"key": key, **dataclasses.asdict(self.items[key])}

    def tick(self) -> None:
        """Remove what has expired; leases run out also while it is down."""
        now = time.monotonic()
        ended = {n for n, (_, end) in self._leases.items() if end <= now}
        for number in ended:
            del self._leases[number]
        for key in [k for k, i in self.items.items() if i.lease in ended]:
            self.remove(key)
        for key, beat_at in list(self.beats.items()):
            if now > beat_at + DELIST_S:
                del self.beats[key]
                self._record.note(f"store: {key} has expired")
                self.remove(key)

    def beat(self, key: str, value: bytes) -> bool:
        """Store a runner's report about itself; False while it is down."""
        if self.mode != "up":
            return False
        self.beats[key] = time.monotonic()
        self.put(key, value)
        return True

    def build_handler(self, caller: str) -> Handler:
        """Return the handler of one caller's connections."""

        async def handle(
            method: str,
            path: str,
            query: dict[str, str],
            headers: dict[str, str],
            document: dict[str, Any],
        ) -> Answer:
            await asyncio.sleep(ANSWER_S)
            mode = self.find_mode(caller)
            if mode == "busy":
                return 503, {}
            if mode != "up":
                return mode
            if path == "/kv-watch":
                return await self._watch(caller, query)
            answer = self._answer(path, query, document)
            mode = self.find_mode(caller)
            return answer if mode in ("up", "busy") else mode

        return handle

    def _answer(
        self, path: str, query: dict[str, str], document: dict[str, Any]
    ) -> Answer:
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"at_rev": self.revision}
            return 200, self._show(key) | {"at_rev": self.revision}
        if path == "/kv-range":
            after = query.get("after", "")
            found = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > after
            )
            return 200, {
                "items": [self._show(k) for k in found[:500]],
                "has_more": len(found) > 500,
                "at_rev": self.revision,
            }
        if path == "/kv-txn":
            return self._write(document)
        if path == "/kv-lease":
            self.revision += 1
            ttl_s = document["ttl_ms"] / 1000
            self._leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.revision, "ttl_ms": document["ttl_ms"]}
        number = int(path.rsplit("/", 1)[1])
        if number not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self._leases[number][0]
            self._leases[number] = (ttl_s, time.monotonic() + ttl_s)
        else:
            self._leases[number] = (0.0, 0.0)
        return 200, {}

    def _write(self, document: dict[str, Any]) -> Answer:
        rows = document.get("expected_rev", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [
                    self._show(r["key"]) for r in rows if r["key"] in self.items
                ]
                return 412, {"items": current}
        for write in document.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self._leases:
                return 404, {}
        self.revision += 1
        for write in document.get("writes", []):
            self._set(write["key"], write["value"], write.get("lease", 0))
        for key in document.get("remove", []):
            if key in self.items:
                self._delete(key)
        self._wake()
        return 200, {"revision": self.revision}

    async def _watch(self, caller: str, query: dict[str, str]) -> Answer:
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            mode = self.find_mode(caller)
            if mode != "up":
                return (503, {}) if mode == "busy" else mode
            events = [
                row
                for revision, row in self._history
                if revision > after and row["key"].startswith(query["prefix"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


# Runners.


@dataclasses.dataclass
class Run:
    """One run of one task on a runner."""

    task: str
    number: int
    started_at: float
    ends_at: float
    how: str = "done"
    checkpoint: str = ""
    saves: bool = False

    def save(self, now: float, work_s: float) -> None:
        """Renew the checkpoint every two seconds of work."""
        if not self.saves:
            return
        done_s = work_s - (self.ends_at - now)
        if done_s - float(self.checkpoint or 0) >= SAVE_S:
            self.checkpoint = f"{done_s:.3f}"


class Runner:
    """One runner: its runs, lease, fence and list of ends.

    Attributes:
        mode: "up", "hang" or "reset" for all calls that come from now on.
        on_start: Called after a start has been carried out.
        on_renewal: Called with the fence of a poll that has renewed the lease.
    """

    def __init__(
        self,
        lab: "Lab",
        name: str,
        rack: str,
        gpus: int = 8,
        labels: tuple[str, ...] = (),
        port: int = 0,
        clock_rate: float = 1.0,
    ) -> None:
        self.name = name
        self.mode = "up"
        self.alive = True
        self.state = "ready"
        self.on_start: Callable[[str, int], None] = lambda task, run: None
        self.on_renewal: Callable[[int], None] = lambda fence: None
        self.runs: dict[str, Run] = {}
        self._lab = lab
        self._record = lab.record
        self._clock_rate = clock_rate
        self._labels = ["a", rack, *labels]
        self._gpus = gpus
        self.fence = 0
        self._lease_ms = 0.0
        self._number = 0
        self._ends: list[tuple[int, str, int, str, str]] = []
        self._highest: dict[str, int] = {}
        self._born_at = time.monotonic()
        self._sequence = 0
        self._end_listed = asyncio.Event()
        self.port = port
        self._server: Any = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, and report itself for the first time."""
        self._server, self.port = await serve(
            self.handle, self._writers, self.port
        )
        self.beat()

    def beat(self) -> None:
        """Write its entry into the platform's list."""
        self._sequence += 1
        document = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.port}",
            "zone": "liege-hall",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "seq": self._sequence,
            "capacity": {
                "cpu": 32_000,
                "mem_mb": 131_072,
                "gpu": self._gpus,
            },
            "labels": self._labels,
        }
        key = f"servers/{self.name}"
        was_listed = key in self._lab.store.items
        stored = self._lab.store.beat(key, json.dumps(document).encode())
        if stored and not was_listed:
            self._record.note(f"{self.name}: listed")

    def read_clock(self) -> float:
        """Return the milliseconds of its steady clock."""
        passed_s = time.monotonic() - self._born_at
        return 1000 + passed_s * 1000 * self._clock_rate

    def cut(self) -> None:
        """Cut it off from all machines and the store; its runs go on."""
        self._record.note(f"{self.name}: is cut off with {sorted(self.runs)}")
        self.mode = RESET
        for writer in list(self._writers):
            _reset(writer)

    def crash(self) -> None:
        """End the process with all runs."""
        self._record.note(f"{self.name}: crashes with {sorted(self.runs)}")
        self.alive = False
        self.runs.clear()
        self.mode = RESET
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    def tick(self) -> None:
        """End what is over."""
        if not self.alive:
            return
        now = time.monotonic()
        has_lapsed = self.read_clock() > self._lease_ms
        for run in list(self.runs.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif now >= run.ends_at:
                self._end(run, run.how)
            else:
                run.save(now, self._lab.find_work(run.task)[0])

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._number += 1
        self._ends.append(
            (self._number, run.task, run.number, how, run.checkpoint)
        )
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self._record.note(f"{self.name}: {run.task} run {run.number} {how}")
        self._lab.note_end(run.task, self.name, run.number, how)
        self._end_listed.set()
        self._end_listed = asyncio.Event()

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        document: dict[str, Any],
    ) -> Answer:
        """Answer one call."""
        await asyncio.sleep(0.0005)
        if self.mode != "up":
            return self.mode
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": int(self.read_clock())}
        token = document.get("fencing_token", 0)
        if token < self.fence:
            self._record.note(f"{self.name}: {path} with an old fence {token}")
            return 409, {
                "clock_ms": int(self.read_clock()),
                "reason": "fence",
            }
        self.fence = token
        answer: Answer
        if path == "/hold":
            answer = await self._hold(document)
        elif path == "/run-start":
            answer = self._start(document)
        else:
            answer = self._stop(document)
        return answer if self.mode == "up" else self.mode

    def _extend(self, document: dict[str, Any]) -> None:
        if "until_ms" in document:
            limit = self.read_clock() + HOLD_MAX_MS
            until_ms = min(limit, document["until_ms"])
            self._lease_ms = max(self._lease_ms, until_ms)

    async def _hold(self, document: dict[str, Any]) -> Answer:
        self._extend(document)
        if "until_ms" in document:
            self.on_renewal(self.fence)
        seen = document.get("last_seen", 0)
        forgotten = [row for row in self._ends if row[0] <= seen]
        self._ends = [row for row in self._ends if row[0] > seen]
        for row in forgotten:
            self._record.note(f"{self.name}: end {row[0]} of {row[1]} is noted")
            self._lab.note_seen(row[1], row[2], row[3])
        wait_s = document.get("wait_ms", 0) / 1000
        if wait_s and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), wait_s)
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                run.checkpoint,
                int(
                    100
                    * (now - run.started_at)
                    / (run.ends_at - run.started_at)
                ),
                0,
            ]
            for run in self.runs.values()
        ]
        return 200, {
            "clock_ms": int(self.read_clock()),
            "running": running,
            "finished": [list(row) for row in self._ends[:500]],
        }

    def _start(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        clock_ms = int(self.read_clock())
        if document["until_ms"] <= clock_ms:
            return 409, {"clock_ms": clock_ms, "reason": "late"}
        self._extend(document)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {"clock_ms": clock_ms}
        if number <= self._highest.get(task, 0):
            return 409, {"clock_ms": clock_ms, "reason": "old"}
        used = sum(self._lab.find_gpus(other) for other in self.runs)
        if run is not None or used + self._lab.find_gpus(task) > self._gpus:
            return 409, {"clock_ms": clock_ms, "reason": "room"}
        now = time.monotonic()
        duration_s, how = self._lab.find_work(task)
        saved = document.get("checkpoint", "")
        if saved:
            duration_s += RESTORE_S - float(saved)
        self.runs[task] = Run(
            task,
            number,
            now,
            now + duration_s,
            how,
            saved,
            self._lab.saves(task),
        )
        self._record.note(
            f"{self.name}: {task} run {number} starts, fence {self.fence}"
            + (f", from {saved} s" if saved else "")
        )
        self._lab.note_start(task, self.name, number, document["spec"])
        self.on_start(task, number)
        return 200, {"clock_ms": clock_ms}

    def _stop(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.how = "stopped"
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_S)
            self._record.note(f"{self.name}: {task} run {number} is stopped")
        else:
            highest = self._highest.get(task, 0)
            self._highest[task] = max(highest, number)
        return 200, {"clock_ms": int(self.read_clock())}


# The whole.


@dataclasses.dataclass
class Job:
    """A job as its requester knows it."""

    id: str
    body: dict[str, Any]
    work_s: list[float]
    how: list[str]
    spec: str
    answers: list[str] = dataclasses.field(default_factory=list)
    accepted_at: float | None = None
    cancelled: bool = False


def _read_template(values: dict[str, str]) -> str:
    """Fill in the deploy file's template of settings."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    text = (ROOT / roles["entry"]["template"]).read_text()
    text = re.sub(r"\{\{#.*?\}\}.*?\{\{/.*?\}\}", "", text)
    return re.sub(
        r"\{\{(.*?)\}\}", lambda match: values.get(match[1], ""), text
    )


def _find_run_words() -> list[str]:
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    program, *words = shlex.split(roles["entry"]["run"])
    return [sys.executable if program == "python3" else program, *words]


class Lab:
    """Store, runners, entries and requesters of one script."""

    def __init__(self, folder: pathlib.Path, seed: int = 0) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.random = random.Random(seed)
        self.runners: dict[str, Runner] = {}
        self.jobs: dict[str, Job] = {}
        self.entries: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self.done: dict[str, tuple[str, int]] = {}
        self.seen_done: dict[str, float] = {}
        self._environments: dict[str, dict[str, str]] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._tasks: list[asyncio.Task[None]] = []

    # What runs.

    def find_gpus(self, task: str) -> int:
        """Return the accelerators that a task needs."""
        job, _, step, _ = task.split(".")
        return int(self.jobs[job].body["steps"][int(step)].get("gpu", 0))

    def saves(self, task: str) -> bool:
        """Return whether a task checkpoints its progress."""
        job, _, step, _ = task.split(".")
        return bool(
            self.jobs[job].body["steps"][int(step)].get("checkpointing")
        )

    def find_work(self, task: str) -> tuple[float, str]:
        """Return for how long a task works, and how it ends."""
        job, _, step, _ = task.split(".")
        return self.jobs[job].work_s[int(step)], self.jobs[job].how[int(step)]

    def note_start(self, task: str, runner: str, run: int, spec: str) -> None:
        """Check a start by the rules TWICE and UNASKED."""
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.spec != spec:
            self.record.note_broken("UNASKED", f"{task} on {runner}")
        for other in self.runners.values():
            old = other.runs.get(task)
            if other.name != runner and other.alive and old is not None:
                self.record.note_broken(
                    "TWICE",
                    f"{task} starts as run {run} on {runner} while run "
                    f"{old.number} is at work on {other.name}",
                )
        if task in self.seen_done:
            self.record.note_broken(
                "TWICE", f"{task} starts on {runner}, but its end was noted"
            )

    def note_end(self, task: str, runner: str, run: int, how: str) -> None:
        """Remember where a task was done."""
        if how == "done":
            self.done[task] = (runner, run)

    def note_seen(self, task: str, run: int, how: str) -> None:
        """Remember that an end was taken note of."""
        if how == "done":
            self.seen_done[task] = time.monotonic()

    async def add_runner(
        self, name: str, rack: str = "r1", **more: Any
    ) -> Runner:
        """Start a runner; it reports itself at once, then every 1.5 s."""
        runner = Runner(self, name, rack, **more)
        self.runners[name] = runner
        await runner.open()
        self._tasks.append(asyncio.create_task(self._beat(runner)))
        return runner

    async def _beat(self, runner: Runner) -> None:
        while runner.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if runner.alive and runner.mode == "up":
                runner.beat()

    async def _tick(self) -> None:
        while True:
            self.store.tick()
            for runner in list(self.runners.values()):
                runner.tick()
            await asyncio.sleep(TICK_S)

    # Entries.

    async def start(self, entry_count: int, apply_ms: int = 2000) -> None:
        """Write the config and start the entries."""
        self._tasks.append(asyncio.create_task(self._tick()))
        self.write_config()
        for number in range(entry_count):
            name = f"front-{number + 1}"
            _, store_port = await serve(self.store.build_handler(name))
            self._prepare_entry(name, store_port, apply_ms)
            self.start_entry(name)

    def write_config(self, version: int = 1) -> None:
        """Write the operator's config."""
        route = {
            "name": "q",
            "host": HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 1,
            "max_attempts": 3,
            "slack_factor": 2.0,
            "target_duration_ms": 1000,
        }
        config = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "admission_check": True}],
            "tenants": [{"name": "a", "api_keys": [API_KEY]}],
            "limits": {},
        }
        self.store.put(CONFIG_KEY, json.dumps(config).encode())

    def _prepare_entry(self, name: str, store_port: int, apply_ms: int) -> None:
        sockets = [socket.socket() for _ in range(4)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        front, ready, mesh, metrics = (s.getsockname()[1] for s in sockets)
        for each in sockets:
            each.close()
        self.ports[name] = front
        values = {
            "node": name,
            "zone": "liege-hall",
            "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{front}",
            "listen.ready": f"127.0.0.1:{ready}",
            "internal_ports.0": str(mesh),
            "platform.address": f"127.0.0.1:{store_port}",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "bounds.grace_s": "6",
            "bounds.status_s": "120",
            "bounds.config_apply_ms": str(apply_ms),
        }
        path = self.folder / f"{name}.env"
        path.write_text(_read_template(values))
        self._environments[name] = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CROCUSROUTER_CONFIG": str(path),
            # All entries share one address here.
            "CROCUSROUTER_METRICS_PORT": str(metrics),
        }

    def start_entry(self, name: str) -> None:
        """Start an entry's process."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.entries[name] = subprocess.Popen(
                _find_run_words(),
                cwd=ROOT,
                env=self._environments[name],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.note(f"{name}: process starts")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an entry's process."""
        self.record.note(f"{name}: {number.name}")
        self.entries[name].send_signal(number)

    def find_owner(self) -> str:
        """Return the entry that the owner key names; empty for none.

        Only the choice of the process that is disturbed rests on this.
        """
        for key, item in self.store.items.items():
            if key.startswith("crocusrouter/sys/owner/"):
                return base64.b64decode(item.value).decode().split()[0]
        return ""

    # Requesters.

    def make_job(
        self,
        steps: list[dict[str, Any]],
        work_s: list[float],
        how: list[str] | None = None,
        spec: str = "swap",
    ) -> Job:
        """Prepare a job."""
        job = Job(
            f"{self.random.getrandbits(64):016x}",
            {"spec": spec, "steps": steps},
            work_s,
            how or ["done"] * len(steps),
            spec,
        )
        self.jobs[job.id] = job
        return job

    async def call(
        self,
        method: str,
        job_id: str,
        body: dict[str, Any] | None = None,
        entry: str = "",
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call at an entry; status 0 without a whole answer."""
        name = entry or self.random.choice(list(self.ports))
        status, document = 0, {}
        try:
            async with asyncio.timeout(timeout_s):
                status, document = await _call(
                    self.ports[name], method, PREFIX + job_id, body
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        if method != "GET":
            self.record.note(f"{method} {job_id} at {name}: {status or '-'}")
        return status, document

    async def submit(self, job: Job, tries: int = 5) -> bool:
        """Hand a job in, again after no answer or a refusal."""
        for _ in range(tries):
            status, _ = await self.call("POST", job.id, job.body)
            job.answers.append(str(status))
            if status == 200:
                job.accepted_at = time.monotonic()
                return True
            await asyncio.sleep(0.6)
        return False

    async def read_state(self, job: Job) -> str:
        """Return a job's state; "410" or "" without one."""
        status, document = await self.call("GET", job.id)
        if status == 200:
            return str(document["state"])
        return "410" if status == 410 else ""

    async def wait_for_state(
        self, job: Job, states: tuple[str, ...], timeout_s: float
    ) -> str:
        """Poll until a job has one of some states; return the last state."""
        until = time.monotonic() + timeout_s
        state = ""
        while time.monotonic() < until:
            state = await self.read_state(job)
            if state in states:
                break
            await asyncio.sleep(0.1)
        self.record.note(f"GET {job.id}: {state or 'no answer'}")
        return state

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for a condition of the stand-ins."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.005)
        return condition()

    async def wait_until_serving(self) -> None:
        """Wait until every entry counts pending jobs."""
        for name in self.ports:
            for _ in range(300):
                status, _ = await self.call("GET", "", entry=name)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{name} does not serve")

    def stop(self, keep_logs: pathlib.Path | None = None) -> None:
        """End all processes."""
        for process in self.entries.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if keep_logs is not None:
            keep_logs.mkdir(exist_ok=True)
            for path in self.folder.glob("*.log"):
                (keep_logs / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


async def _call(
    port: int, method: str, path: str, body: dict[str, Any] | None
) -> tuple[int, dict[str, Any]]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        content = json.dumps(body).encode() if body is not None else b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Api-Key: {API_KEY}\r\nX-Deadline-Ms: 3000\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        found = re.search(r"(?i)content-length: *(\d+)", head)
        payload = await reader.readexactly(int(found[1]) if found else 0)
        document = json.loads(payload) if payload.startswith(b"{") else {}
        return status, document
    finally:
        writer.close()


def run_case(
    case: Callable[[Lab, bool], Awaitable[None]],
    folder: pathlib.Path,
    *,
    has_trouble: bool,
    limit_s: float = 110.0,
) -> int:
    """Play a case; return 1 if a rule was broken, 0 if not, 2 if it failed."""
    lab = Lab(folder, int(os.environ.get("SEED", "1")))
    lab.record.note(f"trouble: {has_trouble}")

    async def play() -> None:
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are of no interest.
        loop.set_exception_handler(lambda *_: None)
        async with asyncio.timeout(limit_s):
            await case(lab, has_trouble)

    code = 2
    logs = os.environ.get("KEEP_LOGS")
    try:
        asyncio.run(play())
        code = 1 if lab.record.broken else 0
    except Exception as error:  # The script must say that it couldn't run.
        lab.record.note(f"could not run: {error!r}")
    finally:
        lab.stop(pathlib.Path(logs) if logs else None)
    if code == 2 and lab.record.broken:
        code = 1
    lab.record.note(f"exit {code}; broken: {len(lab.record.broken)}")
    for line in lab.record.broken:
        print(line)
    return code

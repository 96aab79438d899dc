"""Starts the platform's stand-ins and the project's entries."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
from typing import Any
from typing import NoReturn

from rig3 import runner as runners
from rig3 import store as stores
from rig3 import web

HOST = "queue.example"
KEY = "key-of-a"
SERVICE = "match"
PREFIX = "/match/"
ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLER_WAIT_MS = 3000


# Below the ports that the kernel gives to connections, so that none of these
# takes a port between its choice and its use.
_FIRST_PORT, _LAST_PORT = 20_000, 29_999
_taken_ports: set[int] = set()


def take_port() -> int:
    """Return a free loopback port."""
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


class Entry:
    """One process of the project, with the deploy file's command."""

    def __init__(
        self, name: str, zone: str, store_port: int, folder: pathlib.Path
    ) -> None:
        """Prepare; `start` starts the process."""
        self.name = name
        self.port = take_port()
        self.ready_port = take_port()
        self.mesh_port = take_port()
        self.settings_path = folder / f"{name}.env"
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        fields = {
            "NAME": name,
            "DATA_CENTRE": zone,
            "IP": "127.0.0.1",
            "LISTEN": f"127.0.0.1:{self.port}",
            "READY_LISTEN": f"127.0.0.1:{self.ready_port}",
            "MESH_PORT": str(self.mesh_port),
            "METRICS_PORT": str(take_port()),
            "STORE_ADDRESS": f"127.0.0.1:{store_port}",
            "POLICY_ADDRESS": "",
            "VMS_ADDRESS": "",
            "CPU_SHARE": "0.537",
            "CORES": "2",
            "GRACE_S": "6",
            "KEEP_JOBS_S": "120",
            "CONFIG_APPLY_MS": "2000",
        }
        self.fields = fields

    def write_settings(self) -> None:
        """Write the settings file as the platform fills the template."""
        lines = [f"CROCUSROUTER_{k}={v}" for k, v in self.fields.items()]
        self.settings_path.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._starts += 1
        path = self._folder / f"{self.name}-{self._starts}.log"
        with path.open("wb") as output:
            self._process = subprocess.Popen(
                ["python3", "-m", "crocusrouter", "entry"],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CROCUSROUTER_CONFIG": str(self.settings_path),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Deployment:
    """Store, runners, entries and one caller, with a record of all."""

    def __init__(self, entries: int, machines: int) -> None:
        """Prepare; `run` starts everything."""
        self.began_at = time.monotonic()
        self.rows: list[dict[str, Any]] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.store = stores.Store()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._entry_count = entries
        self.entries: list[Entry] = []
        self.version = 0
        self.routes = [
            {
                "name": "q",
                "host": HOST,
                "prefix": PREFIX,
                "service": SERVICE,
                "priority": 1,
                "max_attempts": 3,
                "slack_factor": 2.0,
                "target_duration_ms": 1000,
            }
        ]
        self.services = [{"name": SERVICE, "admission_check": True}]
        self.tenants = [
            {"name": "a", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
        ]
        self.runners = [
            runners.Runner(
                f"m{number}",
                SERVICE,
                f"zone-{number % 2}",
                ["kind-a", f"rack-{number // 6}"],
                self.store,
                self.find_step,
                self.note,
            )
            for number in range(machines)
        ]

    def note(self, what: str, **facts: Any) -> None:
        """Record one event."""
        at = round(time.monotonic() - self.began_at, 3)
        self.rows.append({"at": at, "what": what} | facts)

    def find_step(self, task: str) -> dict[str, Any] | None:
        """Return the submitted step of a task."""
        job, _, step, _ = task.split(".")
        document = self.jobs.get(job)
        return document["steps"][int(step)] if document else None

    def write_config(self) -> int:
        """Write the next version of the operators' config."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "tenants": self.tenants,
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.note("config", version=self.version)
        return self.version

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run everything; ends all processes that it has started."""
        self.write_config()
        tasks = [asyncio.create_task(self.store.expire_leases())]
        try:
            for number in range(self._entry_count):
                await self.add_entry(f"e{number + 1}", f"zone-{number % 2}")
            for machine in self.runners:
                await machine.start()
                tasks.append(asyncio.create_task(machine.live()))
            for entry in self.entries:
                entry.start()
            yield
        finally:
            for entry in self.entries:
                entry.kill()
            for task in tasks:
                task.cancel()

    async def add_entry(self, name: str, zone: str) -> Entry:
        """Prepare an entry, with a way of its own to the store."""
        server = self.store.serve(name)
        await server.start()
        self.entries.append(Entry(name, zone, server.port, self.folder))
        return self.entries[-1]

    async def wait_until_serving(self, limit_s: float = 25.0) -> bool:
        """Wait until every entry is ready and the pool has an owner."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            answers = [
                await web.call(entry.ready_port, "GET", "/ready", {"Host": "x"})
                for entry in self.entries
            ]
            has_owner = f"crocusrouter/sys/owner/{SERVICE}" in self.store.items
            if has_owner and all(a and a[0] == 200 for a in answers):
                self.note("serving")
                return True
            await asyncio.sleep(0.2)
        return False

    def find_owner(self, service: str = SERVICE) -> Entry | None:
        """Return the entry that owns a service's pool."""
        value = self.store.read(f"crocusrouter/sys/owner/{service}")
        name = value.decode().split(" ")[0] if value else ""
        return next((e for e in self.entries if e.name == name), None)

    # The caller.

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        key: str = KEY,
        timeout_s: float = CALLER_WAIT_MS / 1000,
    ) -> web.Answer | None:
        """Make a requester's call and record it."""
        headers = {
            "Host": HOST,
            "X-Api-Key": key,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        sent_at = round(time.monotonic() - self.began_at, 3)
        answer = await web.call(
            entry.port, method, path, headers, document, timeout_s
        )
        self.note(
            "call",
            sent_at=sent_at,
            entry=entry.name,
            method=method,
            path=path,
            answer=answer[0] if answer else None,
            body=answer[1] if answer else None,
        )
        return answer

    async def submit(
        self,
        job: str,
        steps: list[dict[str, Any]],
        entry: Entry | None = None,
        prefix: str = PREFIX,
        **fields: Any,
    ) -> bool:
        """Submit a job, up to five times; return whether it was accepted.

        A step's `works_s` says how long its tasks work; callers don't send it.
        """
        self.jobs[job] = {"steps": steps}
        document = {
            "spec": f"spec of {job}",
            "steps": [
                {k: v for k, v in step.items() if k != "works_s"}
                for step in steps
            ],
        } | fields
        for number in range(5):
            chosen = entry or self.entries[number % len(self.entries)]
            answer = await self.call(chosen, "POST", prefix + job, document)
            if answer is not None and answer[0] == 200:
                return True
            if answer is not None and answer[0] in (400, 401, 404):
                return False
            await asyncio.sleep(1.0)
        return False

    async def show(
        self, job: str, entry: Entry | None = None, prefix: str = PREFIX
    ) -> str:
        """Return a job's state, a status as text, or nothing."""
        answer = await self.call(entry or self.entries[0], "GET", prefix + job)
        if answer is None:
            return ""
        return str(answer[1].get("state", answer[0]))

    # The record.

    def list_rows(self, what: str, **facts: Any) -> list[dict[str, Any]]:
        """Return the recorded events of a kind."""
        return [
            row
            for row in self.rows
            if row["what"] == what
            and all(row.get(name) == value for name, value in facts.items())
        ]

    def write_record(self, path: pathlib.Path, closing: list[str]) -> None:
        """Write the record and what was concluded."""
        rows = sorted(self.rows, key=lambda row: row["at"])
        lines = [json.dumps(row) for row in rows]
        path.write_text("\n".join([*lines, *closing]) + "\n")


def has_trouble() -> bool:
    """Tell whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _play_to_the_end(
    play: Callable[[], Awaitable[list[str] | None]],
) -> list[str] | None:
    """Return the result of a case, or None if it was cancelled."""
    try:
        return await play()
    except asyncio.CancelledError:
        return None


def main(play: Callable[[], Awaitable[list[str] | None]]) -> NoReturn:
    """Play a case and exit with its verdict.

    Args:
        play: Returns the broken rules, or None if the case could not run.
    """
    loop = asyncio.new_event_loop()
    played = loop.create_task(_play_to_the_end(play))
    # A script that is told to end must end its processes first.
    loop.add_signal_handler(signal.SIGTERM, played.cancel)
    broken = loop.run_until_complete(played)
    if broken is None:
        code, verdict = 2, "the case could not run"
    else:
        code, verdict = (1, "broken") if broken else (0, "held")
    print("\n".join([*(broken or ()), verdict]), flush=True)
    # Connections of stand-ins are still open; nothing is left to be done.
    os._exit(code)

"""Runners: leases, fences, room and runs."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import json
import time
from typing import Any

from rig3 import store as stores
from rig3 import web

_MAX_LEASE_MS = 10_000
_MAX_WAIT_MS = 2_000
_STOP_S = 0.1
_STEP_S = 0.02
_GANG_WAIT_S = 3.0
_HEARTBEAT_S = 1.5
_PAGE_ENDS = 500
_ids = itertools.count(1)

# Of a task's name: its step as submitted, or None if nobody sent it.
FindStep = Callable[[str], dict[str, Any] | None]
Note = Callable[..., None]


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    began_at: float
    works_s: float
    saved: str
    stops_at: float | None = None


class Runner:
    """One machine; each start of its process is a life with an id of its own.

    Attributes:
        capacity: `cpu`, `mem_mb` and `gpu`.
        is_up: Whether its process runs.
    """

    def __init__(
        self,
        machine: str,
        service: str,
        zone: str,
        labels: list[str],
        store: stores.Store,
        find_step: FindStep,
        note: Note,
    ) -> None:
        """Prepare; `start` begins the first life."""
        self.machine = machine
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8}
        self.is_up = False
        self.state = "ready"
        self.id = ""
        self.runs: dict[str, _Run] = {}
        self._store = store
        self._find_step = find_step
        self._note = note
        self._server = web.Server(self._handle)
        # A second way to the same process, for entries of another zone.
        self.far_port = 0
        self.is_near_cut = False
        self.is_far_cut = False
        self._far_server = web.Server(self._handle_far)
        self._reset()

    def _reset(self) -> None:
        self.runs = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._fence = 0
        self._lease_end_ms = 0.0
        self._born_at = time.monotonic()
        self._ended = asyncio.Event()
        self._sequence = 0
        self.state = "ready"

    def read_clock(self) -> int:
        """Return the milliseconds of its steady clock."""
        return int((time.monotonic() - self._born_at) * 1000) + 1

    async def start(self) -> None:
        """Begin a life: listen and register."""
        self._reset()
        self.id = f"sv{next(_ids):04d}"
        await self._server.start()
        await self._far_server.start()
        self.far_port = self._far_server.port
        self.is_up = True
        self.report()
        self._note("runner-up", machine=self.machine, id=self.id)

    def report(self) -> None:
        """Write what it says of itself into the store."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": f"127.0.0.1:{self._server.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "seq": self._sequence,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
        }
        self._store.put(f"servers/{self.id}", json.dumps(document).encode())

    def crash(self) -> None:
        """End without a word: the life's entry stays until it is missed."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.crash()
        self._far_server.crash()
        for run in self.runs.values():
            self._note("run-lost", task=run.task, run=run.number, id=self.id)
        self._note("runner-crashed", machine=self.machine, id=self.id)
        asyncio.get_running_loop().call_later(
            3 * _HEARTBEAT_S, self._store.remove, f"servers/{self.id}"
        )
        self.runs = {}

    async def live(self) -> None:
        """Report, and end what is over, until cancelled."""
        reported_at = time.monotonic()
        while True:
            await asyncio.sleep(_STEP_S)
            if not self.is_up:
                continue
            now = time.monotonic()
            if now >= reported_at + _HEARTBEAT_S:
                reported_at = now
                self.report()
            for run in list(self.runs.values()):
                if self.read_clock() > self._lease_end_ms:
                    self._end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.began_at + run.works_s:
                    self._end(run, "done")

    def _end(self, run: _Run, how: str) -> None:
        del self.runs[run.task]
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self._end_count += 1
        self._ends.append(
            [self._end_count, run.task, run.number, how, run.saved]
        )
        self._note("end", task=run.task, run=run.number, how=how, id=self.id)
        self._ended.set()
        self._ended = asyncio.Event()

    # Calls.

    @property
    def port(self) -> int:
        """The port that it registers."""
        return self._server.port

    async def _handle(self, request: web.Request) -> web.Answer:
        if self.is_near_cut:
            raise web.NoAnswerError
        answer = await self._answer(request)
        if self.is_near_cut:
            raise web.NoAnswerError
        return answer

    async def _handle_far(self, request: web.Request) -> web.Answer:
        if self.is_far_cut:
            raise web.NoAnswerError
        answer = await self._answer(request)
        if self.is_far_cut:
            raise web.NoAnswerError
        return answer

    async def _answer(self, request: web.Request) -> web.Answer:
        if request.headers.get("x-expect-instance") not in (None, self.id):
            return 421, {}
        document = request.document
        fence = document.get("fencing_token", 0)
        if fence < self._fence:
            return self._reject("fence")
        self._fence = fence
        match request.path:
            case "/hold":
                return await self._hold(document)
            case "/run-start":
                return self._start_run(document)
            case "/run-stop":
                return self._stop_run(document)
            case "/pace":
                return 200, {"clock_ms": self.read_clock()}
        return 400, {}

    def _reject(self, reason: str) -> web.Answer:
        return 409, {"clock_ms": self.read_clock(), "reason": reason}

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest_ms = self.read_clock() + _MAX_LEASE_MS
            self._lease_end_ms = max(
                self._lease_end_ms, min(until_ms, longest_ms)
            )

    async def _hold(self, document: dict[str, Any]) -> web.Answer:
        self._extend(document.get("until_ms"))
        seen = document.get("last_seen", 0)
        if any(row[0] <= seen for row in self._ends):
            noted = [row for row in self._ends if row[0] <= seen]
            self._ends = [row for row in self._ends if row[0] > seen]
            for row in noted:
                self._note("noted", task=row[1], run=row[2], how=row[3])
        wait_ms = min(_MAX_WAIT_MS, document.get("wait_ms", 0))
        if wait_ms and not self._ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        return 200, {
            "clock_ms": self.read_clock(),
            "running": [
                [
                    run.task,
                    run.number,
                    run.saved,
                    int(100 * min(1.0, (now - run.began_at) / run.works_s)),
                    1000,
                ]
                for run in self.runs.values()
            ],
            "finished": self._ends[:_PAGE_ENDS],
        }

    def _start_run(self, document: dict[str, Any]) -> web.Answer:
        task, number = document["task"], document["run_id"]
        until_ms = document["until_ms"]
        if until_ms <= self.read_clock():
            return self._reject("late")
        self._extend(until_ms)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {"clock_ms": self.read_clock()}
        if run is not None or number <= self._highest.get(task, 0):
            return self._reject("old")
        step = self._find_step(task)
        if step is not None and not self._has_room(step):
            return self._reject("room")
        works_s = (step or {}).get("works_s", 1.0)
        self.runs[task] = _Run(
            task,
            number,
            time.monotonic(),
            works_s,
            document.get("checkpoint", ""),
        )
        self._note(
            "start",
            task=task,
            run=number,
            id=self.id,
            machine=self.machine,
            service=self.service,
        )
        return 200, {"clock_ms": self.read_clock()}

    def _has_room(self, step: dict[str, Any]) -> bool:
        for kind, total in self.capacity.items():
            used = sum(
                (self._find_step(task) or {}).get(kind, 0) for task in self.runs
            )
            if step.get(kind, 0) and used + step[kind] > total:
                return False
        return True

    def _stop_run(self, document: dict[str, Any]) -> web.Answer:
        task, number = document["task"], document["run_id"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at = run.stops_at or time.monotonic() + _STOP_S
        else:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return 200, {"clock_ms": self.read_clock()}

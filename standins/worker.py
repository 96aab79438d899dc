"""Stand-in for workers: tasks under leases, fenced by the owner's epoch.

One process can speak for many workers, each on a port of its own. Every
change of a task is recorded, so that a checker can tell what ran when.
"""

import dataclasses
import enum
import json
import time
from typing import Any

import trio
import websockets
import websockets.trio.server

from crocusrouter.fleet import messages

_TICK_S = 0.02
_MANY_TICK_S = 0.25


class Fault(enum.StrEnum):
    """What a worker does wrong."""

    NONE = "none"
    FAIL_TASKS = "fail-tasks"  # every task fails at once
    SILENT = "silent"  # takes messages and answers nothing


@dataclasses.dataclass
class Task:
    """One task on the worker."""

    report: messages.TaskReport
    ends_at: float = 0.0
    payload: str = "null"


@dataclasses.dataclass(frozen=True)
class Record:
    """One change, for the checker."""

    at: float
    worker: str
    job_id: str
    attempt: int
    size: int
    what: str


class Worker:
    """Tasks, leases and the epoch of one worker; decides on a given time."""

    def __init__(
        self, name: str, accelerators: int, checkpoint_s: float = 0.1
    ) -> None:
        self.name = name
        self.accelerators = accelerators
        self.checkpoint_s = checkpoint_s
        self.epoch = 0
        self.lease_s = 0.0
        self.lapses_at = 0.0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.records: list[Record] = []
        self.fault = Fault.NONE
        self.prints = False

    def hello(self, message: messages.Hello, now: float) -> object:
        """Answer an owner: its inventory, or that it is fenced."""
        self.advance(now)
        if message.epoch < self.epoch:
            return messages.Fenced(self.epoch)
        self.epoch = message.epoch
        self.lease_s = message.lease_s
        if not self.tasks:
            self.lapses_at = now + self.lease_s
        reports = tuple(task.report for task in self.tasks.values())
        return messages.Inventory(reports)

    def take(self, message: object, now: float) -> list[object]:
        """Take one command and return the answers."""
        # The lease goes first: a renewal that was read late, after a pause,
        # must not revive tasks that its owner counts as stopped.
        answers = self.advance(now)
        if isinstance(message, messages.Renew):
            self.lapses_at = now + self.lease_s
            answers.append(messages.Renewed())
        elif isinstance(message, messages.Reserve):
            answers.append(self._reserve(message, now))
        elif isinstance(message, messages.Start):
            answers.append(self._start(message, now))
        elif isinstance(message, messages.Stop):
            self._stop(message, now)
            answers += self.advance(now)
        elif isinstance(message, messages.Acknowledge):
            self.tasks.pop((message.job_id, message.attempt), None)
        return answers

    def advance(self, now: float) -> list[object]:
        """Let tasks end and leases lapse; return what to tell the owner."""
        told: list[object] = []
        for key, task in list(self.tasks.items()):
            phase = task.report.phase
            running = phase is messages.TaskPhase.RUNNING
            if task.report.phase in _ENDED:
                continue
            if now >= self.lapses_at:
                told.append(self._drop(key, "lapsed", now))
            elif task.ends_at and now >= task.ends_at:
                if task.report.result == "stopping":
                    told.append(self._drop(key, "stopped", now))
                elif running:
                    told.append(self._finish(key, task, now))
        return told

    def _reserve(self, message: messages.Reserve, now: float) -> object:
        key = (message.job_id, message.attempt)
        if key in self.tasks:
            return messages.Reserved(*key)
        busy = 0
        for task in self.tasks.values():
            if task.report.phase not in _ENDED:
                busy |= task.report.mask
        if busy & message.mask or message.mask >> self.accelerators:
            return messages.Declined(*key, "accelerators are in use")
        if not self.tasks:
            self.lapses_at = max(self.lapses_at, now + self.lease_s)
        report = messages.TaskReport(
            *key, messages.TaskPhase.RESERVED, message.mask
        )
        self.tasks[key] = Task(report)
        self._record(key, message.mask.bit_count(), "reserved", now)
        return messages.Reserved(*key)

    def _start(self, message: messages.Start, now: float) -> object:
        key = (message.job_id, message.attempt)
        task = self.tasks.get(key)
        if task is None:
            return messages.Declined(*key, "no reservation")
        if task.report.phase is messages.TaskPhase.RESERVED:
            run_time_s = message.run_time_s
            if self.fault is Fault.FAIL_TASKS:
                run_time_s = 0.0
            task.report = dataclasses.replace(
                task.report, phase=messages.TaskPhase.RUNNING
            )
            task.payload = message.payload
            task.ends_at = now + max(run_time_s, 1e-6)
            self._record(key, task.report.mask.bit_count(), "started", now)
        return messages.Started(*key)

    def _stop(self, message: messages.Stop, now: float) -> None:
        key = (message.job_id, message.attempt)
        task = self.tasks.get(key)
        if task is None:
            report = messages.TaskReport(*key, messages.TaskPhase.RESERVED, 0)
            task = self.tasks[key] = Task(report)
        running = task.report.phase is messages.TaskPhase.RUNNING
        delay_s = self.checkpoint_s if message.checkpoint and running else 0.0
        task.report = dataclasses.replace(task.report, result="stopping")
        if task.report.phase in _ENDED:
            task.report = dataclasses.replace(
                task.report, phase=messages.TaskPhase.RESERVED
            )
        task.ends_at = now + delay_s

    def _finish(
        self, key: tuple[str, int], task: Task, now: float
    ) -> messages.Finished:
        ok = self.fault is not Fault.FAIL_TASKS
        done = json.dumps({"worker": self.name, "input": task.payload})
        result = done if ok else f"{self.name} fails everything"
        phase = messages.TaskPhase.SUCCEEDED
        if not ok:
            phase = messages.TaskPhase.FAILED
        task.report = dataclasses.replace(
            task.report, phase=phase, result=result
        )
        what = "succeeded" if ok else "failed"
        self._record(key, task.report.mask.bit_count(), what, now)
        return messages.Finished(*key, ok, result)

    def _drop(
        self, key: tuple[str, int], what: str, now: float
    ) -> messages.Stopped:
        task = self.tasks.pop(key)
        self._record(key, task.report.mask.bit_count(), what, now)
        return messages.Stopped(*key)

    def _record(
        self, key: tuple[str, int], size: int, what: str, now: float
    ) -> None:
        record = Record(now, self.name, *key, size, what)
        self.records.append(record)
        if self.prints:
            print(json.dumps(dataclasses.asdict(record)), flush=True)


_ENDED = (messages.TaskPhase.SUCCEEDED, messages.TaskPhase.FAILED)


class WorkerServer:
    """Serves one worker's link on a loopback port.

    Time is the machine's monotonic clock, so that records of several
    processes can be compared.
    """

    def __init__(self, worker: Worker, tick_s: float = _TICK_S) -> None:
        self.worker = worker
        self._tick_s = tick_s
        self._current: Any = None

    async def run(self, port: int) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            await websockets.trio.server.serve(
                self._serve_owner,
                port,
                host="127.0.0.1",
                compression=None,
                ping_interval=None,
                close_timeout=0.2,
            )

    async def _serve_owner(self, connection: Any) -> None:
        greeting = messages.REGISTRY.decode(await connection.recv())
        answer = self.worker.hello(greeting, time.monotonic())
        await self._send(connection, answer)
        if isinstance(answer, messages.Fenced):
            return
        self._current = connection
        try:
            await self._serve_commands(connection)
        except websockets.ConnectionClosed:
            return

    async def _serve_commands(self, connection: Any) -> None:
        async for frame in connection:
            if self._current is not connection:
                # Another connection was opened since. Its owner knows from
                # the inventory what is here; a late command over the old one
                # would leave a task that nobody accounts for.
                await self._send(connection, messages.Fenced(self.worker.epoch))
                return
            if self.worker.fault is Fault.SILENT:
                continue
            message = messages.REGISTRY.decode(frame)
            for told in self.worker.take(message, time.monotonic()):
                await self._send(connection, told)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self._tick_s)
            for told in self.worker.advance(time.monotonic()):
                if self._current is not None:
                    await self._send(self._current, told)

    async def _send(self, connection: Any, message: object) -> None:
        try:
            await connection.send(messages.REGISTRY.encode(message))
        except websockets.ConnectionClosed:
            if self._current is connection:
                self._current = None


async def run(name: str, port: int, accelerators: int) -> None:
    """Serve one worker on a loopback port; records go to standard output."""
    worker = Worker(name, accelerators)
    worker.prints = True
    await WorkerServer(worker).run(port)


async def run_many(ports: list[int], accelerators: int) -> None:
    """Serve many workers, named after their ports."""
    async with trio.open_nursery() as nursery:
        for port in ports:
            held = Worker(f"w{port}", accelerators)
            server = WorkerServer(held, _MANY_TICK_S)
            nursery.start_soon(server.run, port)

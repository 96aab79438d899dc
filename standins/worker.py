"""Stand-in for workers: runs tasks under leases, fenced by owner epochs.

One process can serve many workers, each on its own port. Every state change of
a task is recorded, so that a checker can tell which tasks ran at which time.
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

_STEP_INTERVAL_S = 0.02
_MANY_WORKERS_STEP_INTERVAL_S = 0.25


class Fault(enum.StrEnum):
    """Faults of a worker."""

    NONE = "none"
    FAIL_TASKS = "fail-tasks"  # every task fails at once
    SILENT = "silent"  # reads messages and never answers
    BUSY = "busy"  # reads messages only once the fault has ended


@dataclasses.dataclass
class Task:
    """One task on the worker."""

    report: messages.TaskReport
    ends_at: float = 0.0
    payload: str = "null"


@dataclasses.dataclass(frozen=True)
class Record:
    """One state change of a task, for the checker."""

    at: float
    worker: str
    job_id: str
    attempt: int
    size: int
    what: str


class Worker:
    """State of one worker: tasks, lease and epoch; callers pass the time."""

    def __init__(
        self, name: str, accelerators: int, checkpoint_s: float = 0.1
    ) -> None:
        self.name = name
        self.accelerators = accelerators
        self.checkpoint_s = checkpoint_s
        self.epoch = 0
        self.lease_s = 0.0
        self.lease_expires_at = 0.0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.records: list[Record] = []
        self.fault = Fault.NONE
        self.prints_records = False

    def handle_hello(self, message: messages.Hello, now: float) -> object:
        """Answer an owner's greeting: with an inventory, or `Fenced`."""
        self.advance(now)
        if message.epoch < self.epoch:
            return messages.Fenced(self.epoch)
        self.epoch = message.epoch
        self.lease_s = message.lease_s
        if not self.tasks:
            self.lease_expires_at = now + self.lease_s
        reports = tuple(task.report for task in self.tasks.values())
        return messages.Inventory(reports)

    def handle_command(self, message: object, now: float) -> list[object]:
        """Handle one command and return the answers."""
        # Check the lease first: a renewal that is read late, after a pause,
        # must not revive tasks that the owner considers stopped.
        answers = self.advance(now)
        if isinstance(message, messages.Renew):
            self.lease_expires_at = now + self.lease_s
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
        """End due tasks and expired leases; return messages for the owner."""
        events: list[object] = []
        for key, task in list(self.tasks.items()):
            phase = task.report.phase
            is_running = phase is messages.TaskPhase.RUNNING
            if task.report.phase in _ENDED_PHASES:
                continue
            if now >= self.lease_expires_at:
                events.append(self._end_without_result(key, "lapsed", now))
            elif task.ends_at and now >= task.ends_at:
                if task.report.result == "stopping":
                    events.append(self._end_without_result(key, "stopped", now))
                elif is_running:
                    events.append(self._finish(key, task, now))
        return events

    def _reserve(self, message: messages.Reserve, now: float) -> object:
        key = (message.job_id, message.attempt)
        if key in self.tasks:
            return messages.Reserved(*key)
        busy_mask = 0
        for task in self.tasks.values():
            if task.report.phase not in _ENDED_PHASES:
                busy_mask |= task.report.mask
        if busy_mask & message.mask or message.mask >> self.accelerators:
            return messages.Declined(*key, "accelerators are in use")
        if not self.tasks:
            self.lease_expires_at = max(
                self.lease_expires_at, now + self.lease_s
            )
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
        is_running = task.report.phase is messages.TaskPhase.RUNNING
        delay_s = (
            self.checkpoint_s if message.checkpoint and is_running else 0.0
        )
        task.report = dataclasses.replace(task.report, result="stopping")
        if task.report.phase in _ENDED_PHASES:
            task.report = dataclasses.replace(
                task.report, phase=messages.TaskPhase.RESERVED
            )
        task.ends_at = now + delay_s

    def _finish(
        self, key: tuple[str, int], task: Task, now: float
    ) -> messages.Finished:
        succeeded = self.fault is not Fault.FAIL_TASKS
        output = json.dumps({"worker": self.name, "input": task.payload})
        result = output if succeeded else f"{self.name} fails everything"
        phase = messages.TaskPhase.SUCCEEDED
        if not succeeded:
            phase = messages.TaskPhase.FAILED
        task.report = dataclasses.replace(
            task.report, phase=phase, result=result
        )
        what = "succeeded" if succeeded else "failed"
        self._record(key, task.report.mask.bit_count(), what, now)
        return messages.Finished(*key, succeeded, result)

    def _end_without_result(
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
        if self.prints_records:
            print(json.dumps(dataclasses.asdict(record)), flush=True)


_ENDED_PHASES = (messages.TaskPhase.SUCCEEDED, messages.TaskPhase.FAILED)


class WorkerServer:
    """Serves one worker to its owner on a loopback port.

    Timestamps come from the machine's monotonic clock, so that records of
    several processes can be compared.
    """

    def __init__(
        self, worker: Worker, interval_s: float = _STEP_INTERVAL_S
    ) -> None:
        self.worker = worker
        self._interval_s = interval_s
        self._owner_connection: Any = None

    async def run(self, port: int) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._advance_regularly)
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
        answer = self.worker.handle_hello(greeting, time.monotonic())
        await self._send(connection, answer)
        if isinstance(answer, messages.Fenced):
            return
        self._owner_connection = connection
        try:
            await self._serve_commands(connection)
        except websockets.ConnectionClosed:
            return

    async def _serve_commands(self, connection: Any) -> None:
        async for frame in connection:
            if self._owner_connection is not connection:
                # A newer connection has been opened, and its owner has read
                # the inventory. A late command over this older connection
                # would leave a task that no owner knows of.
                await self._send(connection, messages.Fenced(self.worker.epoch))
                return
            while self.worker.fault is Fault.BUSY:
                await trio.sleep(self._interval_s)
            if self.worker.fault is Fault.SILENT:
                continue
            message = messages.REGISTRY.decode(frame)
            for event in self.worker.handle_command(message, time.monotonic()):
                await self._send(connection, event)

    async def _advance_regularly(self) -> None:
        while True:
            await trio.sleep(self._interval_s)
            for event in self.worker.advance(time.monotonic()):
                if self._owner_connection is not None:
                    await self._send(self._owner_connection, event)

    async def _send(self, connection: Any, message: object) -> None:
        try:
            await connection.send(messages.REGISTRY.encode(message))
        except websockets.ConnectionClosed:
            if self._owner_connection is connection:
                self._owner_connection = None


async def run(name: str, port: int, accelerators: int) -> None:
    """Serve one worker on a loopback port; print records to standard output."""
    worker = Worker(name, accelerators)
    worker.prints_records = True
    await WorkerServer(worker).run(port)


async def run_many(ports: list[int], accelerators: int) -> None:
    """Serve many workers, named after their ports."""
    async with trio.open_nursery() as nursery:
        for port in ports:
            worker = Worker(f"w{port}", accelerators)
            server = WorkerServer(worker, _MANY_WORKERS_STEP_INTERVAL_S)
            nursery.start_soon(server.run, port)

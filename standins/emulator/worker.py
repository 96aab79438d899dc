"""An emulated worker: its leases, epoch checks, room and gangs."""

from collections.abc import Callable
import dataclasses
import random

import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins.emulator import closure_oracle as closure_oracles
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies

_STOP_DELAY_S = 0.15
_ORDER_DELAY_S = 0.001
# By how many seconds orders are delayed that are carried out late.
_LATE_RANGE_S = (2.0, 12.0)
_MAX_LEASE_MS = 10_000
_SLOWEST_CLOCK_RATE = 0.98
# A lasting task reports that it is at work after this time.
_STARTUP_S = 0.4
# Tail latency of a serving task alone, and what each filling task adds to it.
_BASE_TAIL_MS = 40.0
_TAIL_PER_FILLING_TASK_MS = 60.0
# The payload of a job whose tasks crash each worker that starts them, how long
# that takes, and the share of such starts that crash before they are answered.
CRASHING = "crash"
_CRASH_DELAY_S = 0.01
_UNANSWERED_SHARE = 0.3
# An owner can't know at once that a worker's room has shrunk: until this time
# has passed, starts that fit the larger room are allowed.
_ROOM_NOTICE_S = 4.5
# A crashed worker stays listed until it has missed three heartbeats of 1.5 s.
_DELISTING_DELAY_S = 4.5
# The reading of a new process's clock when it starts.
_NEW_CLOCK_MS = 1.0
_UNIX_START_MS = 1_700_000_000_000
# Smoothing of the tail latency: it covers about the last half second, in steps
# of 20 ms.
_TAIL_SMOOTHING = 0.08


@dataclasses.dataclass
class TaskRun:
    """One run of a task on a worker.

    Attributes:
        key: The task.
        run: Number of the run.
        started_at: When the worker started it.
        working_since: When it began to work; None while a member of a gang
            waits for the others.
        ends_at: When it ends by itself; None for a lasting task.
        stops_at: When it ends because of a stop order; None without one.
        end_kind: How it ends by itself.
        lasting: Whether it runs until it is stopped.
        pace: Its speed in percent, as the owner ordered.
        crashes_worker: Whether its end crashes the worker.
        was_late: Whether its start was delayed by seconds on its way.
    """

    key: work.TaskKey
    run: int
    started_at: float
    working_since: float | None
    ends_at: float | None
    stops_at: float | None = None
    end_kind: worker_port.RunOutcome = worker_port.RunOutcome.DONE
    lasting: bool = False
    pace: int = 100
    crashes_worker: bool = False
    was_late: bool = False


class Gangs:
    """The members of each run of a gang that have started, on all workers."""

    def __init__(self) -> None:
        self.present: dict[tuple[work.StepKey, int], list[Worker]] = {}

    def add(self, key: work.TaskKey, run: int, worker: "Worker") -> int:
        """Add a started member and return how many there are."""
        members = self.present.setdefault((work.StepKey(*key[:3]), run), [])
        members.append(worker)
        return len(members)

    def list_workers(self, key: work.TaskKey, run: int) -> list["Worker"]:
        """Return the workers on which members of a run have started."""
        return self.present.get((work.StepKey(*key[:3]), run), [])


class Worker:
    """One incarnation of a worker: a process under its id."""

    def __init__(
        self,
        entry: worker_port.WorkerEntry,
        oracle: oracles.JobOracle,
        gangs: Gangs,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.entry = entry
        self.policy = policy
        self.refused_tickets = 0
        self.oracle = oracle
        self.gangs = gangs
        self.random = random.Random(seed)
        self.checks_room = True
        self._past_rooms: list[tuple[float, work.Room]] = []
        self.alive = True
        self._crashed_at = 0.0
        self.superseded = False
        self.refuses_connections = False
        self.crashed_by_task = False
        self.misdirected_starts = 0
        self.started_runs = 0
        self.draining_since: float | None = None
        self.recent_starts: list[closure_oracles.ObservedStart] = []
        self.starts_while_draining: list[tuple[work.TaskKey, float]] = []
        self.fails_all = False
        # Share of the starts that are rejected although there is room.
        self.rejected_share = 0.0
        # Speed of all tasks here, as a share of the usual speed.
        self.speed = 1.0
        self._last_step_at: float | None = None
        self.unreachable_from: set[str] = set()
        self.late_order_share = 0.0
        self.has_answered = False
        self.highest_epoch = 0
        self.lease_end_ms = 0.0
        self.tasks: dict[work.TaskKey, TaskRun] = {}
        self.unconfirmed_ends: list[worker_port.RunEnd] = []
        self.highest_runs: dict[work.TaskKey, int] = {}
        self.last_end_number = 0
        self.confirmed_number = 0
        self.clock_offset_ms = self.random.uniform(1e5, 1e6)
        self.clock_rate = self.random.uniform(_SLOWEST_CLOCK_RATE, 1.0)
        self.born_ms = _UNIX_START_MS
        self._tail_ms = _BASE_TAIL_MS
        self._end_listed = trio.Event()

    def read_clock(self) -> float:
        """Return the milliseconds of this worker's own clock."""
        return (
            self.clock_offset_ms + trio.current_time() * 1000 * self.clock_rate
        )

    def become_new_process(self, now: float) -> None:
        """Reset the birth time and the clock to those of a new process."""
        self.born_ms = _UNIX_START_MS + int(now * 1000)
        self.clock_offset_ms = _NEW_CLOCK_MS - now * 1000 * self.clock_rate

    def step(self, now: float) -> None:
        """End the runs that are over, stopped, or without a lease."""
        if not self.alive:
            return
        self._slow_down_tasks(now)
        self._update_tail()
        lapsed = self.read_clock() > self.lease_end_ms
        if lapsed:
            # The owner could only wait for the end of the lease. It may not
            # know of ends that it hasn't confirmed, so it may run those tasks
            # again.
            self._allow_reruns()
        for task_run in list(self.tasks.values()):
            if lapsed:
                self._end_run(task_run, worker_port.RunOutcome.LAPSED, now)
            elif task_run.stops_at is not None and now >= task_run.stops_at:
                self._end_run(task_run, worker_port.RunOutcome.STOPPED, now)
            elif task_run.working_since is None:
                if now > task_run.started_at + oracles.GANG_WAIT_S:
                    self._end_run(task_run, worker_port.RunOutcome.ALONE, now)
            elif task_run.ends_at is not None and now >= task_run.ends_at:
                if task_run.crashes_worker:
                    self._crash_because_of(task_run, now)
                    return
                self._end_run(task_run, task_run.end_kind, now)

    def _slow_down_tasks(self, now: float) -> None:
        """Postpone the ends of all tasks by the time that slowness cost."""
        last_step_at = (
            self._last_step_at if self._last_step_at is not None else now
        )
        delay_s = (now - last_step_at) * (1.0 - self.speed)
        self._last_step_at = now
        for task_run in self.tasks.values():
            if task_run.working_since is not None:
                task_run.working_since += delay_s
            if task_run.ends_at is not None:
                task_run.ends_at += delay_s

    def _end_run(
        self, task_run: TaskRun, how: worker_port.RunOutcome, now: float
    ) -> None:
        if self.tasks.get(task_run.key) is not task_run:
            return
        del self.tasks[task_run.key]
        self.last_end_number += 1
        self.highest_runs[task_run.key] = task_run.run
        self.unconfirmed_ends.append(
            worker_port.RunEnd(
                self.last_end_number, task_run.key, task_run.run, how, ""
            )
        )
        self.oracle.note_end(
            self.entry.id, task_run.key, task_run.run, how, now
        )
        self._end_listed.set()
        self._end_listed = trio.Event()
        step = self.oracle.jobs[task_run.key.job].steps[task_run.key.step]
        if step.gang and how is not worker_port.RunOutcome.DONE:
            self._break_gang(task_run, now)

    def _break_gang(self, task_run: TaskRun, now: float) -> None:
        for worker in self.gangs.list_workers(task_run.key, task_run.run):
            for other in list(worker.tasks.values()):
                if (
                    other.run == task_run.run
                    and other.key[:3] == task_run.key[:3]
                ):
                    worker._end_run(other, worker_port.RunOutcome.BROKEN, now)

    def crash_before_answer(self, key: work.TaskKey) -> bool:
        """Crash before the start of a task is answered, at random.

        Args:
            key: The task; only one that crashes its workers counts.

        Returns:
            Whether the worker has crashed.
        """
        task_run = self.tasks.get(key)
        if task_run is None or not task_run.crashes_worker:
            return False
        if self.random.random() >= _UNANSWERED_SHARE:
            return False
        self._crash_because_of(task_run, trio.current_time())
        return True

    def _crash_because_of(self, task_run: TaskRun, now: float) -> None:
        """Crash because of a task; the VM stays up and refuses connections."""
        self.oracle.note_crash(task_run.key, list(self.tasks), now)
        self.refuses_connections = True
        self.crashed_by_task = True
        self.crash()
        self._end_listed.set()

    def crash(self) -> None:
        """Crash: lose all runs and all ends that are listed here."""
        self.alive = False
        now = trio.current_time()
        self._crashed_at = now
        for task_run in list(self.tasks.values()):
            self.oracle.note_lost(self.entry.id, task_run.key, task_run.run)
            step = self.oracle.jobs[task_run.key.job].steps[task_run.key.step]
            self.tasks.pop(task_run.key, None)
            if step.gang:
                self._break_gang(task_run, now)
        self._allow_reruns()
        for ended in self.unconfirmed_ends:
            if (
                ended.number > self.confirmed_number
                and ended.outcome is worker_port.RunOutcome.FAILED
            ):
                self.oracle.allow_uncounted_failure(ended.key)
        self.unconfirmed_ends.clear()

    def _allow_reruns(self) -> None:
        for ended in self.unconfirmed_ends:
            if (
                ended.number > self.confirmed_number
                and ended.outcome is worker_port.RunOutcome.DONE
            ):
                self.oracle.allow_rerun(ended.key)

    # Orders.

    def check_epoch(self, epoch: int) -> worker_port.Rejected | None:
        """Reject an order of an earlier owner; remember the epoch otherwise."""
        if epoch < self.highest_epoch:
            return worker_port.Rejected(
                worker_port.RejectionReason.FENCED, int(self.read_clock())
            )
        self.highest_epoch = epoch
        return None

    def start_run(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        *,
        late: bool = False,
        sender: str = "",
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry out a start order.

        Args:
            epoch: The epoch of the owner that sent it.
            order: The order.
            until_ms: When the lease ends, on this worker's clock.
            late: Whether the order was delayed by seconds on its way.
            sender: Entry that sent it; empty if unknown.
        """
        rejection = self.check_epoch(epoch)
        if rejection is not None:
            return rejection
        clock = self.read_clock()
        if until_ms <= clock:
            return worker_port.Rejected(
                worker_port.RejectionReason.LATE, int(clock)
            )
        self.lease_end_ms = max(
            self.lease_end_ms, min(until_ms, clock + _MAX_LEASE_MS)
        )
        task_run = self.tasks.get(order.key)
        if task_run is not None and task_run.run == order.run:
            return worker_port.Accepted(int(clock))
        if order.run <= self.highest_runs.get(order.key, 0):
            return worker_port.Rejected(
                worker_port.RejectionReason.OLD, int(clock)
            )
        job = self.oracle.jobs[order.key.job]
        step = job.steps[order.key.step]
        if self.checks_room and not self.compute_free_room().holds(step.charge):
            return worker_port.Rejected(
                worker_port.RejectionReason.NO_ROOM, int(clock)
            )
        step_key = work.StepKey(*order.key[:3])
        if job.advised and not self.policy.is_valid(
            order.ticket, step_key, self.entry.id
        ):
            self.refused_tickets += 1
            return worker_port.Rejected(
                worker_port.RejectionReason.NO_TICKET, int(clock)
            )
        if not self.checks_room and not late:
            self._check_room(order.key, step.charge)
        self._add_run(order, job, step, was_late=late)
        if not late:
            self.recent_starts.append(
                closure_oracles.ObservedStart(
                    order.key,
                    trio.current_time(),
                    self.entry.id,
                    self.entry.data_centre,
                    sender,
                )
            )
        if self.draining_since is not None and not late:
            self.starts_while_draining.append((order.key, trio.current_time()))
        return worker_port.Accepted(int(clock))

    def _rejects_at_random(self) -> bool:
        # No random number is used if the share is 0, so that days without such
        # rejections stay the same.
        share = self.rejected_share
        return share > 0 and self.random.random() < share

    def list_runs(self) -> list[oracles.ObservedRun]:
        """Return what runs here now."""
        return [
            oracles.ObservedRun(
                task_run.key,
                task_run.run,
                self.entry.id,
                task_run.started_at,
                task_run.was_late,
            )
            for task_run in self.tasks.values()
        ]

    def is_shutting_down(self, now: float) -> bool:
        """Tell whether this worker drains, or has just left after that."""
        return self.entry.draining and (
            self.alive or now < self._crashed_at + _DELISTING_DELAY_S
        )

    def is_impaired(self, now: float, *, counts_shutdown: bool = True) -> bool:
        """Tell whether orders to this worker may fail or come late.

        Args:
            now: Seconds.
            counts_shutdown: Whether a graceful shutdown alone counts.
        """
        if counts_shutdown and self.is_shutting_down(now):
            return True
        if not self.alive:
            was_lost = not self.entry.draining or self.crashed_by_task
            return was_lost and now < self._crashed_at + _DELISTING_DELAY_S
        shrunk = any(at + _ROOM_NOTICE_S > now for at, _ in self._past_rooms)
        impaired = (
            self.unreachable_from or self.late_order_share or self.fails_all
        )
        impaired = impaired or self.speed < 1.0
        return shrunk or bool(impaired)

    def drain(self, now: float) -> None:
        """Mark this worker as draining."""
        self.entry = dataclasses.replace(self.entry, draining=True)
        self.draining_since = now

    def set_room(self, room: work.Room, now: float) -> None:
        """Change the room of this worker; running tasks go on."""
        self._past_rooms.append((now, self.entry.room))
        self.entry = dataclasses.replace(self.entry, room=room)

    def _check_room(self, key: work.TaskKey, charge: work.Room) -> None:
        """Report a start that exceeds the room of this worker."""
        now = trio.current_time()
        recent = [
            room
            for changed_at, room in self._past_rooms
            if changed_at + _ROOM_NOTICE_S > now
        ]
        rooms = [self.entry.room, *recent]
        room = work.Room(*map(max, zip(*rooms, strict=True)))
        free = room.minus(self.entry.room).plus(self.compute_free_room())
        if any(
            needed > available
            for needed, available in zip(charge, free, strict=True)
            if needed
        ):
            self.oracle.broken.append(
                f"{now:.3f} limit: {key} on {self.entry.id}, "
                f"needs {charge}, but {free} is free"
            )

    def _check_placement(self, key: work.TaskKey, now: float) -> None:
        step_key = work.StepKey(*key[:3])
        running_count = sum(
            work.StepKey(*k[:3]) == step_key for k in self.tasks
        )
        entry = self.entry
        where = entry.id, entry.pool, entry.labels
        self.oracle.check_placement(key, where, running_count, now)

    def compute_free_room(self) -> work.Room:
        """Return the room that the tasks here leave."""
        free = self.entry.room
        for key in self.tasks:
            step = self.oracle.jobs[key.job].steps[key.step]
            free = free.minus(step.charge)
        return free

    def _add_run(
        self,
        order: worker_port.Start,
        job: work.Job,
        step: work.Step,
        *,
        was_late: bool,
    ) -> None:
        now = trio.current_time()
        self._check_placement(order.key, now)
        task_run = TaskRun(
            order.key, order.run, now, now, None, was_late=was_late
        )
        task_run.lasting = step.lasting
        task_run.ends_at = None if step.lasting else now + step.expected_s
        poisoned = job.payload == "poison"
        if poisoned or self.fails_all:
            task_run.end_kind = worker_port.RunOutcome.FAILED
            task_run.ends_at = now + 0.2
        if job.payload == CRASHING:
            task_run.crashes_worker = True
            task_run.ends_at = now + _CRASH_DELAY_S
        self.tasks[order.key] = task_run
        self.started_runs += 1
        self.oracle.note_start(
            self.entry.id, order.key, order.run, now, was_late=was_late
        )
        if not step.gang:
            return
        task_run.working_since = None
        if self.gangs.add(order.key, order.run, self) < step.count:
            return
        for worker in self.gangs.list_workers(order.key, order.run):
            for other in worker.tasks.values():
                if other.run == order.run and other.key[:3] == order.key[:3]:
                    other.working_since = now
                    other.ends_at = (
                        now + (other.ends_at or now) - other.started_at
                    )

    def stop_run(
        self, epoch: int, order: worker_port.Stop
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry out a stop order."""
        rejection = self.check_epoch(epoch)
        if rejection is not None:
            return rejection
        highest_run = self.highest_runs.get(order.key, 0)
        task_run = self.tasks.get(order.key)
        if task_run is not None and task_run.run == order.run:
            task_run.stops_at = trio.current_time() + _STOP_DELAY_S
        else:
            self.highest_runs[order.key] = max(highest_run, order.run)
        return worker_port.Accepted(int(self.read_clock()))

    def build_report(
        self, epoch: int, confirmed: int, until_ms: int | None
    ) -> worker_port.Report | worker_port.Rejected:
        """Report the runs and the ends here, and extend the lease.

        Args:
            epoch: The epoch of the owner that asks.
            confirmed: Number of the last end that the owner has recorded.
            until_ms: When the lease ends, on this worker's clock.
        """
        rejection = self.check_epoch(epoch)
        if rejection is not None:
            return rejection
        clock = self.read_clock()
        if until_ms is not None:
            self.lease_end_ms = max(
                self.lease_end_ms, min(until_ms, clock + _MAX_LEASE_MS)
            )
        self.confirmed_number = max(self.confirmed_number, confirmed)
        self.unconfirmed_ends = [
            e for e in self.unconfirmed_ends if e.number > self.confirmed_number
        ]
        running = tuple(
            worker_port.ReportedRun(
                task_run.key,
                task_run.run,
                "",
                _measure_progress(task_run),
                self.measure_tail(task_run),
            )
            for task_run in self.tasks.values()
        )
        return worker_port.Report(
            int(clock), running, tuple(self.unconfirmed_ends), self.born_ms
        )

    def measure_tail(self, task_run: TaskRun) -> float:
        """Return the tail latency of a serving task in milliseconds."""
        return self._tail_ms if self._find_step(task_run).target_ms else 0.0

    def _update_tail(self) -> None:
        """Adapt the tail latency to the filling tasks and their paces."""
        filling_load = sum(
            other.pace / 100
            for other in self.tasks.values()
            if self._find_step(other).fills
        )
        target_tail_ms = (
            _BASE_TAIL_MS + _TAIL_PER_FILLING_TASK_MS * filling_load
        )
        self._tail_ms += _TAIL_SMOOTHING * (target_tail_ms - self._tail_ms)

    def _find_step(self, task_run: TaskRun) -> work.Step:
        return self.oracle.jobs[task_run.key.job].steps[task_run.key.step]

    def set_pace(
        self, epoch: int, order: worker_port.Pace
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry out a pace order."""
        rejection = self.check_epoch(epoch)
        if rejection is not None:
            return rejection
        task_run = self.tasks.get(order.key)
        if task_run is not None and task_run.run == order.run:
            task_run.pace = order.percent
        return worker_port.Accepted(int(self.read_clock()))

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until a run ends, or for some seconds."""
        with trio.move_on_after(wait_s):
            await self._end_listed.wait()


def _measure_progress(task_run: TaskRun) -> float:
    """Return the progress that a task reports, in whole percents."""
    if task_run.lasting:
        is_at_work = trio.current_time() >= task_run.started_at + _STARTUP_S
        return 100.0 if is_at_work else 0.0
    if task_run.working_since is None or task_run.ends_at is None:
        return 0.0
    duration_s = max(0.01, task_run.ends_at - task_run.working_since)
    return float(
        int(100 * (trio.current_time() - task_run.working_since) / duration_s)
    )


class WorkerView:
    """A connection from an entry to a worker; implements `Connection`.

    It stays with the process that answered its first call.
    """

    def __init__(self, find: Callable[[], Worker], entry: str) -> None:
        """Prepare a connection.

        Args:
            find: Returns the process that answers under the worker's id.
            entry: Name of the entry that opens it.
        """
        self._find_process = find
        self._entry = entry
        self._first_process: Worker | None = None
        self.is_open = True

    @property
    def _worker(self) -> Worker:
        """The process that answered first."""
        if self._first_process is None:
            self._first_process = self._find_process()
        return self._first_process

    def _is_reachable(self) -> bool:
        return (
            self._worker.alive
            and self._entry not in self._worker.unreachable_from
        )

    async def _wait_without_answer(
        self, timeout_s: float, *, sent: bool = False
    ) -> worker_port.NoAnswer:
        """Return the failure of a call that gets no answer.

        It comes at once if the worker's VM refuses connections, else after the
        timeout.

        Args:
            timeout_s: How long the caller waits.
            sent: Whether the order may have been carried out.
        """
        self.is_open = False
        if (
            self._worker.refuses_connections
            and self._entry not in self._worker.unreachable_from
        ):
            await trio.sleep(_ORDER_DELAY_S)
            return worker_port.NoAnswer("refused", maybe_done=sent)
        await trio.sleep(timeout_s)
        return worker_port.NoAnswer("cut")

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Fetch a report; wait for an end if there is none."""
        await trio.sleep(_ORDER_DELAY_S)
        if self._worker.superseded:
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_without_answer(wait_s + 0.6)
        report = self._worker.build_report(epoch, seen, until_ms)
        if (
            isinstance(report, worker_port.Report)
            and not report.ended
            and wait_s
        ):
            await self._worker.wait_for_end(wait_s)
            if not self._is_reachable():
                return await self._wait_without_answer(0.6, sent=True)
            report = self._worker.build_report(epoch, seen, None)
        await trio.sleep(_ORDER_DELAY_S)
        self._worker.has_answered = True
        return report

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order the start of a run; some starts are carried out late."""
        await trio.sleep(_ORDER_DELAY_S)
        if self._worker.superseded:
            self._worker.misdirected_starts += 1
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_without_answer(timeout_s)
        if self._worker.random.random() < self._worker.late_order_share:
            trio.lowlevel.spawn_system_task(
                self._start_late, epoch, order, until_ms
            )
            self.is_open = False
            await trio.sleep(timeout_s)
            return worker_port.NoAnswer("late")
        outcome = self._worker.start_run(
            epoch, order, until_ms, sender=self._entry
        )
        if self._worker.crash_before_answer(order.key):
            return await self._wait_without_answer(timeout_s, sent=True)
        await trio.sleep(_ORDER_DELAY_S)
        return outcome

    async def _start_late(
        self, epoch: int, order: worker_port.Start, until_ms: int
    ) -> None:
        await trio.sleep(self._worker.random.uniform(*_LATE_RANGE_S))
        process = self._find_late_process()
        if process is not None:
            process.start_run(epoch, order, until_ms, late=True)

    async def _stop_late(self, epoch: int, order: worker_port.Stop) -> None:
        await trio.sleep(self._worker.random.uniform(*_LATE_RANGE_S))
        process = self._find_late_process()
        if process is not None:
            process.stop_run(epoch, order)

    def _find_late_process(self) -> Worker | None:
        """Return the process that carries out a late order; None if none does.

        After a restart it is the worker's present process, but only once it has
        answered an owner: before that nobody can have told it to refuse.
        """
        if self._worker.alive:
            return self._worker
        process = self._find_process()
        is_known = process.has_answered and not process.superseded
        return process if process.alive and is_known else None

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order the stop of a run; some stops are carried out late."""
        await trio.sleep(_ORDER_DELAY_S)
        if self._worker.superseded:
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_without_answer(timeout_s)
        # No random number is used if the share is 0, so that days without late
        # orders stay the same.
        share = self._worker.late_order_share
        if share > 0 and self._worker.random.random() < share:
            trio.lowlevel.spawn_system_task(self._stop_late, epoch, order)
            self.is_open = False
            await trio.sleep(timeout_s)
            return worker_port.NoAnswer("late")
        outcome = self._worker.stop_run(epoch, order)
        await trio.sleep(_ORDER_DELAY_S)
        return outcome

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order another pace of a run."""
        await trio.sleep(_ORDER_DELAY_S)
        if not self._is_reachable():
            return await self._wait_without_answer(timeout_s)
        return self._worker.set_pace(epoch, order)

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_open = False


class MisdirectedView:
    """A connection to an address at which the worker does not listen.

    It implements `Connection`. If another worker listens there, that one
    rejects each call; else nobody answers.
    """

    def __init__(self, *, is_taken: bool) -> None:
        self._is_taken = is_taken
        self.is_open = True

    async def _reject(
        self, timeout_s: float
    ) -> worker_port.Rejected | worker_port.NoAnswer:
        if self._is_taken:
            await trio.sleep(_ORDER_DELAY_S)
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        self.is_open = False
        await trio.sleep(timeout_s)
        return worker_port.NoAnswer("nobody", maybe_done=False)

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Fetch a report."""
        return await self._reject(wait_s + 0.6)

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order the start of a run."""
        return await self._reject(timeout_s)

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order the stop of a run."""
        return await self._reject(timeout_s)

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Order another pace of a run."""
        return await self._reject(timeout_s)

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_open = False

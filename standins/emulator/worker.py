"""A worker of the platform in memory: leases, fences, rooms and gangs."""

from collections.abc import Callable
import dataclasses
import random

import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies

_STOP_S = 0.15
_ORDER_S = 0.001
_HOLD_MAX_MS = 10_000
_SLOWEST = 0.98
# A task that lasts is at work after this.
_STARTUP_S = 0.4
# Tail of a serving task alone, and what one task that fills adds to it.
_TAIL_MS = 40.0
_DISTURBANCE_MS = 60.0
# The payload of a job whose tasks crash each worker that starts them, and how
# long that takes; at times the worker is gone before it has answered.
CRASHING = "crash"
_CRASH_S = 0.01
_UNANSWERED_SHARE = 0.3
# A room that has shrunk counts from then on: nobody can know of it at once.
_SHRUNK_AFTER_S = 4.5
# A worker that has crashed is listed until three heartbeats are missed.
_UNNOTICED_S = 4.5
# A new process's clock starts here.
_FIRST_CLOCK_MS = 1.0
_UNIX_MS = 1_700_000_000_000
# The figure is one for the last half second; a step of time is 20 ms.
_TAIL_SHARE = 0.08


@dataclasses.dataclass
class Task:
    """One run here."""

    key: work.TaskKey
    run: int
    began_at: float
    works_from: float | None
    ends_at: float | None
    stops_at: float | None = None
    how: worker_port.RunOutcome = worker_port.RunOutcome.DONE
    lasting: bool = False
    pace: int = 100
    crashes: bool = False


class Gangs:
    """Which members of each run of a gang are present, over all workers."""

    def __init__(self) -> None:
        self.present: dict[tuple[work.StepKey, int], list[Worker]] = {}

    def add(self, key: work.TaskKey, run: int, worker: "Worker") -> int:
        """Note a member; returns how many are present."""
        held = self.present.setdefault((work.StepKey(*key[:3]), run), [])
        held.append(worker)
        return len(held)

    def list(self, key: work.TaskKey, run: int) -> list["Worker"]:
        """Return the workers of a run's members."""
        return self.present.get((work.StepKey(*key[:3]), run), [])


class Worker:
    """One incarnation of a worker."""

    def __init__(
        self,
        entry: worker_port.WorkerEntry,
        oracle: oracles.Oracle,
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
        self.guards = True
        self._rooms: list[tuple[float, work.Room]] = []
        self.alive = True
        self._crashed_at = 0.0
        self.reborn = False
        self.refuses = False
        self.crashed_by_task = False
        self.missed_starts = 0
        self.begun = 0
        self.drains_since: float | None = None
        self.started_draining: list[tuple[work.TaskKey, float]] = []
        self.fails_all = False
        # Share of its usual speed at which everything here works.
        self.speed = 1.0
        self._stepped_at: float | None = None
        self.cut_from: set[str] = set()
        self.late_share = 0.0
        self.fence = 0
        self.until_ms = 0.0
        self.tasks: dict[work.TaskKey, Task] = {}
        self.ended: list[worker_port.RunEnd] = []
        self.highest: dict[work.TaskKey, int] = {}
        self.numbers = 0
        self.noted = 0
        self.offset_ms = self.random.uniform(1e5, 1e6)
        self.rate = self.random.uniform(_SLOWEST, 1.0)
        self.born_ms = _UNIX_MS
        self._tail_ms = _TAIL_MS
        self._news = trio.Event()

    def read_clock(self) -> float:
        """Return this worker's own milliseconds."""
        return self.offset_ms + trio.current_time() * 1000 * self.rate

    def start_anew(self, now: float) -> None:
        """Begin as the next process under this id, which knows nothing."""
        self.born_ms = _UNIX_MS + int(now * 1000)
        self.offset_ms = _FIRST_CLOCK_MS - now * 1000 * self.rate

    def step(self, now: float) -> None:
        """Let time pass: ends, stops, lapses."""
        if not self.alive:
            return
        self._hold_back(now)
        self._follow_tail()
        lapsed = self.read_clock() > self.until_ms
        if lapsed:
            # An end that nobody noted before the lease ended stands for
            # nothing: the owner could only wait the lease out.
            self._allow_again()
        for task in list(self.tasks.values()):
            if lapsed:
                self._end(task, worker_port.RunOutcome.LAPSED, now)
            elif task.stops_at is not None and now >= task.stops_at:
                self._end(task, worker_port.RunOutcome.STOPPED, now)
            elif task.works_from is None:
                if now > task.began_at + oracles.GANG_S:
                    self._end(task, worker_port.RunOutcome.ALONE, now)
            elif task.ends_at is not None and now >= task.ends_at:
                if task.crashes:
                    self._crash_under(task, now)
                    return
                self._end(task, task.how, now)

    def _hold_back(self, now: float) -> None:
        """Move the ends of all work away, as slow as it is."""
        since = self._stepped_at if self._stepped_at is not None else now
        lost_s = (now - since) * (1.0 - self.speed)
        self._stepped_at = now
        for task in self.tasks.values():
            if task.works_from is not None:
                task.works_from += lost_s
            if task.ends_at is not None:
                task.ends_at += lost_s

    def _end(self, task: Task, how: worker_port.RunOutcome, now: float) -> None:
        if self.tasks.get(task.key) is not task:
            return
        del self.tasks[task.key]
        self.numbers += 1
        self.highest[task.key] = task.run
        self.ended.append(
            worker_port.RunEnd(self.numbers, task.key, task.run, how, "")
        )
        self.oracle.note_end(self.entry.id, task.key, task.run, how, now)
        self._news.set()
        self._news = trio.Event()
        step = self.oracle.jobs[task.key.job].steps[task.key.step]
        if step.gang and how is not worker_port.RunOutcome.DONE:
            self._break_gang(task, now)

    def _break_gang(self, task: Task, now: float) -> None:
        for worker in self.gangs.list(task.key, task.run):
            for other in list(worker.tasks.values()):
                if other.run == task.run and other.key[:3] == task.key[:3]:
                    worker._end(other, worker_port.RunOutcome.BROKEN, now)

    def crash_unanswered(self, key: work.TaskKey) -> bool:
        """Crash before the start of a task is answered, for some of those
        that crash their workers; True if so.
        """
        task = self.tasks.get(key)
        if task is None or not task.crashes:
            return False
        if self.random.random() >= _UNANSWERED_SHARE:
            return False
        self._crash_under(task, trio.current_time())
        return True

    def _crash_under(self, task: Task, now: float) -> None:
        """Crash because of a task; the VM stays up and refuses connections."""
        self.oracle.note_crash(task.key, list(self.tasks), now)
        self.refuses = True
        self.crashed_by_task = True
        self.crash()
        self._news.set()

    def crash(self) -> None:
        """Lose everything that runs or is listed here."""
        self.alive = False
        now = trio.current_time()
        self._crashed_at = now
        for task in list(self.tasks.values()):
            self.oracle.note_lost(self.entry.id, task.key, task.run)
            step = self.oracle.jobs[task.key.job].steps[task.key.step]
            self.tasks.pop(task.key, None)
            if step.gang:
                self._break_gang(task, now)
        self._allow_again()
        for ended in self.ended:
            if (
                ended.number > self.noted
                and ended.outcome is worker_port.RunOutcome.FAILED
            ):
                self.oracle.forget_failure(ended.key)
        self.ended.clear()

    def _allow_again(self) -> None:
        for ended in self.ended:
            if (
                ended.number > self.noted
                and ended.outcome is worker_port.RunOutcome.DONE
            ):
                self.oracle.allow_again(ended.key)

    # Orders.

    def check(self, epoch: int) -> worker_port.Rejected | None:
        """Refuse what an earlier owner orders."""
        if epoch < self.fence:
            return worker_port.Rejected(
                worker_port.RejectionReason.FENCED, int(self.read_clock())
            )
        self.fence = epoch
        return None

    def begin(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        *,
        late: bool = False,
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry a start out; `late` if it was sent seconds ago."""
        refused = self.check(epoch)
        if refused is not None:
            return refused
        clock = self.read_clock()
        if until_ms <= clock:
            return worker_port.Rejected(
                worker_port.RejectionReason.LATE, int(clock)
            )
        self.until_ms = max(self.until_ms, min(until_ms, clock + _HOLD_MAX_MS))
        held = self.tasks.get(order.key)
        if held is not None and held.run == order.run:
            return worker_port.Accepted(int(clock))
        if order.run <= self.highest.get(order.key, 0):
            return worker_port.Rejected(
                worker_port.RejectionReason.OLD, int(clock)
            )
        job = self.oracle.jobs[order.key.job]
        step = job.steps[order.key.step]
        if self.guards and not self._find_free().holds(step.charge):
            return worker_port.Rejected(
                worker_port.RejectionReason.NO_ROOM, int(clock)
            )
        asked = work.StepKey(*order.key[:3])
        if job.advised and not self.policy.is_valid(
            order.ticket, asked, self.entry.id
        ):
            self.refused_tickets += 1
            return worker_port.Rejected(
                worker_port.RejectionReason.NO_TICKET, int(clock)
            )
        if not self.guards and not late:
            self._check_limit(order.key, step.charge)
        self._add(order, job, step)
        if self.drains_since is not None and not late:
            self.started_draining.append((order.key, trio.current_time()))
        return worker_port.Accepted(int(clock))

    def is_impaired(self, now: float) -> bool:
        """Tell whether orders to this worker may be lost, late or in vain."""
        if not self.alive:
            return now < self._crashed_at + _UNNOTICED_S
        shrunk = any(at + _SHRUNK_AFTER_S > now for at, _ in self._rooms)
        harmed = self.cut_from or self.late_share or self.fails_all
        harmed = harmed or self.speed < 1.0
        return shrunk or bool(harmed) or self.entry.draining

    def drain(self, now: float) -> None:
        """Say from now on that this worker leaves."""
        self.entry = dataclasses.replace(self.entry, draining=True)
        self.drains_since = now

    def set_room(self, room: work.Room, now: float) -> None:
        """Change what is there; what runs goes on."""
        self._rooms.append((now, self.entry.room))
        self.entry = dataclasses.replace(self.entry, room=room)

    def _check_limit(self, key: work.TaskKey, charge: work.Room) -> None:
        """Note a start that brings the worker over its room."""
        now = trio.current_time()
        recent = [
            room for until, room in self._rooms if until + _SHRUNK_AFTER_S > now
        ]
        limits = [self.entry.room, *recent]
        room = work.Room(*map(max, zip(*limits, strict=True)))
        free = room.minus(self.entry.room).plus(self._find_free())
        if any(
            asked > left
            for asked, left in zip(charge, free, strict=True)
            if asked
        ):
            self.oracle.broken.append(
                f"{now:.3f} limit: {key} on {self.entry.id}, "
                f"{charge} where {free} is free"
            )

    def _check_place(self, key: work.TaskKey, now: float) -> None:
        asked = work.StepKey(*key[:3])
        beside = sum(work.StepKey(*k[:3]) == asked for k in self.tasks)
        entry = self.entry
        where = entry.id, entry.pool, entry.labels
        self.oracle.check_place(key, where, beside, now)

    def _find_free(self) -> work.Room:
        free = self.entry.room
        for key in self.tasks:
            step = self.oracle.jobs[key.job].steps[key.step]
            free = free.minus(step.charge)
        return free

    def _add(
        self, order: worker_port.Start, job: work.Job, step: work.Step
    ) -> None:
        now = trio.current_time()
        self._check_place(order.key, now)
        task = Task(order.key, order.run, now, now, None)
        task.lasting = step.lasting
        task.ends_at = None if step.lasting else now + step.expected_s
        poisoned = job.payload == "poison"
        if poisoned or self.fails_all:
            task.how = worker_port.RunOutcome.FAILED
            task.ends_at = now + 0.2
        if job.payload == CRASHING:
            task.crashes = True
            task.ends_at = now + _CRASH_S
        self.tasks[order.key] = task
        self.begun += 1
        self.oracle.note_start(self.entry.id, order.key, order.run, now)
        if not step.gang:
            return
        task.works_from = None
        if self.gangs.add(order.key, order.run, self) < step.count:
            return
        for worker in self.gangs.list(order.key, order.run):
            for other in worker.tasks.values():
                if other.run == order.run and other.key[:3] == order.key[:3]:
                    other.works_from = now
                    other.ends_at = (
                        now + (other.ends_at or now) - other.began_at
                    )

    def halt(
        self, epoch: int, order: worker_port.Stop
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry a stop out."""
        refused = self.check(epoch)
        if refused is not None:
            return refused
        highest = self.highest.get(order.key, 0)
        held = self.tasks.get(order.key)
        if held is not None and held.run == order.run:
            held.stops_at = trio.current_time() + _STOP_S
        else:
            self.highest[order.key] = max(highest, order.run)
        return worker_port.Accepted(int(self.read_clock()))

    def look(
        self, epoch: int, seen: int, until_ms: int | None
    ) -> worker_port.Report | worker_port.Rejected:
        """Carry a look out."""
        refused = self.check(epoch)
        if refused is not None:
            return refused
        clock = self.read_clock()
        if until_ms is not None:
            self.until_ms = max(
                self.until_ms, min(until_ms, clock + _HOLD_MAX_MS)
            )
        self.noted = max(self.noted, seen)
        self.ended = [e for e in self.ended if e.number > self.noted]
        running = tuple(
            worker_port.ReportedRun(
                task.key,
                task.run,
                "",
                _measure_percent(task),
                self.measure_tail(task),
            )
            for task in self.tasks.values()
        )
        return worker_port.Report(
            int(clock), running, tuple(self.ended), self.born_ms
        )

    def measure_tail(self, task: Task) -> float:
        """Return the tail of a serving task's answers in milliseconds."""
        return self._tail_ms if self._find_step(task).target_ms else 0.0

    def _follow_tail(self) -> None:
        """Move the tail towards what fills beside, each by its pace."""
        beside = sum(
            other.pace / 100
            for other in self.tasks.values()
            if self._find_step(other).fills
        )
        wanted = _TAIL_MS + _DISTURBANCE_MS * beside
        self._tail_ms += _TAIL_SHARE * (wanted - self._tail_ms)

    def _find_step(self, task: Task) -> work.Step:
        return self.oracle.jobs[task.key.job].steps[task.key.step]

    def set_pace(
        self, epoch: int, order: worker_port.Pace
    ) -> worker_port.Accepted | worker_port.Rejected:
        """Carry a pace out."""
        refused = self.check(epoch)
        if refused is not None:
            return refused
        held = self.tasks.get(order.key)
        if held is not None and held.run == order.run:
            held.pace = order.percent
        return worker_port.Accepted(int(self.read_clock()))

    async def wait_for_news(self, wait_s: float) -> None:
        """Wait for an end."""
        with trio.move_on_after(wait_s):
            await self._news.wait()


def _measure_percent(task: Task) -> float:
    """Return how far a task says that it is, in whole percents."""
    if task.lasting:
        at_work = trio.current_time() >= task.began_at + _STARTUP_S
        return 100.0 if at_work else 0.0
    if task.works_from is None or task.ends_at is None:
        return 0.0
    whole = max(0.01, task.ends_at - task.works_from)
    return float(int(100 * (trio.current_time() - task.works_from) / whole))


class WorkerView:
    """A connection from an entry to a worker; implements `Connection`.

    It ends with the process that answered its first call.
    """

    def __init__(self, find: Callable[[], Worker], entry: str) -> None:
        """Prepare a connection.

        Args:
            find: Returns the process that answers under the worker's id.
            entry: Who opens it.
        """
        self._find = find
        self._entry = entry
        self._met: Worker | None = None
        self.is_open = True

    @property
    def _worker(self) -> Worker:
        """The process at the other end."""
        if self._met is None:
            self._met = self._find()
        return self._met

    def _is_reachable(self) -> bool:
        return self._worker.alive and self._entry not in self._worker.cut_from

    async def _wait_in_vain(
        self, timeout_s: float, *, sent: bool = False
    ) -> worker_port.NoAnswer:
        """Get no answer: at once where connections are refused or break."""
        self.is_open = False
        if self._worker.refuses and self._entry not in self._worker.cut_from:
            await trio.sleep(_ORDER_S)
            return worker_port.NoAnswer("refused", maybe_done=sent)
        await trio.sleep(timeout_s)
        return worker_port.NoAnswer("cut")

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> worker_port.Report | worker_port.Rejected | worker_port.NoAnswer:
        """Look, and wait for an end."""
        await trio.sleep(_ORDER_S)
        if self._worker.reborn:
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_in_vain(wait_s + 0.6)
        report = self._worker.look(epoch, seen, until_ms)
        if (
            isinstance(report, worker_port.Report)
            and not report.ended
            and wait_s
        ):
            await self._worker.wait_for_news(wait_s)
            if not self._is_reachable():
                return await self._wait_in_vain(0.6, sent=True)
            report = self._worker.look(epoch, seen, None)
        await trio.sleep(_ORDER_S)
        return report

    async def start(
        self,
        epoch: int,
        order: worker_port.Start,
        until_ms: int,
        timeout_s: float,
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Start a run; some starts are carried out late."""
        await trio.sleep(_ORDER_S)
        if self._worker.reborn:
            self._worker.missed_starts += 1
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_in_vain(timeout_s)
        if self._worker.random.random() < self._worker.late_share:
            trio.lowlevel.spawn_system_task(
                self._begin_late, epoch, order, until_ms
            )
            self.is_open = False
            await trio.sleep(timeout_s)
            return worker_port.NoAnswer("late")
        outcome = self._worker.begin(epoch, order, until_ms)
        if self._worker.crash_unanswered(order.key):
            return await self._wait_in_vain(timeout_s, sent=True)
        await trio.sleep(_ORDER_S)
        return outcome

    async def _begin_late(
        self, epoch: int, order: worker_port.Start, until_ms: int
    ) -> None:
        await trio.sleep(self._worker.random.uniform(2.0, 12.0))
        if self._worker.alive:
            self._worker.begin(epoch, order, until_ms, late=True)

    async def stop(
        self, epoch: int, order: worker_port.Stop, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Stop a run."""
        await trio.sleep(_ORDER_S)
        if self._worker.reborn:
            return worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION
            )
        if not self._is_reachable():
            return await self._wait_in_vain(timeout_s)
        outcome = self._worker.halt(epoch, order)
        await trio.sleep(_ORDER_S)
        return outcome

    async def pace(
        self, epoch: int, order: worker_port.Pace, timeout_s: float
    ) -> worker_port.Accepted | worker_port.Rejected | worker_port.NoAnswer:
        """Set a run's pace."""
        await trio.sleep(_ORDER_S)
        if not self._is_reachable():
            return await self._wait_in_vain(timeout_s)
        return self._worker.set_pace(epoch, order)

    async def aclose(self) -> None:
        """Close it."""
        self.is_open = False

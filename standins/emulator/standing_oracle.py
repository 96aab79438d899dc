"""Checks that no job stands still although a task of it could run."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from crocusrouter import work
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import rules
from standins.emulator import worker as workers

# Rules that this oracle checks.
RULES = frozenset({rules.Rule.LOST_STANDING})

# `finish_s` of the users' sites, counted from the end of the traffic.
FINISH_S = 14.0
# For how long a job may have nothing running beside room, and how long before
# that nothing may have been impaired for the rule to hold during the traffic.
LIMIT_S = 3.0
CALM_BEFORE_S = 4.0
# A task that lasts may be away for this long after a run, and then stand.
_LASTING_PAUSE_S = 6.0
# Room is needed this many times over.
_ROOM_FACTOR = 2


@dataclasses.dataclass
class _Standing:
    """A time for which a job, or a task that lasts, has stood still.

    Attributes:
        since: When it began, in seconds.
        half_used_at: When half of the capacity or more was last in use; the
            beginning if it never was.
        judged: Whether the rule has held for a part of it.
        reported: Whether it has broken the rule.
    """

    since: float
    half_used_at: float
    judged: bool = False
    reported: bool = False


@dataclasses.dataclass(frozen=True)
class _DueStep:
    """A step with tasks whose turn has come.

    Attributes:
        key: The step's key.
        step: The step.
        is_advised: Whether the policy chooses its workers.
    """

    key: work.StepKey
    step: work.Step
    is_advised: bool

    @property
    def needed_slots(self) -> int:
        """For how many tasks there must be room."""
        return _ROOM_FACTOR * (self.step.count if self.step.gang else 1)


@dataclasses.dataclass(frozen=True)
class _Idler:
    """A job or a lasting task of which nothing runs.

    Attributes:
        row: The job's id or the task.
        due_steps: The steps that are due if all listed ends count; one of them
            must have room.
        surely_due_steps: The same if the ends that may be lost don't count.
        may_idle_until: When it last ran, or until when it may be away.
    """

    row: str | work.TaskKey
    due_steps: list[_DueStep]
    surely_due_steps: list[_DueStep]
    may_idle_until: float


class StandingOracle:
    """Finds jobs that stand still for seconds beside room for their tasks.

    A job stands if nothing of it runs while the turn of one of its tasks has
    come and there is room twice over for this task (for a gang: for the whole
    gang). A task that lasts stands for itself, from 6 s after its last run.
    Room is what the workers have free that are up, listed and not draining,
    outside of closed data centres, as far as the step's label, its bound per
    worker and the policy allow; racks don't matter, as tasks run in any rack.

    The rule holds from `FINISH_S` after the traffic while under half of the
    cores of all workers that are up are in use (an accelerator weighs as much
    as eight cores); and at any time if nothing was impaired in the `LIMIT_S`
    of standing and the `CALM_BEFORE_S` before them. Drains of workers,
    closures, cancels and changes of the configuration are planned work and
    excuse nothing: the rule names no such exception. A worker that a task
    crashes is impaired until it is no longer listed, as for cancelled runs.

    What owners may not know is not held against them: a job may have ended if
    enough failures have been listed, and a task whose end was lost may run
    again, so a job stands only if it stands whether these ends count or not.

    Attributes:
        broken: The broken rules, each as one line.
        judged: How many times of standing the rule has held for.
        excused: How many times of standing were longer than `LIMIT_S`, but were
            excused by an impairment or the use of the capacity.
        longest_s: For how many seconds a job has stood at most while the rule
            held.
    """

    def __init__(
        self, job_oracle: oracles.JobOracle, policy: policies.Policy
    ) -> None:
        """Create an oracle.

        Args:
            job_oracle: Knows the jobs, what callers did, and the ends of tasks.
            policy: Tells on which workers tasks of advised jobs may run.
        """
        self.broken: list[str] = []
        self.judged = 0
        self.excused = 0
        self.longest_s = 0.0
        self._job_oracle = job_oracle
        self._policy = policy
        self._traffic_ended_at = math.inf
        self._excused_until = -math.inf
        self._ended_jobs: set[str] = set()
        self._last_runs: dict[work.TaskKey, float] = {}
        self._standings: dict[str | work.TaskKey, _Standing] = {}

    def note_traffic_ended(self, now: float) -> None:
        """Record that the callers and the faults of the day have ended."""
        self._traffic_ended_at = now

    def note_stall(self, now: float) -> None:
        """Record that the process of the check and of the workers stood still.

        It excuses all jobs as an impairment does, after the traffic as well.
        """
        self._excused_until = now + CALM_BEFORE_S

    def check(
        self,
        all_workers: Iterable[workers.Worker],
        list_open_workers: Callable[[], Iterable[workers.Worker]],
        calm_since: float,
        now: float,
        wall: float,
    ) -> None:
        """Report each job that has stood for too long.

        Args:
            all_workers: All workers.
            list_open_workers: Returns the workers that are listed and in open
                data centres; called only if it matters.
            calm_since: Time of the latest impairment, in seconds.
            now: Seconds.
            wall: Unix time in seconds.
        """
        live_workers = [worker for worker in all_workers if worker.alive]
        running = {key for worker in live_workers for key in worker.tasks}
        idlers = list(self._list_idlers(running, now, wall))
        before, self._standings = self._standings, {}
        if idlers:
            places = [
                _Place.observe(worker)
                for worker in list_open_workers()
                if worker.alive
                and worker.draining_since is None
                and not worker.superseded
            ]
            is_half_used = _is_half_used(live_workers)
            for idler in idlers:
                if not self._has_room(idler, places):
                    continue
                standing = before.pop(idler.row, None)
                if standing is None or idler.may_idle_until > standing.since:
                    standing = _Standing(now, now)
                if is_half_used:
                    standing.half_used_at = now
                self._standings[idler.row] = standing
                self._judge(idler, standing, calm_since, now)
        for standing in before.values():
            if not standing.judged and now - standing.since > LIMIT_S:
                self.excused += 1

    def _judge(
        self, idler: _Idler, standing: _Standing, calm_since: float, now: float
    ) -> None:
        since = max(standing.since, self._excused_until)
        calm_from = max(since, calm_since + CALM_BEFORE_S)
        finished_from = max(
            since, standing.half_used_at, self._traffic_ended_at + FINISH_S
        )
        stands_s = now - min(calm_from, finished_from)
        if stands_s <= 0.0:
            return
        if not standing.judged:
            standing.judged = True
            self.judged += 1
        self.longest_s = max(self.longest_s, stands_s)
        if stands_s > LIMIT_S and not standing.reported:
            standing.reported = True
            when = "in calm" if calm_from <= finished_from else "at the end"
            steps = ", ".join(str(due.key) for due in idler.due_steps)
            self.broken.append(
                f"{now:.3f} lost: {idler.row} stands since "
                f"{standing.since:.3f}, {when}; due: {steps}"
            )

    def _list_idlers(
        self, running: set[work.TaskKey], now: float, wall: float
    ) -> Iterator[_Idler]:
        """Return the jobs and lasting tasks that are due and don't run."""
        job_oracle = self._job_oracle
        running_jobs = {key.job for key in running}
        for job_id in sorted(job_oracle.accepted - self._ended_jobs):
            job = job_oracle.jobs[job_id]
            has_lasting = any(step.lasting for step in job.steps)
            if job_id in running_jobs and not has_lasting:
                continue
            was_cancelled = (
                job_id in job_oracle.cancels_sent
                or job_id in job_oracle.cancelled
            )
            if was_cancelled or job_oracle.may_have_ended(job_id):
                self._ended_jobs.add(job_id)
                continue
            due_steps = _list_due(job, wall, job_oracle.done.__contains__)
            surely_due_steps = _list_due(job, wall, job_oracle.is_surely_done)
            if job_id not in running_jobs:
                yield _Idler(
                    job_id,
                    [due for due in due_steps if not due.step.lasting],
                    [due for due in surely_due_steps if not due.step.lasting],
                    job_oracle.last_job_starts.get(job_id, -math.inf),
                )
            if has_lasting:
                yield from self._list_idle_tasks(
                    [due for due in due_steps if due in surely_due_steps],
                    running,
                    now,
                )

    def _list_idle_tasks(
        self, due_steps: list[_DueStep], running: set[work.TaskKey], now: float
    ) -> Iterator[_Idler]:
        """Return the lasting tasks of some steps that have been away long."""
        for due in due_steps:
            if not due.step.lasting:
                continue
            for position in range(due.step.count):
                key = work.TaskKey(*due.key, position)
                if key in running:
                    self._last_runs[key] = now
                    continue
                last_run_at = max(
                    self._last_runs.get(key, -math.inf),
                    self._job_oracle.last_starts.get(key, -math.inf),
                )
                may_idle_until = last_run_at + _LASTING_PAUSE_S
                if now >= may_idle_until:
                    yield _Idler(key, [due], [due], may_idle_until)

    def _has_room(self, idler: _Idler, places: list["_Place"]) -> bool:
        """Tell whether a step has room, whichever ends count."""
        return all(
            any(self._has_room_for(due, places) for due in due_steps)
            for due_steps in (idler.due_steps, idler.surely_due_steps)
        )

    def _has_room_for(self, due: _DueStep, places: list["_Place"]) -> bool:
        missing_slots = due.needed_slots
        for place in places:
            if due.is_advised and not self._policy.may_run(
                due.key, place.worker
            ):
                continue
            missing_slots -= place.count_slots(due)
            if missing_slots <= 0:
                return True
        return False


@dataclasses.dataclass(frozen=True)
class _Place:
    """A worker on which tasks may start, at one moment.

    Attributes:
        worker: Its id.
        labels: Its labels.
        free: Its free room.
        keys: The tasks that run there.
    """

    worker: str
    labels: frozenset[str]
    free: work.Room
    keys: tuple[work.TaskKey, ...]

    @classmethod
    def observe(cls, worker: workers.Worker) -> "_Place":
        """Return the place that a worker is now."""
        return cls(
            worker.entry.id,
            worker.entry.labels,
            worker.compute_free_room(),
            tuple(worker.tasks),
        )

    def count_slots(self, due: _DueStep) -> int:
        """Return how many tasks of a step could start here."""
        if due.step.label and due.step.label not in self.labels:
            return 0
        slots = self.free.count(due.step.charge)
        if due.step.per_worker:
            running_count = sum(
                work.StepKey(*key[:3]) == due.key for key in self.keys
            )
            slots = min(slots, due.step.per_worker - running_count)
        return max(0, slots)


def _list_due(
    job: work.Job, wall: float, is_done: Callable[[work.TaskKey], bool]
) -> list[_DueStep]:
    """Return the steps with tasks whose turn has come.

    Args:
        job: The job.
        wall: Unix time in seconds.
        is_done: Tells whether a task counts as done.
    """
    due_steps = []
    for occurrence in range(job.occurrences):
        if job.find_due(occurrence) > wall:
            break
        unfinished = {
            number
            for number, step in enumerate(job.steps)
            if not all(
                is_done(work.TaskKey(job.id, occurrence, number, position))
                for position in range(step.count)
            )
        }
        due_steps += [
            _DueStep(
                work.StepKey(job.id, occurrence, number),
                job.steps[number],
                job.advised,
            )
            for number in sorted(unfinished)
            if unfinished.isdisjoint(job.steps[number].after)
        ]
    return due_steps


def _is_half_used(live_workers: list[workers.Worker]) -> bool:
    """Tell whether half of the cores of all workers or more are in use."""
    total = sum(worker.entry.room.cores for worker in live_workers)
    free = sum(worker.compute_free_room().cores for worker in live_workers)
    return total - free >= total / 2

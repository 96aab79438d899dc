"""Checks the rules on jobs from what workers and callers observe."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from crocusrouter import work
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import rules

# A start that was on its way when a cancel was confirmed is allowed for this
# long.
_CANCEL_NOTICE_S = 3.0
# `stop_timeout_ms` of the users' sites. A run of a cancelled job has to be over
# that much later than the last start of such a job is allowed.
_STOP_TIMEOUT_S = 0.2
_NOTED_S = 1.0
# How many workers a task may crash, and which further start after that breaks
# the rule.
_CRASHES_ALLOWED = 3
_STARTS_TOO_MANY = 3
# `recovery_s` of the users' sites, the share of submissions that must be served
# after it, and the number of submissions below which nothing is concluded.
RECOVERY_S = 12.0
_ACCEPTED_SHARE = 0.25
_MIN_SUBMISSIONS = 4
# How long a started member of a gang waits for the others.
GANG_WAIT_S = 3.0


# Rules that this oracle checks, with the workers that report to it.
RULES = frozenset(
    {
        rules.Rule.BUDGET,
        rules.Rule.GANG,
        rules.Rule.LIMIT_ROOMS,
        rules.Rule.LOST_JOBS,
        rules.Rule.MIXED_JOBS,
        rules.Rule.ORDER,
        rules.Rule.RECOVER,
        rules.Rule.REFUSED,
        rules.Rule.ROUTE_STARTS,
        rules.Rule.TWICE,
        rules.Rule.UNASKED,
    }
)


@dataclasses.dataclass(frozen=True)
class ObservedRun:
    """A run that a worker has at one moment.

    Attributes:
        key: The task.
        run: Number of the run.
        worker: Id of the worker's incarnation.
        started_at: When it was started, in seconds.
        was_late: Whether its start was delayed by seconds on its way.
    """

    key: work.TaskKey
    run: int
    worker: str
    started_at: float
    was_late: bool


class JobOracle:
    """Checks the rules on jobs and collects the broken ones, each as one line.

    Attributes:
        broken: The broken rules.
        jobs: All submitted jobs by id.
        accepted: Ids of jobs whose submission was accepted.
        refused: Ids of jobs of which every submission was refused.
        cancelled: When the cancel of a job was confirmed, by job id.
        queue_pools: The pools to which configurations have sent the queue.
        cancels_sent: Ids of jobs whose cancel was sent; one without an
            answer may be carried out at any later time.
        excused_gangs: How many incomplete gangs were excused by an impairment.
        incomplete_gangs: Runs of gangs that ended because a member was never
            started, with the times; `check_incomplete_gangs` checks them.
        submissions: When jobs were submitted, and whether they were accepted.
        entries_back_at: When all entries were last back after the loss of all.
        done: When each finished task was first done.
        first_started_at: When a task of each job was first started.
        last_starts: When each task was last started.
        last_job_starts: When a task of each job was last started.
        failed: How often each task has failed.
        task_crashes: Crashes caused by tasks, with their times.
        crashes_caused: How many workers each task has crashed.
        crashes_met: How often a worker was crashed by a task while each task
            ran on it, the causing task included.
        judged_cancels: How many runs of cancelled jobs `check_cancelled_runs`
            has judged: reported, or seen to go on and then to end in time.
            Runs that ended while an impairment excused them aren't counted.
        longest_after_cancel: For how many seconds a run of a cancelled job went
            on at most, from the moment from which it was judged.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, work.Job] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.queue_pools: set[str] = set()
        self.cancels_sent: set[str] = set()
        self.excused_gangs = 0
        self.incomplete_gangs: list[tuple[float, work.TaskKey]] = []
        self.submissions: list[tuple[float, bool]] = []
        self.entries_back_at: float | None = None
        self.done: dict[work.TaskKey, float] = {}
        self.first_started_at: dict[str, float] = {}
        self.last_starts: dict[work.TaskKey, float] = {}
        self.last_job_starts: dict[str, float] = {}
        self.failed: collections.Counter[work.TaskKey] = collections.Counter()
        self._maybe_uncounted: collections.Counter[work.TaskKey] = (
            collections.Counter()
        )
        self.task_crashes: list[tuple[float, work.TaskKey]] = []
        self.crashes_caused: collections.Counter[work.TaskKey] = (
            collections.Counter()
        )
        self.crashes_met: collections.Counter[work.TaskKey] = (
            collections.Counter()
        )
        self._starts_after_crashes: collections.Counter[work.TaskKey] = (
            collections.Counter()
        )
        self.judged_cancels = 0
        self.longest_after_cancel = 0.0
        # Runs of cancelled jobs by worker, with the time for which they have
        # gone on, and those of them that were reported.
        self._cancelled_runs: dict[tuple[str, work.TaskKey, int], float] = {}
        self._reported_runs: set[tuple[str, work.TaskKey, int]] = set()
        self._rerun_allowed: set[work.TaskKey] = set()
        self._running: dict[work.TaskKey, set[tuple[str, int]]] = (
            collections.defaultdict(set)
        )

    def note_start(
        self,
        worker: str,
        key: work.TaskKey,
        run: int,
        now: float,
        *,
        was_late: bool = False,
    ) -> None:
        """Record and check a start that a worker has carried out.

        Args:
            worker: The worker's id.
            key: The task.
            run: Number of its run.
            now: Seconds.
            was_late: Whether the start was delayed on its way. It may then come
                after a cancel, but its run must end in time.
        """
        job = self.jobs.get(key.job)
        if job is None:
            self.broken.append(f"{now:.3f} unasked: {key} on {worker}")
            return
        self.first_started_at.setdefault(key.job, now)
        self.last_starts[key] = self.last_job_starts[key.job] = now
        step = job.steps[key.step]
        running = self._running[key]
        if running:
            self.broken.append(
                f"{now:.3f} twice: {key} run {run} on {worker} and on {running}"
            )
        if key in self.done and key not in self._rerun_allowed:
            self.broken.append(
                f"{now:.3f} twice: {key} run {run} on {worker}, already done"
            )
        for earlier in step.after:
            if not self._is_step_done(job, key, earlier):
                self.broken.append(
                    f"{now:.3f} order: {key} before step {earlier}"
                )
        failed_count = self.failed[key] - self._maybe_uncounted[key]
        if failed_count >= job.max_attempts and not step.lasting:
            self.broken.append(f"{now:.3f} budget: {key}")
        self._check_starts_after_crashes(key, now)
        cancelled = self.cancelled.get(key.job)
        is_too_late = (
            cancelled is not None and now > cancelled + _CANCEL_NOTICE_S
        )
        if is_too_late and not was_late:
            self.broken.append(
                f"{now:.3f} unasked: {key} after its job was cancelled"
            )
        running.add((worker, run))

    def check_placement(
        self,
        key: work.TaskKey,
        placement: tuple[str, str, frozenset[str]],
        running_count: int,
        now: float,
    ) -> None:
        """Check that a task may start on a worker.

        Args:
            key: The task.
            placement: The worker's name, its pool and its labels.
            running_count: How many tasks of the step run there already.
            now: Time of the start, in seconds.
        """
        job = self.jobs[key.job]
        step = job.steps[key.step]
        worker, pool, labels = placement
        faults = []
        if pool != job.pool and pool not in self.queue_pools:
            faults.append(f"is of pool {pool}")
        if step.label and step.label not in labels:
            faults.append(f"lacks label {step.label}")
        if step.per_worker and running_count >= step.per_worker:
            faults.append(f"already runs {running_count} of the step")
        if faults:
            reasons = ", ".join(faults)
            self.broken.append(
                f"{now:.3f} route: {key} on {worker}, which {reasons}"
            )

    def _check_starts_after_crashes(
        self, key: work.TaskKey, now: float
    ) -> None:
        if self.crashes_caused[key] < _CRASHES_ALLOWED:
            return
        self._starts_after_crashes[key] += 1
        if self._starts_after_crashes[key] == _STARTS_TOO_MANY:
            self.broken.append(
                f"{now:.3f} budget: {key} started {_STARTS_TOO_MANY} "
                f"times more after it had crashed {_CRASHES_ALLOWED} workers"
            )

    def note_crash(
        self, key: work.TaskKey, tasks: list[work.TaskKey], now: float
    ) -> None:
        """Record that a task has crashed its worker.

        Args:
            key: The task.
            tasks: All tasks that ran on the worker, with the task itself.
            now: Seconds.
        """
        self.crashes_caused[key] += 1
        self.task_crashes.append((now, key))
        for task in tasks:
            self.crashes_met[task] += 1

    def _is_step_done(
        self, job: work.Job, key: work.TaskKey, earlier: int
    ) -> bool:
        return all(
            work.TaskKey(key.job, key.occurrence, earlier, index) in self.done
            for index in range(job.steps[earlier].count)
        )

    def note_end(
        self, worker: str, key: work.TaskKey, run: int, how: str, now: float
    ) -> None:
        """Record an end that a worker has listed.

        Args:
            worker: The worker's id.
            key: The task.
            run: Number of its run.
            how: How the run ended, a value of `orders.How`.
            now: Seconds.
        """
        self._running[key].discard((worker, run))
        job = self.jobs.get(key.job)
        if job is None:
            return
        if how == "alone":
            self.incomplete_gangs.append((now, key))
        if how == "failed":
            self.failed[key] += 1
        if how == "done":
            step = job.steps[key.step]
            indices = range(step.count) if step.gang else (key.position,)
            for index in indices:
                self.done.setdefault(key._replace(position=index), now)

    def check_incomplete_gangs(self, is_calm: Callable[[float], bool]) -> None:
        """Check the incomplete gangs that have ended since the last call.

        An incomplete gang breaks a rule unless its job was cancelled or
        something was impaired before.

        Args:
            is_calm: Tells whether nothing has been impaired since a time.
        """
        gangs, self.incomplete_gangs = self.incomplete_gangs, []
        for at, key in gangs:
            if key.job in self.cancels_sent:
                continue
            if is_calm(at - GANG_WAIT_S - impairment_logs.STABLE_WINDOW_S):
                self.broken.append(
                    f"{at:.3f} gang: {key} waited for missing members"
                )
            else:
                self.excused_gangs += 1

    def check_cancelled_runs(
        self, runs: Iterable[ObservedRun], calm_since: float, now: float
    ) -> None:
        """Report each run that goes on for too long after a cancel of its job.

        The time counts from the confirmation of the cancel or from the latest
        impairment; for a run whose start was late, from the stable window after
        its start, if that is later.

        Args:
            runs: All that runs now on workers that are up.
            calm_since: Time of the latest impairment, in seconds.
            now: Seconds.
        """
        if not self.cancelled:
            return
        before, self._cancelled_runs = self._cancelled_runs, {}
        for run in runs:
            cancelled_at = self.cancelled.get(run.key.job)
            if cancelled_at is None:
                continue
            judged_from = max(cancelled_at, calm_since)
            if run.was_late:
                judged_from = max(
                    judged_from,
                    run.started_at + impairment_logs.STABLE_WINDOW_S,
                )
            row = run.worker, run.key, run.run
            lasted_s = now - judged_from
            self._cancelled_runs[row] = lasted_s
            self.longest_after_cancel = max(self.longest_after_cancel, lasted_s)
            if (
                lasted_s > _CANCEL_NOTICE_S + _STOP_TIMEOUT_S
                and row not in self._reported_runs
            ):
                self._reported_runs.add(row)
                self.judged_cancels += 1
                self.broken.append(
                    f"{now:.3f} unasked: {run.key} run {run.run} on "
                    f"{run.worker} goes on, cancelled {cancelled_at:.3f}, "
                    f"judged from {judged_from:.3f}"
                )
        self.judged_cancels += sum(
            lasted_s > 0
            for row, lasted_s in before.items()
            if row not in self._cancelled_runs
            and row not in self._reported_runs
        )

    def note_lost(self, worker: str, key: work.TaskKey, run: int) -> None:
        """Record that a run ended because its worker crashed."""
        self._running[key].discard((worker, run))

    def allow_rerun(self, key: work.TaskKey) -> None:
        """Allow another run of a task that is done, as its end may be lost.

        The worker is gone or its lease has ended, and no owner has confirmed
        the end. The task still counts as done, since later steps may have
        started. One end stands for all members of a gang, whose own ends may
        be listed after the loss.
        """
        step = self.jobs[key.job].steps[key.step]
        indices = range(step.count) if step.gang else (key.position,)
        for index in indices:
            self._rerun_allowed.add(key._replace(position=index))

    def is_surely_done(self, key: work.TaskKey) -> bool:
        """Tell whether a task is done, and its end can't have been lost."""
        return key in self.done and key not in self._rerun_allowed

    def may_have_ended(self, job_id: str) -> bool:
        """Tell whether a job may have ended by itself, as its tasks did.

        Failures that owners may not count are taken as counted.
        """
        tasks = self._list_tasks(job_id)
        if all(key in self.done for key in tasks) or self._may_give_up(tasks):
            return True
        job = self.jobs[job_id]
        return any(
            _sum_gang(job, key, self.failed) >= job.max_attempts
            for key in tasks
            if not job.steps[key.step].lasting
        )

    def allow_uncounted_failure(self, key: work.TaskKey) -> None:
        """Allow owners not to count a failure whose worker has crashed.

        The end was never confirmed. An owner that has received it counts the
        attempt as spent; another one doesn't.
        """
        self._maybe_uncounted[key] += 1

    def check_final_states(self, states: dict[str, str | None]) -> None:
        """Check the final states of all jobs, once the faults are over.

        Args:
            states: The state that a caller reads for each accepted job.
        """
        self._check_recovery()
        for job_id in self.refused & self.first_started_at.keys():
            if job_id not in self.accepted:
                self.broken.append(
                    f"refused: {job_id} was refused, but has run"
                )
        for job_id in self.accepted:
            state = states.get(job_id)
            if state == "done" and not self._is_job_done(job_id):
                self.broken.append(
                    f"mixed: {job_id} is shown as done, but isn't whole"
                )
                continue
            expected = self._find_expected(job_id)
            if state not in expected:
                self.broken.append(
                    f"lost: {job_id} is {state}, expected one of {expected}"
                )

    def _check_recovery(self) -> None:
        if self.entries_back_at is None:
            return
        after = self.entries_back_at + RECOVERY_S
        outcomes_later = [
            accepted for at, accepted in self.submissions if at > after
        ]
        outcomes_before = [
            accepted
            for at, accepted in self.submissions
            if at < self.entries_back_at
        ]
        if (
            len(outcomes_later) < _MIN_SUBMISSIONS
            or len(outcomes_before) < _MIN_SUBMISSIONS
        ):
            return
        share, earlier_share = (
            sum(outcomes) / len(outcomes)
            for outcomes in (outcomes_later, outcomes_before)
        )
        if share < _ACCEPTED_SHARE <= earlier_share:
            self.broken.append(
                f"{after:.3f} recover: {share:.2f} of "
                f"{len(outcomes_later)} accepted"
            )

    def _list_tasks(self, job_id: str) -> list[work.TaskKey]:
        job = self.jobs[job_id]
        return [
            work.TaskKey(job_id, occurrence, number, index)
            for occurrence in range(job.occurrences)
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        ]

    def _may_give_up(self, tasks: list[work.TaskKey]) -> bool:
        """Tell whether an owner may give up a job because of crashes.

        That takes a task of the job that crashes workers, and a task of it that
        was on two workers when they crashed. The tasks may differ: other tasks
        may run beside one that crashes workers at any time.
        """
        crashes_workers = any(self.crashes_caused[key] for key in tasks)
        return crashes_workers and any(
            self.crashes_met[key] > 1 for key in tasks
        )

    def _is_job_done(self, job_id: str) -> bool:
        return all(key in self.done for key in self._list_tasks(job_id))

    def _find_expected(self, job_id: str) -> set[str]:
        job = self.jobs[job_id]
        if job_id in self.cancelled:
            return {"cancelled", "done", "failed"}
        maybe_cancelled = (
            {"cancelled"} if job_id in self.cancels_sent else set()
        )
        if self._is_job_done(job_id):
            return {"done"} | maybe_cancelled
        tasks = self._list_tasks(job_id)
        limit = job.max_attempts
        failures = [_sum_gang(job, key, self.failed) for key in tasks]
        uncounted = [
            _sum_gang(job, key, self._maybe_uncounted) for key in tasks
        ]
        expected = maybe_cancelled
        if self._may_give_up(tasks):
            expected.add("failed")
        if any(count >= limit for count in failures):
            expected.add("failed")
        counts = zip(failures, uncounted, strict=True)
        if not any(
            count - maybe_uncounted >= limit
            for count, maybe_uncounted in counts
        ):
            expected.add("done")
        return expected


def _sum_gang(
    job: work.Job,
    key: work.TaskKey,
    counts: collections.Counter[work.TaskKey],
) -> int:
    """Return a task's count; for a gang, the sum over its members."""
    step = job.steps[key.step]
    if not step.gang:
        return counts[key]
    return sum(
        counts[key._replace(position=index)] for index in range(step.count)
    )

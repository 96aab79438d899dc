"""State of one pool in memory: its jobs, runs and workers.

Methods take an event and the present time. The effects are collected in
`outbox` (orders for workers) and `dirty` (jobs whose progress must be
journaled). The module does no I/O.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from crocusrouter.work import crash_records
from crocusrouter.work import model
from crocusrouter.work import progress as progresses
from crocusrouter.work import run_times
from crocusrouter.work import speeds
from crocusrouter.work import start_delays
from crocusrouter.work import stop_durations
from crocusrouter.work import stop_limits
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

# Pause before a failed task starts again, so that a task which fails at once
# does not use up its attempts during a short disturbance of the workers.
RETRY_PAUSE_S = 0.3
# A run that is still reported this long after its stop is stopped again.
STOP_REPEAT_S = 1.5
# If there is room this soon after the runs of a worker are known to be lost,
# there was room before as well.
_ROOM_KNOWN_S = 1.0
# How many workers a log line names.
_MAX_NAMED_WORKERS = 8
WorkerStop = tuple[str, worker_port.Stop]

# Occurrences of a job open while fewer steps of it than this wait. A plan takes
# time that grows with the waiting steps, and thousands may be due at once.
_MAX_WAITING_STEPS = 256


class PoolState:
    """Jobs, runs and workers of one pool.

    Attributes:
        epoch: Epoch of this owner.
        pool: Name of the pool.
        queue_pools: Pool of each queue, by the configuration in force.
        config_version: Version of that configuration.
        jobs: All known jobs by id.
        live_jobs: The jobs that are not over.
        workers: Workers by the id of their incarnation.
        runs: The latest run of each task that may be running.
        dirty: Ids of the jobs whose progress must be journaled.
        outbox: Stop orders to send, with the worker that each goes to.
        guaranteed: Guaranteed accelerators by customer.
        closed_data_centres: Data centres that are closed to new work.
        stop_durations: Estimate of how long stops take.
        speeds: Estimates of how fast the workers run.
        contended_at: When the first priority last had to stop other work to
            find room, on the steady clock; None if it never had to.
        start_delays: Steps that wait although there is room for them.
        worker_crashes: Latest crashes of workers, by incarnation, in the order
            in which they became known.
        events: Log lines that the controller has yet to write.
    """

    def __init__(self, epoch: int, pool: str = "") -> None:
        self.epoch = epoch
        self.pool = pool
        self.queue_pools: dict[str, str] = {}
        self.config_version = 0
        self.jobs: dict[str, tracking.TrackedJob] = {}
        self.live_jobs: dict[str, tracking.TrackedJob] = {}
        self.workers: dict[str, tracking.Worker] = {}
        self.runs: dict[model.TaskKey, tracking.Run] = {}
        self.dirty: set[str] = set()
        self.outbox: list[WorkerStop] = []
        self.guaranteed: dict[str, int] = {}
        self.closed_data_centres: frozenset[str] = frozenset()
        self.stop_durations = stop_durations.StopDurations()
        self.speeds = speeds.WorkerSpeeds(self.workers)
        self.contended_at: float | None = None
        self.start_delays = start_delays.StartDelays()
        self.worker_crashes: dict[str, crash_records.WorkerCrash] = {}
        self.events: collections.deque[tuple[str, dict[str, object]]] = (
            collections.deque(maxlen=2000)
        )

    def note(self, what: str, **facts: object) -> None:
        """Queue one line for the log; the controller writes it."""
        self.events.append((what, facts))

    def note_contention(self, now: float) -> None:
        """Note that the first priority had to stop other work to find room."""
        self.contended_at = now

    def note_delays(
        self,
        causes: Mapping[model.StepKey, start_delays.Cause],
        now: float,
    ) -> None:
        """Record which steps wait although there is room for them.

        Args:
            causes: Why each of them waits.
            now: Steady time in seconds.
        """
        pending = {
            key
            for key in self.start_delays.list_steps()
            if self._is_start_pending(key, now)
        }
        stood_since = {}
        for key in causes:
            tracked_step = self.find_tracked_step(key)
            if (
                tracked_step is not None
                and tracked_step.lost_since is not None
                and tracked_step.waiting_since is not None
                and now < tracked_step.waiting_since + _ROOM_KNOWN_S
            ):
                stood_since[key] = tracked_step.lost_since
        for key, delay in self.start_delays.update(
            causes, now, stood_since=stood_since, pending=pending
        ):
            self.note(
                "step:waits",
                step=key,
                cause=str(delay.cause),
                for_s=round(now - delay.since, 3),
                **self._describe_delay(key, delay.cause),
            )

    def _is_start_pending(self, key: model.StepKey, now: float) -> bool:
        """Tell whether a step's latest starts may still turn out to fail."""
        tracked_step = self.find_tracked_step(key)
        if tracked_step is None:
            return False
        if tracked_step.not_before > now:
            return True
        runs = tracked_step.runs_by_index.values()
        return any(run.confirmed_at is None for run in runs)

    def _describe_delay(
        self, key: model.StepKey, cause: start_delays.Cause
    ) -> dict[str, object]:
        """Return further fields of the log line about a delayed step."""
        if cause is start_delays.Cause.UNREPORTED_WORKER:
            unreported_workers = [
                worker_id
                for worker_id, worker in self.workers.items()
                if worker.has_unknown_runs
            ]
            return {
                "workers": unreported_workers[:_MAX_NAMED_WORKERS],
                "worker_count": len(unreported_workers),
            }
        tracked_step = self.find_tracked_step(key)
        if cause is start_delays.Cause.GANG_MEMBERS and tracked_step:
            runs = self.list_step_runs(tracked_step)
            return {
                "runs": [
                    (run.key, run.number, run.worker_id, str(run.phase))
                    for run in runs
                ]
            }
        return {}

    # Jobs.

    def put_job(
        self,
        job: model.Job,
        progress: progresses.Progress,
        created: int,
        now: float,
        *,
        is_home: bool = True,
        is_older: bool = False,
    ) -> None:
        """Add an accepted job, or record that a known job was cancelled.

        Args:
            job: The job as it is stored.
            progress: Its progress as it is stored; ignored for a known job.
            created: Revision of its record.
            now: Steady time in seconds.
            is_home: Whether this pool schedules the job; ignored for a known
                job.
            is_older: Whether an earlier owner may have started its tasks,
                although `created` is later; ignored for a known job.
        """
        tracked_job = self.jobs.get(job.id)
        if tracked_job is None:
            tracked_job = tracking.TrackedJob(job, progress, created)
            tracked_job.is_home = is_home
            tracked_job.record_revision = created
            tracked_job.is_older = is_older
            if is_home:
                for step_progress in progress.steps.values():
                    step_progress.drop_holder(self.pool)
            tracked_job.has_started = progress.has_started
            tracked_job.durable = progress.final_state is not None
            self.jobs[job.id] = tracked_job
            if tracked_job.is_final:
                tracked_job.over_since = now
                return
            self.live_jobs[job.id] = tracked_job
            if tracked_job.has_crashing_task(self.pool):
                # A previous owner was lost before it could journal the failure.
                tracked_job.given_up = True
                self.finish(tracked_job, model.State.FAILED, now)
            return
        if created < tracked_job.record_revision:
            return
        was_cancelled = tracked_job.job.cancelled
        tracked_job.job = job
        tracked_job.record_revision = created
        if job.cancelled and not was_cancelled:
            self.close_job(tracked_job, "cancelled", now)

    def open_reported_occurrence(self, key: model.TaskKey, now: float) -> None:
        """Open an occurrence that a worker reports before it is due.

        Workers report to a new owner before its first decision, and its clock
        may be behind the previous owner's clock. Without this, it would treat
        the reported run as a stray, and would start the task again after
        ignoring its end.
        """
        tracked_job = self.jobs.get(key.job)
        if tracked_job is None or tracked_job.is_final:
            return
        last = min(key.occurrence + 1, tracked_job.job.occurrences)
        while tracked_job.opened_count < last:
            self._open_occurrence(tracked_job, tracked_job.opened_count, now)
            tracked_job.opened_count += 1

    def open_due_occurrences(self, wall: float, now: float) -> None:
        """Open the occurrences that have become due.

        Args:
            wall: Unix time in seconds.
            now: Steady time in seconds.
        """
        for tracked_job in list(self.live_jobs.values()):
            opened_before = tracked_job.opened_count
            waiting_count: int | None = None
            while tracked_job.opened_count < tracked_job.job.occurrences:
                if tracked_job.job.find_due(tracked_job.opened_count) > wall:
                    break
                if waiting_count is None:
                    waiting_count = _count_waiting_steps(tracked_job)
                if waiting_count >= _MAX_WAITING_STEPS:
                    break
                waiting_count += self._open_occurrence(
                    tracked_job, tracked_job.opened_count, now
                )
                tracked_job.opened_count += 1
            if tracked_job.opened_count > opened_before:
                # A previous owner may have recorded the end of the occurrence
                # that opens last. No further end would then finish the job.
                self.finish_if_done(tracked_job, now)

    def find_next_due(self) -> float | None:
        """Return the Unix time at which the next occurrence is due."""
        return min(
            (
                tracked_job.job.find_due(tracked_job.opened_count)
                for tracked_job in self.live_jobs.values()
                if tracked_job.opened_count < tracked_job.job.occurrences
            ),
            default=None,
        )

    def _open_occurrence(
        self, tracked_job: tracking.TrackedJob, number: int, now: float
    ) -> int:
        """Open an occurrence; return how many of its steps wait."""
        any_waiting = False
        for position, step in enumerate(tracked_job.job.steps):
            key = model.StepKey(tracked_job.job.id, number, position)
            progress = tracked_job.progress.get(number, position)
            waiting = {
                index
                for index in set(range(step.count)) - progress.done
                if progress.held.get(index, self.pool) == self.pool
            }
            tracked_step = tracking.TrackedStep(key, step, progress, waiting)
            tracked_job.steps[key] = tracked_step
            any_waiting |= bool(waiting)
        if not any_waiting:
            return 0
        self.note_ready_steps(tracked_job, number, now)
        return sum(
            _is_waiting(tracked_step)
            for _, tracked_step in tracked_job.list_steps(number)
        )

    def note_ready_steps(
        self, tracked_job: tracking.TrackedJob, occurrence: int, now: float
    ) -> None:
        """Record since when steps wait whose turn has come now."""
        for _, tracked_step in tracked_job.list_steps(occurrence):
            if tracked_step.waiting_since is None and self.is_ready(
                tracked_job, tracked_step
            ):
                tracked_step.waiting_since = now

    def close_job(
        self, tracked_job: tracking.TrackedJob, reason: str, now: float
    ) -> None:
        """Mark a job as over and stop its runs.

        Members of a gang that has succeeded end by themselves, so a stop order
        for each of them would be wasted.
        """
        self.live_jobs.pop(tracked_job.job.id, None)
        tracked_job.over_since = now
        for tracked_step in tracked_job.steps.values():
            for run in self.list_step_runs(tracked_step):
                if run.key.position not in tracked_step.progress.done:
                    self.stop_run(run, reason, now)

    def list_ended_jobs(self, before: float) -> list[str]:
        """Return the ids of jobs that ended before a given time.

        Jobs with runs left or with progress to journal are not included.

        Args:
            before: Steady time in seconds.
        """
        return [
            job_id
            for job_id, tracked_job in self.jobs.items()
            if tracked_job.over_since is not None
            and tracked_job.over_since < before
            and tracked_job.is_home
            and job_id not in self.dirty
            and not any(map(self.list_step_runs, tracked_job.steps.values()))
        ]

    def forget_job(self, job_id: str) -> None:
        """Remove a job whose record is gone.

        A job that is removed while it runs leaves stray runs, which are stopped
        once their workers report them. Until then nothing starts there.
        """
        tracked_job = self.jobs.get(job_id)
        if tracked_job is None:
            return
        for tracked_step in tracked_job.steps.values():
            for run in self.list_step_runs(tracked_step):
                self.drop_run(run)
                worker = self.workers.get(run.worker_id)
                if worker is not None:
                    worker.stray_runs.add((run.key, run.number))
        del self.jobs[job_id]
        self.live_jobs.pop(job_id, None)

    def list_step_runs(
        self, tracked_step: tracking.TrackedStep
    ) -> list[tracking.Run]:
        """Return the runs of a step."""
        return list(tracked_step.runs_by_index.values())

    def find_tracked_step(
        self, key: model.TaskKey | model.StepKey
    ) -> tracking.TrackedStep | None:
        """Return the step of a task; None if its job is unknown."""
        tracked_job = self.jobs.get(key.job)
        if tracked_job is None:
            return None
        return tracked_job.steps.get(
            model.StepKey(key.job, key.occurrence, key.step)
        )

    def is_ready(
        self,
        tracked_job: tracking.TrackedJob,
        tracked_step: tracking.TrackedStep,
    ) -> bool:
        """Tell whether all steps that a step depends on have succeeded."""
        key = tracked_step.key
        for earlier_index in tracked_step.step.after:
            earlier_step = tracked_job.steps.get(
                key._replace(step=earlier_index)
            )
            if earlier_step is None or not earlier_step.is_done:
                return False
        return True

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            1
            for tracked_job in self.live_jobs.values()
            if tracked_job.job.queue == queue
            and tracked_job.is_home
            and not tracked_job.has_started
        )

    # Workers.

    def set_worker(self, entry: worker_port.WorkerEntry, now: float) -> bool:
        """Record a worker as the platform lists it.

        Returns:
            Whether the worker is new.
        """
        worker = self.workers.get(entry.id)
        if worker is None or _was_sought_elsewhere(worker, entry):
            self.workers[entry.id] = tracking.Worker(
                entry,
                was_draining=entry.draining,
                closed=entry.data_centre in self.closed_data_centres,
            )
            self.note("worker:listed", worker=entry.id)
            return True
        if worker.entry.draining != entry.draining:
            self.note("worker:state", worker=entry.id, draining=entry.draining)
        worker.entry = entry
        worker.closed = entry.data_centre in self.closed_data_centres
        worker.listed = True
        worker.was_draining = worker.was_draining or entry.draining
        if entry.stays_s is not None:
            # Each heartbeat repeats the time left; the earliest deadline comes
            # from the least delayed heartbeat.
            stays_until = now + entry.stays_s
            worker.leaves_at = min(worker.leaves_at or stays_until, stays_until)
        return False

    def set_evacuating(self, worker_ids: set[str]) -> None:
        """Set which workers are being emptied; all others stop being
        emptied.
        """
        for worker_id, worker in self.workers.items():
            worker.evacuating = worker_id in worker_ids
            worker.was_evacuated = worker.was_evacuated or worker.evacuating

    def list_blocked_jobs(self) -> frozenset[str]:
        """Return the jobs that may run on a worker that has not reported yet.

        A previous owner may have started them there, or a start of this owner
        that had no answer may be carried out there. Starting them again would
        run them twice.
        """
        late_jobs: set[str] = set()
        earlier_jobs: set[str] = set()
        may_run_any = False
        for worker in self.workers.values():
            if not worker.has_unknown_runs:
                continue
            late_jobs |= worker.late_jobs
            may_run_any |= worker.possible_jobs is None
            earlier_jobs |= worker.possible_jobs or frozenset()
        if not may_run_any and not earlier_jobs:
            return frozenset(late_jobs)
        return frozenset(late_jobs).union(
            job_id
            for job_id, tracked_job in self.live_jobs.items()
            if not tracked_job.parked
            and (
                job_id in earlier_jobs
                # No previous owner has started jobs accepted since.
                or (
                    may_run_any
                    and (
                        tracked_job.is_older
                        or tracked_job.accepted_revision <= self.epoch
                    )
                )
            )
        )

    def count_live_workers(self) -> int:
        """Return how many listed workers no other incarnation has replaced.

        The platform lists a worker for some seconds after it has crashed.
        """
        return sum(
            worker.listed and not worker.replaced
            for worker in self.workers.values()
        )

    def unlist_worker(self, worker_id: str) -> None:
        """Record that the platform no longer lists a worker.

        Its runs still count: the platform also drops a worker that is cut off,
        and such a worker keeps running until its lease ends.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            self.note(
                "worker:unlisted", worker=worker_id, runs=len(worker.runs)
            )

    def note_silent(self, worker_id: str, now: float) -> None:
        """Record that a worker does not answer."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.silent_since is None:
            worker.silent_since = now
            self.note("worker:silent", worker=worker_id, runs=len(worker.runs))

    def note_lapsed(
        self, worker_id: str, reason: str, now: float
    ) -> list[tracking.Run]:
        """Record that nothing can be running on a worker any more.

        Returns:
            The runs that ended with the worker; their tasks wait again.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        lost_runs = list(worker.runs.values())
        self.note(
            "worker:lapsed", worker=worker_id, why=reason, runs=len(worker.runs)
        )
        for run in lost_runs:
            self.note(
                "run:lost",
                task=run.key,
                run=run.number,
                worker=worker_id,
                phase=str(run.phase),
                ran_s=round((worker.silent_since or now) - run.ordered_at, 3),
            )
            self.drop_run(run)
            if run.tracked_step is not None:
                run.tracked_step.lost_since = worker.silent_since
            self.requeue(run, worker_port.RunOutcome.LAPSED, now)
        worker.all_runs_ended = True
        worker.known_address = ""
        return lost_runs

    def forget_worker(self, worker_id: str) -> None:
        """Remove a worker that is unlisted and has no runs."""
        self.workers.pop(worker_id, None)
        self.speeds.forget(worker_id)

    # Runs.

    def add_run(
        self,
        key: model.TaskKey,
        number: int,
        worker_id: str,
        now: float,
        *,
        is_trial: bool = False,
    ) -> tracking.Run:
        """Add a run whose start is about to be ordered.

        Args:
            key: The task.
            number: Number of the start.
            worker_id: Worker that runs it.
            now: Steady time in seconds.
            is_trial: Whether the worker takes no other task for a while.
        """
        run = tracking.Run(
            key, number, worker_id, now, progressed_at=now, is_trial=is_trial
        )
        tracked_step = self.find_tracked_step(key)
        if tracked_step is not None:
            tracked_step.waiting_indices.discard(key.position)
            tracked_step.runs_by_index[key.position] = run
            run.tracked_step = tracked_step
            run.checkpoint = tracked_step.find_checkpoint(key.position)
            self._assign_run(run, tracked_step, worker_id)
            if is_trial:
                self.workers[worker_id].trial_until = now + tracking.TRIAL_S
        self.runs[key] = run
        return run

    def _assign_run(
        self,
        run: tracking.Run,
        tracked_step: tracking.TrackedStep,
        worker_id: str,
    ) -> None:
        run.speed = run_times.find_speed(self.speeds, worker_id)
        worker = self.workers[worker_id]
        if run.key not in worker.runs:
            worker.used = worker.used.plus(tracked_step.step.charge)
            worker.runs[run.key] = run
            worker.all_runs_ended = False

    def move_run(self, run: tracking.Run, worker_id: str) -> None:
        """Assign a run to another worker, where it may still start."""
        tracked_step = run.tracked_step
        assert tracked_step is not None
        old_worker = self.workers[run.worker_id]
        del old_worker.runs[run.key]
        old_worker.used = old_worker.used.minus(tracked_step.step.charge)
        run.worker_id = worker_id
        run.confirmed_at = None
        run.phase = tracking.Phase.ORDERED
        self._assign_run(run, tracked_step, worker_id)

    def drop_run(self, run: tracking.Run) -> None:
        """Remove a run that has certainly ended."""
        worker = self.workers.get(run.worker_id)
        tracked_step = self.find_tracked_step(run.key)
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            if tracked_step is not None:
                tracked_step.runs_by_index.pop(run.key.position, None)
        if worker is not None and run.key in worker.runs:
            del worker.runs[run.key]
            if tracked_step is not None:
                worker.used = worker.used.minus(tracked_step.step.charge)

    def stop_run(
        self, run: tracking.Run, reason: stop_limits.Reason, now: float
    ) -> None:
        """Order a stop; the room becomes free once the worker lists the end."""
        if run.phase is tracking.Phase.STOPPING:
            return
        worker = self.workers.get(run.worker_id)
        fields = stop_limits.mark_stopping(run, worker, reason, now)
        self.note("run:stop", **fields)
        self._queue_stop(run, now)

    def _queue_stop(self, run: tracking.Run, now: float) -> None:
        run.stop_queued_at = now
        self.outbox.append(
            (run.worker_id, worker_port.Stop(run.key, run.number))
        )

    def repeat_stop(self, run: tracking.Run, now: float) -> None:
        """Order the stop of a run again that has not ended.

        A stop that was answered takes effect within a second. One that was
        lost on its way would otherwise never be sent again. A stop that is
        still being delivered is not sent twice.
        """
        is_stopping = run.phase is tracking.Phase.STOPPING
        if is_stopping and now >= run.stop_queued_at + STOP_REPEAT_S:
            self.note(
                "run:stop-repeated",
                task=run.key,
                run=run.number,
                worker=run.worker_id,
                after_s=round(now - run.stop_ordered_at, 3),
            )
            self._queue_stop(run, now)

    def note_kept(self, runs: Iterable[tracking.Run]) -> None:
        """Log once for each run that it is not stopped because of the bound."""
        for run in runs:
            if not run.kept:
                run.kept = True
                stops = stop_limits.count_stops(run)
                self.note("run:kept", task=run.key, run=run.number, stops=stops)

    def note_stopped(self, run: tracking.Run, now: float) -> None:
        """Update the estimate of stop durations; log when it rises."""
        previous_s = self.stop_durations.expected_s
        self.stop_durations.note(now - run.stop_ordered_at)
        expected_s = self.stop_durations.expected_s
        if expected_s > previous_s:
            self.note("stops:slower", expected_s=round(expected_s, 3))

    def stop_step(
        self, tracked_step: tracking.TrackedStep, reason: str, now: float
    ) -> None:
        """Stop all runs of a step."""
        for run in self.list_step_runs(tracked_step):
            self.stop_run(run, reason, now)

    def note_maybe_started(self, key: model.TaskKey, number: int) -> None:
        """Record that a start without an answer may have been carried out."""
        run = self.runs.get(key)
        if run is not None and run.number == number:
            run.maybe_started = True

    def note_started(self, key: model.TaskKey, number: int, now: float) -> None:
        """Record that a worker has started a run."""
        run = self.runs.get(key)
        if run is None or run.number != number:
            return
        if run.confirmed_at is None:
            run.confirmed_at = now
            run.progressed_at = now
            self.start_delays.drop(model.get_step_key(key))
        if run.phase is tracking.Phase.ORDERED:
            run.phase = tracking.Phase.RUNNING
        if run.tracked_step is not None:
            run.tracked_step.lost_since = None
        tracked_job = self.jobs.get(key.job)
        if tracked_job is not None and not tracked_job.has_started:
            tracked_job.has_started = True
            if not tracked_job.is_home:
                self.dirty.add(key.job)

    def note_paced(
        self, key: model.TaskKey, number: int, percent: int, now: float
    ) -> None:
        """Record the share of its speed at which a worker runs a task."""
        run = self.runs.get(key)
        if run is not None and run.number == number:
            run.pace = percent
            run.paced_at = now

    def note_never_started(
        self, key: model.TaskKey, number: int, reason: str, now: float
    ) -> None:
        """Record that an ordered run will certainly never start."""
        run = self.runs.get(key)
        if run is None or run.number != number or run.confirmed_at is not None:
            return
        self.note(
            "run:rejected",
            task=key,
            run=number,
            worker=run.worker_id,
            why=reason,
        )
        self.drop_run(run)
        self.requeue(run, worker_port.RunOutcome.STOPPED, now)
        tracked_step = self.find_tracked_step(key)
        if tracked_step is None:
            return
        tracked_step.not_before = max(
            tracked_step.not_before, now + RETRY_PAUSE_S
        )
        if reason == worker_port.RejectionReason.NO_TICKET:
            tracked_step.permits.drop_ticket(run.worker_id)
        elif reason != tracking.DATA_CENTRE_CLOSED:
            tracked_step.avoided_workers.add(run.worker_id)

    def withdraw_run(self, key: model.TaskKey, number: int) -> None:
        """Remove a run whose start order was never sent."""
        run = self.runs.get(key)
        tracked_step = self.find_tracked_step(key)
        if run is None or run.number != number or tracked_step is None:
            return
        self.drop_run(run)
        if key.position not in tracked_step.progress.done:
            tracked_step.waiting_indices.add(key.position)

    def requeue(
        self, run: tracking.Run, outcome: worker_port.RunOutcome, now: float
    ) -> None:
        """Let a task wait again after a run that has not succeeded."""
        tracked_step = self.find_tracked_step(run.key)
        if (
            tracked_step is None
            or run.key.position in tracked_step.progress.done
        ):
            return
        tracked_step.waiting_indices.add(run.key.position)
        tracked_step.waiting_since = now
        self.keep_checkpoint(tracked_step, run.key, run.checkpoint)
        if tracked_step.step.gang:
            # The remaining members would wait for this one or do useless work,
            # so the gang is stopped and starts again as a whole.
            self.stop_step(
                tracked_step, f"one member of its gang ended: {outcome}", now
            )

    def keep_checkpoint(
        self,
        tracked_step: tracking.TrackedStep,
        key: model.TaskKey,
        checkpoint: str,
    ) -> None:
        """Store the checkpoint from which a task or its gang resumes."""
        index = 0 if tracked_step.step.gang else key.position
        if checkpoint and checkpoint != tracked_step.progress.checkpoints.get(
            index
        ):
            tracked_step.progress.checkpoints[index] = checkpoint
            self.dirty.add(key.job)

    # Ends of jobs.

    def finish(
        self, tracked_job: tracking.TrackedJob, state: model.State, now: float
    ) -> None:
        """Set a job's final state; callers see it once it is journaled."""
        if tracked_job.is_final:
            return
        tracked_job.progress.final_state = state
        self.dirty.add(tracked_job.job.id)
        self.note("job:final", job=tracked_job.job.id, state=str(state))
        self.close_job(tracked_job, f"job {state}", now)

    def finish_if_done(
        self, tracked_job: tracking.TrackedJob, now: float
    ) -> None:
        """Finish a job if all of its tasks have succeeded."""
        if tracked_job.opened_count < tracked_job.job.occurrences:
            return
        if all(
            tracked_step.is_done for tracked_step in tracked_job.steps.values()
        ):
            self.finish(tracked_job, model.State.DONE, now)

    def note_stop_accepted(
        self, key: model.TaskKey, number: int, now: float
    ) -> None:
        """Record that a worker has accepted a stop order.

        From then on the worker rejects a run that had not started, and never
        lists it as ended. The next report without the run settles it.
        """
        run = self.runs.get(key)
        if run is None or run.number != number:
            return
        if run.confirmed_at is None:
            run.confirmed_at = now

    def note_crashes_journaled(self, job_ids: Iterable[str]) -> None:
        """Record that the journal holds the crashes under these jobs' tasks."""
        for job_id in job_ids:
            tracked_job = self.jobs.get(job_id)
            if tracked_job is not None:
                tracked_job.has_unsaved_crash = False

    def note_durable(self, job_ids: Iterable[str]) -> None:
        """Record that the journal holds the progress of these jobs."""
        for job_id in job_ids:
            tracked_job = self.jobs.get(job_id)
            if (
                tracked_job is not None
                and tracked_job.progress.final_state is not None
            ):
                tracked_job.durable = True


def _is_waiting(tracked_step: tracking.TrackedStep) -> bool:
    """Tell whether tasks of a step wait whose turn has come."""
    return (
        bool(tracked_step.waiting_indices)
        and tracked_step.waiting_since is not None
    )


def _count_waiting_steps(tracked_job: tracking.TrackedJob) -> int:
    return sum(map(_is_waiting, tracked_job.steps.values()))


def _was_sought_elsewhere(
    worker: tracking.Worker, entry: worker_port.WorkerEntry
) -> bool:
    """Tell whether a worker counts as replaced because of another address.

    Another worker has answered there, and this one never has.
    """
    return (
        worker.replaced
        and not worker.reached
        and not worker.runs
        and worker.entry.address != entry.address
    )

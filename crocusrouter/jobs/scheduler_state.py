"""Scheduler state: jobs, gangs and workers of one data centre in memory.

Methods take an event and the present time and return effects: the jobs that
changed, which must be journaled, and the commands to send after that. The
state does no I/O, so the same code runs under its owner, in tests and in
benchmarks.
"""

import collections
from collections.abc import Iterable
import dataclasses

from crocusrouter.fleet import messages
from crocusrouter.jobs import cell_bindings
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.jobs import placement
from crocusrouter.jobs import quarantine
from crocusrouter.jobs import run_times
from crocusrouter.jobs import workers
from crocusrouter.jobs.effects import Effects
from crocusrouter.jobs.effects import Explanation
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason
from crocusrouter.templates import Catalog

_MAX_EVENTS_PER_JOB = 16
# Urgent work must start within 2.8 s. The rest of this time is for the stop
# itself, the commit and the start.
_MAX_CHECKPOINT_S = 1.5
# A job whose task ends its workers would otherwise be started on one worker
# after the other. Four early losses in a row hardly ever happen by chance:
# twelve VMs of 1,400 fail in a day.
_MAX_EARLY_LOSSES = 4
# A worker that ends right after a start is known to be lost only when its
# lease has expired.
_EARLY_LOSS_S = 20.0
# Nobody knows when operators open a data centre; evacuations last minutes.
_CLOSED_RETRY_AFTER_S = 30.0
_RETRY_REASONS = {
    gangs.EndReason.FAILED: RetryReason.TASK_FAILED,
    gangs.EndReason.LOST: RetryReason.WORKER_LOST,
    gangs.EndReason.DECLINED: RetryReason.WORKER_DECLINED,
    gangs.EndReason.CLOSED: RetryReason.DATA_CENTRE_CLOSED,
}


class SchedulerState:
    """Jobs, gangs and workers of one data centre.

    Attributes:
        data_centre: Name of the data centre.
        jobs: All jobs that are kept, by id.
        gangs: Gangs of the attempts that have not ended, by job id.
        run_time_history: Run times of recent jobs.
        run_started_at: Unix time at which a job's attempt began to run.
        job_allocations: Allocations of attempts that are not ending, by
            job id.
        workers: Workers of the VM list, by name.
        snapshot_version: Rises whenever a cached snapshot becomes invalid.
        cached_snapshot: The snapshot version and the scheduler's snapshot.
        bindings: The allocation to which each cell is bound.
        failed_placements: Why queued jobs wait, by job id.
        earliest_retry_at: Unix time before which a queued job can't start.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.jobs: dict[str, model.Job] = {}
        self._queued_jobs: dict[str, model.Job] = {}
        self.gangs: dict[str, gangs.Gang] = {}
        self.run_time_history = run_times.RunTimeHistory()
        self.run_started_at: dict[str, float] = {}
        self._stop_requested_at: dict[str, float] = {}
        self.job_allocations: dict[str, claims.JobAllocation] = {}
        self.workers: dict[str, workers.Worker] = {}
        self._catalog = Catalog()
        self.snapshot_version = 0
        self.cached_snapshot: object = None
        self.bindings: cell_bindings.CellBindings = {}
        self.failed_placements: dict[str, placement.NoPlacement] = {}
        self.earliest_retry_at: dict[str, float] = {}
        self._events: dict[str, collections.deque[tuple[float, str]]] = {}

    @property
    def catalog(self) -> Catalog:
        """The templates on which decisions are based."""
        return self._catalog

    @catalog.setter
    def catalog(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.invalidate_snapshot()

    @property
    def is_closed(self) -> bool:
        """Whether operators have closed the data centre to new work."""
        return self._catalog.is_closed(self.data_centre)

    def invalidate_snapshot(self) -> None:
        """Invalidate the cached snapshot after a change of capacity or cells.

        Until the next call, decisions use what the snapshot has computed.
        """
        self.snapshot_version += 1

    # Jobs.

    def load_jobs(self, jobs: Iterable[model.Job], now: float) -> None:
        """Load the jobs that an earlier owner journaled."""
        self.invalidate_snapshot()
        for job in jobs:
            self.store_job(job)
            if job.state is model.JobState.ASSIGNED:
                self.add_gang(job, gangs.recover_gang(job))
                self.record_event(
                    job.id, now, "taken over from an earlier owner"
                )

    def submit(self, job: model.Job, now: float) -> Effects | Refusal:
        """Accept a job, recognise a repeated submission, or refuse the job."""
        existing_job = self.jobs.get(job.id)
        if existing_job is not None:
            if existing_job.digest != job.digest:
                return Refusal(RefusalReason.KEY_REUSED, f"job {job.id}")
            return Effects()
        refusal = (
            self._check_open(job)
            or self._check_queue_limit(job)
            or self._check_fits(job)
        )
        if refusal is not None:
            return refusal
        self.store_job(job)
        self.record_event(job.id, now, "accepted")
        return Effects(changed_jobs=[job])

    def cancel(self, job_id: str, now: float) -> Effects | Refusal:
        """Cancel a job.

        Its accelerators become free when the workers report the stop.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        if job.is_final:
            return Effects()
        effects = Effects()
        gang = self.gangs.get(job_id)
        self._finish_job(job, model.JobState.CANCELLED, now, effects)
        if gang is not None:
            transition = gangs.end_gang(gang, gangs.EndReason.CANCELLED)
            self.apply(transition, now, effects)
        return effects

    def forget_job(self, job_id: str) -> None:
        """Remove a final job whose retention time is over."""
        self.jobs.pop(job_id, None)
        self._queued_jobs.pop(job_id, None)
        self._events.pop(job_id, None)
        self.run_started_at.pop(job_id, None)

    def explain(self, job_id: str) -> Explanation | None:
        """Explain why a job is in its state."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        gang = self.gangs.get(job_id)
        no_placement = self.failed_placements.get(job_id)
        return Explanation(
            job,
            str(gang.phase) if gang is not None else "",
            f"{no_placement.reason}: {no_placement.detail}"
            if no_placement is not None
            else "",
            tuple(self._events.get(job_id, ())),
        )

    def _check_open(self, job: model.Job) -> Refusal | None:
        """Refuse a new job while the data centre is closed.

        It isn't passed on to another data centre: a repeated submission could
        then be accepted by both.
        """
        if not self.is_closed:
            return None
        return Refusal(
            RefusalReason.DATA_CENTRE_CLOSED,
            f"{self.data_centre}; job {job.id} was not accepted",
            _CLOSED_RETRY_AFTER_S,
        )

    def _check_queue_limit(self, job: model.Job) -> Refusal | None:
        """Refuse a job if its customer has too many unfinished jobs."""
        template = self.catalog.find_template(job.customer)
        limit = template.max_jobs if template is not None else 0
        unfinished_count = sum(
            1
            for other_job in self.jobs.values()
            if other_job.customer == job.customer and not other_job.is_final
        )
        if unfinished_count < limit:
            return None
        detail = f"{unfinished_count} unfinished jobs of at most {limit}"
        return Refusal(RefusalReason.QUEUE_FULL, detail, retry_after_s=5.0)

    def _check_fits(self, job: model.Job) -> Refusal | None:
        """Refuse a job that would not fit if nothing else ran."""
        total_capacities = {
            worker.name: cells.WorkerCapacity(
                worker.name, worker.rack, (1 << worker.accelerators) - 1
            )
            for worker in self.workers.values()
            if worker.live
        }
        if placement.fits_in_capacity(
            build_placement_request(job), total_capacities
        ):
            return None
        units = cells.group_by_level(total_capacities, job.spec.level)
        largest = max(map(cells.count_usable, units), default=0)
        detail = (
            f"{job.spec.accelerators} accelerators in one {job.spec.level} of "
            f"{self.data_centre}; the largest has {largest}"
        )
        return Refusal(RefusalReason.NEVER_FITS, detail)

    def store_job(self, job: model.Job) -> None:
        """Store a new job, or the new version of a job."""
        self.jobs[job.id] = job
        if job.state is model.JobState.QUEUED:
            self._queued_jobs[job.id] = job
        else:
            self._queued_jobs.pop(job.id, None)

    def list_queued(self) -> list[model.Job]:
        """Return the queued jobs."""
        return list(self._queued_jobs.values())

    # Workers.

    def set_worker(
        self, name: str, rack: str, accelerators: int, live: bool
    ) -> None:
        """Add or update a worker that the VM list shows."""
        worker = self.workers.get(name)
        if worker is None:
            self.workers[name] = workers.Worker(
                name, rack, accelerators, live=live
            )
            self.invalidate_snapshot()
        elif worker.live != live:
            worker.live = live
            self.invalidate_snapshot()

    def suspect_worker(self, name: str, now: float) -> Effects:
        """End the gangs of a worker that stopped answering.

        The worker's own tasks stop when their lease expires. Other members are
        stopped at once, so that a part of a gang doesn't run alone. A job that
        runs on this worker only goes on, because the worker may come back in
        time.
        """
        effects = Effects()
        if name in self.workers:
            self.workers[name].inventory_known = False
            self.invalidate_snapshot()
        for gang in self.list_gangs_on(name):
            if len(gang.members) > 1:
                transition = gangs.end_gang(
                    gang, gangs.EndReason.LOST, f"worker {name} is silent"
                )
                self.apply(transition, now, effects)
        return effects

    def mark_worker_lost(self, name: str, now: float) -> Effects:
        """Record that a worker certainly runs no task of this owner."""
        effects = Effects()
        if name in self.workers:
            self.workers[name].inventory_known = False
            self.workers[name].stray_masks.clear()
            self.invalidate_snapshot()
        for gang in list(self.gangs.values()):
            if name not in gang.workers:
                continue
            transition = gangs.record_released(
                gang, name, gangs.EndReason.LOST, f"worker {name} is lost"
            )
            self.apply(transition, now, effects)
        return effects

    def find_unlisted_workers(self) -> frozenset[str]:
        """Return workers of gangs that are not in the VM list.

        If a worker disappeared while the data centre had no owner, only the
        journal names it, and no event will report the loss of its tasks.
        """
        return frozenset(
            name
            for gang in self.gangs.values()
            for name in gang.workers
            if name not in self.workers
        )

    def remove_worker(self, name: str) -> None:
        """Remove a worker that the VM list no longer shows."""
        self.workers.pop(name, None)
        self.invalidate_snapshot()

    # Gangs.

    def add_gang(self, job: model.Job, gang: gangs.Gang) -> None:
        """Add the gang of a job's attempt and its allocation."""
        self.gangs[job.id] = gang
        self.job_allocations[job.id] = claims.JobAllocation(
            job.id, job.customer, job.members, job.claims
        )

    def find_gang(self, job_id: str, attempt: int) -> gangs.Gang | None:
        """Return the gang of an attempt, or None if it no longer counts."""
        gang = self.gangs.get(job_id)
        return gang if gang is not None and gang.attempt == attempt else None

    def list_gangs_on(self, worker_name: str) -> list[gangs.Gang]:
        """Return the gangs of which a worker may hold a task."""
        return [
            gang
            for gang in self.gangs.values()
            if worker_name in gang.holding_workers
        ]

    def apply(
        self, transition: gangs.Transition, now: float, effects: Effects
    ) -> None:
        """Store a changed gang; update its job if the attempt has ended.

        While the data centre is closed, no gang gets a start; one that needs
        it ends, and its job waits in the queue again.
        """
        if self.is_closed:
            transition = gangs.withhold_starts(transition)
        gang, commands = transition
        if gang.phase in (gangs.Phase.ENDING, gangs.Phase.ENDED):
            self.job_allocations.pop(gang.job_id, None)
            self._stop_requested_at.setdefault(gang.job_id, now)
            self.invalidate_snapshot()
        elif gang.phase is gangs.Phase.RUNNING:
            self.run_started_at.setdefault(gang.job_id, now)
        self.gangs[gang.job_id] = gang
        effects.commands += commands
        if gang.phase is gangs.Phase.ENDED:
            self._remove_ended_gang(gang, now, effects)

    def stop_overdue_checkpoints(self, now: float) -> Effects:
        """Stop reclaimed attempts whose checkpoints take too long.

        A claim waits until the loans that it reclaims have stopped. Their
        checkpoints may take longer than urgent work can wait. An attempt that
        is stopped without a checkpoint loses its work since the last one, and
        its job starts again later.
        """
        effects = Effects()
        for gang in self.gangs.values():
            requested_at = self._stop_requested_at.get(gang.job_id, now)
            if gang.end_reason is not gangs.EndReason.RECLAIMED:
                continue
            if now - requested_at < _MAX_CHECKPOINT_S:
                continue
            self._stop_requested_at[gang.job_id] = now
            self.record_event(gang.job_id, now, "stopped without a checkpoint")
            effects.commands += [
                gangs.Command(
                    name, messages.Stop(gang.job_id, gang.attempt, False)
                )
                for name in sorted(gang.holding_workers)
            ]
        return effects

    def _remove_ended_gang(
        self, gang: gangs.Gang, now: float, effects: Effects
    ) -> None:
        """Remove a gang that has ended on every worker and update its job."""
        del self.gangs[gang.job_id]
        self._stop_requested_at.pop(gang.job_id, None)
        job = self.jobs[gang.job_id]
        end_reason = gang.end_reason or gangs.EndReason.LOST
        self.record_event(
            job.id, now, f"attempt {gang.attempt} {end_reason} {gang.detail}"
        )
        for member in gang.members:
            effects.commands.append(
                gangs.Command(
                    member.worker,
                    messages.Acknowledge(gang.job_id, gang.attempt),
                )
            )
        if not job.is_final:
            self._finish_or_requeue(job, gang, end_reason, now, effects)
        self._unblock_gangs(job.id, now, effects)

    def _finish_or_requeue(
        self,
        job: model.Job,
        gang: gangs.Gang,
        end_reason: gangs.EndReason,
        now: float,
        effects: Effects,
    ) -> None:
        """Finish a job after its attempt, or put it back into the queue."""
        started_at = self.run_started_at.pop(job.id, None)
        if end_reason is gangs.EndReason.SUCCEEDED:
            self._record_worker_successes(gang)
            if started_at is not None:
                self._record_run_time(job, now - started_at)
            first_worker = gang.members[0].worker
            job = dataclasses.replace(
                job, result=dict(gang.results)[first_worker]
            )
            self._finish_job(job, model.JobState.DONE, now, effects)
            return
        if end_reason is gangs.EndReason.FAILED:
            job = self._record_task_failure(job, gang, now)
        else:
            ran_s = now - started_at if started_at is not None else 0.0
            job = _record_loss(job, gang, end_reason, ran_s)
        has_no_attempts_left = job.failures >= job.spec.max_attempts
        if has_no_attempts_left or job.early_losses >= _MAX_EARLY_LOSSES:
            self._finish_job(job, model.JobState.FAILED, now, effects)
            return
        job = dataclasses.replace(
            job, state=model.JobState.QUEUED, members=(), claims=()
        )
        self.store_job(job)
        effects.changed_jobs.append(job)
        if end_reason in _RETRY_REASONS:
            effects.retry_reasons.append(_RETRY_REASONS[end_reason])

    def _record_run_time(self, job: model.Job, run_time_s: float) -> None:
        key = (job.customer, job.spec.kind)
        self.run_time_history = run_times.record_run_time(
            self.run_time_history, key, run_time_s
        )

    def _record_worker_successes(self, gang: gangs.Gang) -> None:
        for name in gang.workers & self.workers.keys():
            worker = self.workers[name]
            worker.failure_history = quarantine.record_success(
                worker.failure_history
            )

    def _record_task_failure(
        self, job: model.Job, gang: gangs.Gang, now: float
    ) -> model.Job:
        """Record a failed attempt against its worker and its job.

        Failures on quarantined workers don't count against the job.
        """
        worker = self.workers.get(gang.failed_worker)
        if worker is not None:
            failed_elsewhere = bool(set(job.failed_on) - {worker.name})
            worker.failure_history = quarantine.record_failure(
                worker.failure_history, job.id, failed_elsewhere, now
            )
            self.invalidate_snapshot()
        failed_on = (*job.failed_on, gang.failed_worker)
        counted_failures = [
            name for name in failed_on if not self.is_quarantined(name, now)
        ]
        return dataclasses.replace(
            job,
            failures=len(counted_failures),
            failed_on=failed_on,
            detail=gang.detail,
        )

    def is_quarantined(self, worker_name: str, now: float) -> bool:
        """Tell whether a worker is in quarantine."""
        worker = self.workers.get(worker_name)
        return worker is not None and quarantine.is_quarantined(
            worker.failure_history, now
        )

    def _finish_job(
        self,
        job: model.Job,
        state: model.JobState,
        now: float,
        effects: Effects,
    ) -> None:
        """Move a job to a final state."""
        job = dataclasses.replace(
            job, state=state, members=(), claims=(), finished_at=now
        )
        self.store_job(job)
        self.failed_placements.pop(job.id, None)
        self.earliest_retry_at.pop(job.id, None)
        self.record_event(job.id, now, str(state))
        effects.changed_jobs.append(job)

    def _unblock_gangs(self, job_id: str, now: float, effects: Effects) -> None:
        """Tell the gangs that wait for a job that its attempt has ended."""
        blocked_gangs = [
            gang
            for gang in self.gangs.values()
            if job_id in gang.blocking_job_ids
        ]
        for gang in blocked_gangs:
            self.apply(gangs.record_blocker_ended(gang, job_id), now, effects)

    def record_event(self, job_id: str, now: float, text: str) -> None:
        """Add an event to the job's history that `explain` returns."""
        events = self._events.setdefault(
            job_id, collections.deque(maxlen=_MAX_EVENTS_PER_JOB)
        )
        events.append((now, text.strip()))


def _record_loss(
    job: model.Job,
    gang: gangs.Gang,
    end_reason: gangs.EndReason,
    ran_s: float,
) -> model.Job:
    """Count an attempt that ended without a task failure.

    An early loss is one with a worker, soon after all members were told to
    start.
    """
    job = dataclasses.replace(job, losses=job.losses + 1)
    if (
        end_reason is not gangs.EndReason.LOST
        or gang.reserved_workers != gang.workers
    ):
        return job
    if ran_s > _EARLY_LOSS_S:
        return dataclasses.replace(job, early_losses=0)
    return dataclasses.replace(
        job,
        early_losses=job.early_losses + 1,
        detail=(
            f"{job.early_losses + 1} attempts lost a worker soon after they "
            "started; check that the task does not end its worker"
        ),
    )


def build_placement_request(job: model.Job) -> placement.PlacementRequest:
    """Return the shape for which a job needs an allocation."""
    return placement.PlacementRequest(
        job.id,
        job.customer,
        job.spec.level,
        job.spec.accelerators,
        job.spec.urgent,
    )

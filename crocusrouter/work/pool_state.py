"""The book of one pool: its jobs, runs and workers in memory.

Methods take an event and the present time. What follows from it is collected
in `outbox` (orders for workers) and `dirty` (jobs whose progress must be
journaled). The book does no I/O.
"""

import collections
from collections.abc import Iterable

from crocusrouter.work import model
from crocusrouter.work import orders
from crocusrouter.work import progress as progresses
from crocusrouter.work import runs
from crocusrouter.work import stop_durations

# A failed task comes back after this pause, so that a task which fails at
# once does not spend its attempts on one bad second of the fleet.
RETRY_PAUSE_S = 0.3
Stopping = tuple[str, orders.Stop]


class Book:
    """Jobs, runs and workers of one pool."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.jobs: dict[str, runs.JobWork] = {}
        self.live: dict[str, runs.JobWork] = {}
        self.workers: dict[str, runs.Worker] = {}
        self.runs: dict[model.TaskKey, runs.Run] = {}
        self.dirty: set[str] = set()
        self.outbox: list[Stopping] = []
        self.guaranteed: dict[str, int] = {}
        self.stop_times = stop_durations.StopTimes()
        self.contended_at: float | None = None
        self.events: collections.deque[tuple[str, dict[str, object]]] = (
            collections.deque(maxlen=2000)
        )

    def note(self, what: str, **facts: object) -> None:
        """Keep one line for the log; the controller writes it."""
        self.events.append((what, facts))

    def note_contention(self, now: float) -> None:
        """Note that the first priority had to stop others to find room."""
        self.contended_at = now

    # Jobs.

    def put_job(
        self,
        job: model.Job,
        progress: progresses.Progress,
        created: int,
        now: float,
    ) -> None:
        """Take an accepted job, or its cancelled form."""
        held = self.jobs.get(job.id)
        if held is None:
            held = runs.JobWork(job, progress, created)
            held.begun = bool(progress.steps) or progress.final is not None
            held.durable = progress.final is not None
            self.jobs[job.id] = held
            if held.is_final:
                held.over_since = now
                return
            self.live[job.id] = held
            if progress.is_given_up:
                # Its earlier owner was lost before it could write that down.
                self.finish(held, model.State.FAILED, now)
            return
        if job.cancelled and not held.job.cancelled:
            held.job = job
            self._close(held, "cancelled", now)

    def open_reported(self, key: model.TaskKey, now: float) -> None:
        """Open an occurrence that a worker reports before its time has come.

        A successor hears from workers before its first decision, and its
        clock may be behind its predecessor's. What it did not know it would
        take for a stray, and start again after the end it had passed over.
        """
        held = self.jobs.get(key.job)
        if held is None or held.is_final:
            return
        last = min(key.occurrence + 1, held.job.occurrences)
        while held.opened < last:
            self._open(held, held.opened, now)
            held.opened += 1

    def open_due(self, wall: float, now: float) -> None:
        """Open the occurrences whose time has come.

        Args:
            wall: Unix time in seconds.
            now: Steady time in seconds.
        """
        for held in list(self.live.values()):
            opened = held.opened
            while held.opened < held.job.occurrences:
                if held.job.find_due(held.opened) > wall:
                    break
                self._open(held, held.opened, now)
                held.opened += 1
            if held.opened > opened:
                # An earlier owner may have seen the end of what opens last,
                # and no other end would come that finishes the job.
                self.finish_if_done(held, now)

    def find_next_due(self) -> float | None:
        """Return the Unix time of the next occurrence."""
        return min(
            (
                held.job.find_due(held.opened)
                for held in self.live.values()
                if held.opened < held.job.occurrences
            ),
            default=None,
        )

    def _open(self, held: runs.JobWork, number: int, now: float) -> None:
        for position, step in enumerate(held.job.steps):
            key = model.StepKey(held.job.id, number, position)
            kept = held.progress.get(number, position)
            waiting = set(range(step.count)) - kept.done
            work = runs.StepWork(key, step, kept, waiting)
            work.waiting_since = now
            held.steps[key] = work

    def _close(self, held: runs.JobWork, why: str, now: float) -> None:
        """Stop all that runs of a job that is over.

        Members of a gang that has ended well end by themselves; a stop for
        each of them would be a needless call.
        """
        self.live.pop(held.job.id, None)
        held.over_since = now
        for work in held.steps.values():
            for run in self.list_step_runs(work):
                if run.key.position not in work.kept.done:
                    self.stop_run(run, why, now)

    def list_over(self, before: float) -> list[str]:
        """Return the jobs that were over before a moment, with no run left.

        Args:
            before: Steady time in seconds.
        """
        return [
            job_id
            for job_id, held in self.jobs.items()
            if held.over_since is not None
            and held.over_since < before
            and job_id not in self.dirty
            and not any(map(self.list_step_runs, held.steps.values()))
        ]

    def forget_job(self, job_id: str) -> None:
        """Drop a job that has been over for long enough."""
        self.jobs.pop(job_id, None)
        self.live.pop(job_id, None)

    def list_step_runs(self, work: runs.StepWork) -> list[runs.Run]:
        """Return the runs of a step."""
        return list(work.running.values())

    def find_work(
        self, key: model.TaskKey | model.StepKey
    ) -> runs.StepWork | None:
        """Return the step that a task belongs to, if its job is known."""
        held = self.jobs.get(key.job)
        if held is None:
            return None
        return held.steps.get(model.StepKey(key.job, key.occurrence, key.step))

    def is_ready(self, held: runs.JobWork, work: runs.StepWork) -> bool:
        """Tell whether all earlier steps of a step have ended well."""
        key = work.key
        for earlier in work.step.after:
            before = held.steps.get(key._replace(step=earlier))
            if before is None or not before.is_done:
                return False
        return True

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            1
            for held in self.live.values()
            if held.job.queue == queue and not held.begun
        )

    # Workers.

    def set_worker(self, entry: orders.WorkerEntry, now: float) -> bool:
        """Note what the platform lists; True if the worker is new."""
        held = self.workers.get(entry.id)
        if held is None:
            self.workers[entry.id] = runs.Worker(entry, sealed=entry.draining)
            self.note("worker:listed", worker=entry.id)
            return True
        if held.entry.draining != entry.draining:
            self.note("worker:state", worker=entry.id, draining=entry.draining)
        held.entry = entry
        held.listed = True
        held.sealed = held.sealed or entry.draining
        if entry.stays_s is not None:
            # Told anew with each heartbeat; the first that came is the least
            # delayed.
            stays_until = now + entry.stays_s
            held.leaves_at = min(held.leaves_at or stays_until, stays_until)
        return False

    def set_resting(self, names: set[str]) -> None:
        """Note which workers are being emptied; the others take work again."""
        for name, held in self.workers.items():
            held.resting = name in names
            held.rested = held.rested or held.resting

    def list_blocked(self) -> frozenset[str] | None:
        """Return the jobs that an earlier owner may run out of our sight.

        Returns:
            Jobs that must not start; None if any job accepted in its time
            must not.
        """
        untold = [held for held in self.workers.values() if held.is_untold]
        blocked: set[str] = set()
        for held in untold:
            if held.blocks is None:
                return None
            blocked |= held.blocks
        return frozenset(blocked)

    def may_run_unseen(
        self, held: runs.JobWork, blocked: frozenset[str] | None
    ) -> bool:
        """Tell whether a job may run where nobody can look yet.

        An earlier owner may have started it on a worker that has not answered
        its successor, and it would run twice. Jobs accepted after the
        successor became owner can't have been started by anyone else.

        Args:
            held: The job.
            blocked: What `list_blocked` returned.
        """
        if held.parked:
            return False
        if blocked is None:
            return held.created <= self.epoch
        return held.job.id in blocked

    def unlist_worker(self, worker: str) -> None:
        """Note that the platform lists a worker no more.

        Its runs stay counted: a worker that is cut off is dropped from the
        list too, and runs on until its lease ends.
        """
        held = self.workers.get(worker)
        if held is not None and held.listed:
            held.listed = False
            self.note("worker:unlisted", worker=worker, runs=len(held.runs))

    def note_silent(self, worker: str, now: float) -> None:
        """Note that a worker does not answer."""
        held = self.workers.get(worker)
        if held is not None and held.silent_since is None:
            held.silent_since = now
            self.note("worker:silent", worker=worker, runs=len(held.runs))

    def note_lapsed(self, worker: str, why: str, now: float) -> list[runs.Run]:
        """Note that nothing can run on a worker any more.

        Returns:
            The runs that ended with it; they are waiting again.
        """
        held = self.workers.get(worker)
        if held is None:
            return []
        lost = list(held.runs.values())
        self.note("worker:lapsed", worker=worker, why=why, runs=len(held.runs))
        for run in lost:
            self.note(
                "run:lost",
                task=run.key,
                run=run.number,
                worker=worker,
                phase=str(run.phase),
                ran_s=round((held.silent_since or now) - run.since, 3),
            )
            self.drop_run(run)
            self.requeue(run, orders.How.LAPSED, now)
        held.lapsed = True
        return lost

    def forget_worker(self, worker: str) -> None:
        """Drop a worker that is unlisted and runs nothing."""
        self.workers.pop(worker, None)

    # Runs.

    def add_run(
        self,
        key: model.TaskKey,
        number: int,
        worker: str,
        now: float,
        *,
        alone: bool = False,
    ) -> runs.Run:
        """Note that a start is about to be ordered.

        Args:
            key: The task.
            number: Of the start.
            worker: Where.
            now: Steady time in seconds.
            alone: Whether the worker takes nothing else for a while.
        """
        run = runs.Run(key, number, worker, now, moved_at=now)
        work = self.find_work(key)
        if work is not None:
            work.waiting.discard(key.position)
            work.running[key.position] = run
            run.work = work
            run.saved = work.find_saved(key.position)
            self._charge(run, work, worker)
            if alone:
                self.workers[worker].trial_until = now + runs.TRIAL_S
        self.runs[key] = run
        return run

    def _charge(self, run: runs.Run, work: runs.StepWork, worker: str) -> None:
        held = self.workers[worker]
        if run.key not in held.runs:
            held.used = held.used.plus(work.step.charge)
            held.runs[run.key] = run
            held.lapsed = False

    def move_run(self, run: runs.Run, worker: str) -> None:
        """Count a run on another worker, as one that may still begin there."""
        work = run.work
        assert work is not None
        held = self.workers[run.worker]
        del held.runs[run.key]
        held.used = held.used.minus(work.step.charge)
        run.worker = worker
        run.confirmed_at = None
        run.phase = runs.Phase.ORDERED
        self._charge(run, work, worker)

    def drop_run(self, run: runs.Run) -> None:
        """Remove a run that has certainly ended."""
        held = self.workers.get(run.worker)
        work = self.find_work(run.key)
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            if work is not None:
                work.running.pop(run.key.position, None)
        if held is not None and run.key in held.runs:
            del held.runs[run.key]
            if work is not None:
                held.used = held.used.minus(work.step.charge)

    def stop_run(self, run: runs.Run, why: str, now: float) -> None:
        """Order a stop; the room is free once the end is listed."""
        if run.phase is runs.Phase.STOPPING:
            return
        run.phase = runs.Phase.STOPPING
        run.why = why
        run.stopped_at = now
        held = self.workers.get(run.worker)
        leaves_at = held.leaves_at if held is not None else None
        self.note(
            "run:stop",
            task=run.key,
            run=run.number,
            worker=run.worker,
            why=why,
            percent=run.percent,
            ran_s=round(now - run.since, 3),
            left_s=round(leaves_at - now, 3) if leaves_at is not None else None,
        )
        self.outbox.append((run.worker, orders.Stop(run.key, run.number)))

    def note_stopped(self, run: runs.Run, now: float) -> None:
        """Learn from a stop how long stops take; rises are told in the log."""
        before_s = self.stop_times.expected_s
        self.stop_times.note(now - run.stopped_at)
        expected_s = self.stop_times.expected_s
        if expected_s > before_s:
            self.note("stops:slower", expected_s=round(expected_s, 3))

    def stop_step(self, work: runs.StepWork, why: str, now: float) -> None:
        """Stop all runs of a step."""
        for run in self.list_step_runs(work):
            self.stop_run(run, why, now)

    def note_maybe_begun(self, key: model.TaskKey, number: int) -> None:
        """Note that a start without an answer may have been carried out."""
        run = self.runs.get(key)
        if run is not None and run.number == number:
            run.maybe_begun = True

    def note_taken(self, key: model.TaskKey, number: int, now: float) -> None:
        """Note that a worker has begun a run."""
        run = self.runs.get(key)
        if run is None or run.number != number:
            return
        if run.confirmed_at is None:
            run.confirmed_at = now
            run.moved_at = now
        if run.phase is runs.Phase.ORDERED:
            run.phase = runs.Phase.RUNNING
        held = self.jobs.get(key.job)
        if held is not None:
            held.begun = True

    def note_paced(
        self, key: model.TaskKey, number: int, percent: int, now: float
    ) -> None:
        """Note that a worker gives a run this share of its speed."""
        run = self.runs.get(key)
        if run is not None and run.number == number:
            run.pace = percent
            run.paced_at = now

    def note_not_begun(
        self, key: model.TaskKey, number: int, why: str, now: float
    ) -> None:
        """Note that an ordered run certainly never begins."""
        run = self.runs.get(key)
        if run is None or run.number != number or run.confirmed_at is not None:
            return
        self.note(
            "run:rejected", task=key, run=number, worker=run.worker, why=why
        )
        self.drop_run(run)
        self.requeue(run, orders.How.STOPPED, now)
        work = self.find_work(key)
        if work is None:
            return
        work.not_before = max(work.not_before, now + RETRY_PAUSE_S)
        if why == orders.Why.NO_TICKET:
            work.permits.drop_ticket(run.worker)
        else:
            work.avoid.add(run.worker)

    def withdraw_run(self, key: model.TaskKey, number: int) -> None:
        """Take back a run whose start was never sent."""
        run = self.runs.get(key)
        work = self.find_work(key)
        if run is None or run.number != number or work is None:
            return
        self.drop_run(run)
        if key.position not in work.kept.done:
            work.waiting.add(key.position)

    def requeue(self, run: runs.Run, how: orders.How, now: float) -> None:
        """Put a task back after a run that has not ended well."""
        work = self.find_work(run.key)
        if work is None or run.key.position in work.kept.done:
            return
        work.waiting.add(run.key.position)
        work.waiting_since = now
        self.keep_checkpoint(work, run.key, run.saved)
        if work.step.gang:
            # Members that are left would wait for this one, or run without
            # use; all of them start again together.
            self.stop_step(work, f"a member ended: {how}", now)

    def keep_checkpoint(
        self, work: runs.StepWork, key: model.TaskKey, saved: str
    ) -> None:
        """Note where a task or its gang goes on when it starts again."""
        index = 0 if work.step.gang else key.position
        if saved and saved != work.kept.saved.get(index):
            work.kept.saved[index] = saved
            self.dirty.add(key.job)

    # Ends of jobs.

    def finish(
        self, held: runs.JobWork, state: model.State, now: float
    ) -> None:
        """Give a job its final state; told once the journal has it."""
        if held.is_final:
            return
        held.progress.final = state
        self.dirty.add(held.job.id)
        self.note("job:final", job=held.job.id, state=str(state))
        self._close(held, f"job {state}", now)

    def finish_if_done(self, held: runs.JobWork, now: float) -> None:
        """Give a job its final state if all of its tasks have ended well."""
        if held.opened < held.job.occurrences:
            return
        if all(work.is_done for work in held.steps.values()):
            self.finish(held, model.State.DONE, now)

    def check_gangs(self, now: float) -> None:
        """Stop gangs of which an earlier owner had started only a part."""
        for held in self.live.values():
            for work in held.steps.values():
                if not work.step.gang or not work.waiting:
                    continue
                if len(work.waiting) < work.step.count:
                    self.stop_step(work, "members are missing", now)

    def note_settled(self, key: model.TaskKey, number: int, now: float) -> None:
        """Note that a worker has taken a stop.

        A run that had not begun is rejected from now on and is never listed
        as ended; the next report that leaves it out settles it.
        """
        run = self.runs.get(key)
        if run is None or run.number != number:
            return
        if run.confirmed_at is None:
            run.confirmed_at = now

    def note_crashes_kept(self, job_ids: Iterable[str]) -> None:
        """Note that the journal holds the crashes under these jobs' tasks."""
        for job_id in job_ids:
            held = self.jobs.get(job_id)
            if held is not None:
                held.unsaved_crash = False

    def note_durable(self, job_ids: Iterable[str]) -> None:
        """Note that the journal holds what these jobs' progress says."""
        for job_id in job_ids:
            held = self.jobs.get(job_id)
            if held is not None and held.progress.final is not None:
                held.durable = True

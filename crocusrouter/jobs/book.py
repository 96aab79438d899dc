"""The book of one data centre: its jobs, gangs and workers in memory.

Methods take an event and the present time and return effects: the jobs that
changed, to be journaled, and the commands to send once they are. The book
does no I/O, so the same code runs under its owner, in tests and in
measurements.
"""

import collections
from collections.abc import Iterable
import dataclasses

from crocusrouter.fleet import messages
from crocusrouter.jobs import blame as blames
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import estimates as learned
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import homes
from crocusrouter.jobs import model
from crocusrouter.jobs import placement
from crocusrouter.jobs import workers
from crocusrouter.jobs.effects import Effects
from crocusrouter.jobs.effects import Explanation
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason
from crocusrouter.templates import Catalog

_EVENTS_KEPT = 16
# Of the 2.8 s in which urgent work starts; the rest is for the stop itself,
# the commit and the start.
_CHECKPOINT_LIMIT_S = 1.5
# A job that ends its workers would be started on one after the other. Four in a
# row are lost by chance next to never: twelve VMs of 1,400 fail in a day.
_MOST_EARLY_LOSSES = 4
# A worker that ends right after a start is known to be lost when its lease has
# lapsed.
_EARLY_LOSS_S = 20.0
_RETRY_REASONS = {
    gangs.End.FAILED: RetryReason.TASK_FAILED,
    gangs.End.LOST: RetryReason.WORKER_LOST,
    gangs.End.DECLINED: RetryReason.WORKER_DECLINED,
}


class Book:
    """Jobs, gangs and workers of one data centre."""

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.jobs: dict[str, model.Job] = {}
        self._queued: dict[str, model.Job] = {}
        self.gangs: dict[str, gangs.Gang] = {}
        self.estimates = learned.Estimates()
        self.began: dict[str, float] = {}
        self._asked_to_stop: dict[str, float] = {}
        self.holdings: dict[str, claims.Holding] = {}
        self.workers: dict[str, workers.Worker] = {}
        self._catalog = Catalog()
        self.occupancy = 0
        self.observed: object = None
        self.homes: homes.Homes = {}
        self.waits: dict[str, placement.Waits] = {}
        self.not_before: dict[str, float] = {}
        self._events: dict[str, collections.deque[tuple[float, str]]] = {}

    @property
    def catalog(self) -> Catalog:
        """The templates by which the book decides."""
        return self._catalog

    @catalog.setter
    def catalog(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.touch()

    def touch(self) -> None:
        """Note that what workers hold, or guarantees want, has changed.

        Decisions keep what they have worked out until then.
        """
        self.occupancy += 1

    # Jobs.

    def load(self, jobs: Iterable[model.Job], now: float) -> None:
        """Take over what an earlier owner journaled."""
        self.touch()
        for job in jobs:
            self.put(job)
            if job.state is model.JobState.ASSIGNED:
                self.open_gang(job, gangs.recover_gang(job))
                self.note(job.id, now, "taken over from an earlier owner")

    def submit(self, job: model.Job, now: float) -> Effects | Refusal:
        """Accept a job, recognise a repeat, or refuse."""
        held = self.jobs.get(job.id)
        if held is not None:
            if held.digest != job.digest:
                return Refusal(RefusalReason.KEY_REUSED, f"job {job.id}")
            return Effects()
        refusal = self._check_room(job) or self._check_fits(job)
        if refusal is not None:
            return refusal
        self.put(job)
        self.note(job.id, now, "accepted")
        return Effects(changed=[job])

    def cancel(self, job_id: str, now: float) -> Effects | Refusal:
        """Cancel a job; its accelerators are free once workers say so."""
        job = self.jobs.get(job_id)
        if job is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        if job.is_final:
            return Effects()
        effects = Effects()
        held = self.gangs.get(job_id)
        self._finish(job, model.JobState.CANCELLED, now, effects)
        if held is not None:
            step = gangs.end_gang(held, gangs.End.CANCELLED)
            self.apply(step, now, effects)
        return effects

    def forget(self, job_id: str) -> None:
        """Drop a final job that has been kept long enough."""
        self.jobs.pop(job_id, None)
        self._queued.pop(job_id, None)
        self._events.pop(job_id, None)
        self.began.pop(job_id, None)

    def explain(self, job_id: str) -> Explanation | None:
        """Tell why a job stands where it stands."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        held = self.gangs.get(job_id)
        waits = self.waits.get(job_id)
        return Explanation(
            job,
            str(held.phase) if held is not None else "",
            f"{waits.reason}: {waits.detail}" if waits is not None else "",
            tuple(self._events.get(job_id, ())),
        )

    def _check_room(self, job: model.Job) -> Refusal | None:
        template = self.catalog.find(job.customer)
        limit = template.max_jobs if template is not None else 0
        unfinished = sum(
            1
            for held in self.jobs.values()
            if held.customer == job.customer and not held.is_final
        )
        if unfinished < limit:
            return None
        detail = f"{unfinished} unfinished jobs of at most {limit}"
        return Refusal(RefusalReason.QUEUE_FULL, detail, retry_after_s=5.0)

    def _check_fits(self, job: model.Job) -> Refusal | None:
        empty = {
            worker.name: cells.Space(
                worker.name, worker.rack, (1 << worker.accelerators) - 1
            )
            for worker in self.workers.values()
            if worker.live
        }
        if placement.check_fits(build_ask(job), empty):
            return None
        units = cells.group_spaces(empty, job.spec.level)
        largest = max(map(cells.count_usable, units), default=0)
        detail = (
            f"{job.spec.accelerators} accelerators in one {job.spec.level} of "
            f"{self.data_centre}; the largest has {largest}"
        )
        return Refusal(RefusalReason.NEVER_FITS, detail)

    def put(self, job: model.Job) -> None:
        """Replace a job by its next form."""
        self.jobs[job.id] = job
        if job.state is model.JobState.QUEUED:
            self._queued[job.id] = job
        else:
            self._queued.pop(job.id, None)

    def list_queued(self) -> list[model.Job]:
        """Return the jobs that wait for a place."""
        return list(self._queued.values())

    # Workers.

    def set_worker(
        self, name: str, rack: str, accelerators: int, live: bool
    ) -> None:
        """Note what the VM list says of a worker."""
        held = self.workers.get(name)
        if held is None:
            self.workers[name] = workers.Worker(
                name, rack, accelerators, live=live
            )
            self.touch()
        elif held.live != live:
            held.live = live
            self.touch()

    def suspect_worker(self, name: str, now: float) -> Effects:
        """End the gangs of a worker that stopped answering.

        Its own tasks stop when their lease lapses. Stopping the other members
        already now keeps a part of the gang from running on alone. A job that
        runs on this worker only goes on: the worker may come back in time.
        """
        effects = Effects()
        if name in self.workers:
            self.workers[name].known = False
            self.touch()
        for held in self.list_gangs_on(name):
            if len(held.members) > 1:
                step = gangs.end_gang(
                    held, gangs.End.LOST, f"worker {name} is silent"
                )
                self.apply(step, now, effects)
        return effects

    def lose_worker(self, name: str, now: float) -> Effects:
        """Note that a worker certainly runs nothing of ours any more."""
        effects = Effects()
        if name in self.workers:
            self.workers[name].known = False
            self.workers[name].strays.clear()
            self.touch()
        for held in list(self.gangs.values()):
            if name not in held.workers:
                continue
            step = gangs.note_gone(
                held, name, gangs.End.LOST, f"worker {name} is lost"
            )
            self.apply(step, now, effects)
        return effects

    def find_missing(self) -> frozenset[str]:
        """Return workers that gangs count on and nobody lists.

        A worker that went while no owner watched is in the journal only; no
        event will ever tell that its tasks are gone.
        """
        return frozenset(
            name
            for held in self.gangs.values()
            for name in held.workers
            if name not in self.workers
        )

    def remove_worker(self, name: str) -> None:
        """Drop a worker that the VM list no longer shows."""
        self.workers.pop(name, None)
        self.touch()

    def open_gang(self, job: model.Job, opened: gangs.Gang) -> None:
        """Begin to follow an attempt and what it holds."""
        self.gangs[job.id] = opened
        self.holdings[job.id] = claims.Holding(
            job.id, job.customer, job.members, job.claims
        )

    def find_gang(self, job_id: str, attempt: int) -> gangs.Gang | None:
        """Return the gang of an attempt, or None if it no longer counts."""
        held = self.gangs.get(job_id)
        return held if held is not None and held.attempt == attempt else None

    def list_gangs_on(self, worker: str) -> list[gangs.Gang]:
        """Return the gangs of which a worker may hold a member."""
        return [held for held in self.gangs.values() if worker in held.held]

    # Steps of gangs.

    def apply(self, step: gangs.Step, now: float, effects: Effects) -> None:
        """Take a gang's step over and settle the job if its attempt ended."""
        after, commands = step
        if after.phase in (gangs.Phase.ENDING, gangs.Phase.ENDED):
            self.holdings.pop(after.job_id, None)
            self._asked_to_stop.setdefault(after.job_id, now)
            self.touch()
        elif after.phase is gangs.Phase.RUNNING:
            self.began.setdefault(after.job_id, now)
        self.gangs[after.job_id] = after
        effects.commands += commands
        if after.phase is gangs.Phase.ENDED:
            self._close(after, now, effects)

    def press_stops(self, now: float) -> Effects:
        """Stop at once what takes too long over its checkpoint.

        A claim waits for the loans in its way. A checkpoint may take longer
        than urgent work can wait; the job then loses what it did since its
        last one, and starts again later.
        """
        effects = Effects()
        for held in self.gangs.values():
            asked_at = self._asked_to_stop.get(held.job_id, now)
            if held.end is not gangs.End.RECLAIMED:
                continue
            if now - asked_at < _CHECKPOINT_LIMIT_S:
                continue
            self._asked_to_stop[held.job_id] = now
            self.note(held.job_id, now, "stopped without a checkpoint")
            effects.commands += [
                gangs.Command(
                    name, messages.Stop(held.job_id, held.attempt, False)
                )
                for name in sorted(held.held)
            ]
        return effects

    def _close(self, ended: gangs.Gang, now: float, effects: Effects) -> None:
        """Settle a job whose attempt has ended everywhere."""
        del self.gangs[ended.job_id]
        self._asked_to_stop.pop(ended.job_id, None)
        job = self.jobs[ended.job_id]
        end = ended.end or gangs.End.LOST
        self.note(job.id, now, f"attempt {ended.attempt} {end} {ended.detail}")
        for member in ended.members:
            effects.commands.append(
                gangs.Command(
                    member.worker,
                    messages.Acknowledge(ended.job_id, ended.attempt),
                )
            )
        if not job.is_final:
            self._settle(job, ended, end, now, effects)
        self._release_victim(job.id, now, effects)

    def _settle(
        self,
        job: model.Job,
        ended: gangs.Gang,
        end: gangs.End,
        now: float,
        effects: Effects,
    ) -> None:
        began = self.began.pop(job.id, None)
        if end is gangs.End.SUCCEEDED:
            self._clear(ended)
            if began is not None:
                self._learn(job, now - began)
            first = ended.members[0].worker
            job = dataclasses.replace(job, result=dict(ended.results)[first])
            self._finish(job, model.JobState.DONE, now, effects)
            return
        if end is gangs.End.FAILED:
            job = self._blame(job, ended, now)
        else:
            ran_s = now - began if began is not None else 0.0
            job = _note_loss(job, ended, end, ran_s)
        spent = job.failures >= job.spec.max_attempts
        if spent or job.early_losses >= _MOST_EARLY_LOSSES:
            self._finish(job, model.JobState.FAILED, now, effects)
            return
        job = dataclasses.replace(
            job, state=model.JobState.QUEUED, members=(), claims=()
        )
        self.put(job)
        effects.changed.append(job)
        if end in _RETRY_REASONS:
            effects.retries.append(_RETRY_REASONS[end])

    def _learn(self, job: model.Job, took_s: float) -> None:
        key = (job.customer, job.spec.kind)
        self.estimates = learned.note_run_time(self.estimates, key, took_s)

    def _clear(self, ended: gangs.Gang) -> None:
        for name in ended.workers & self.workers.keys():
            held = self.workers[name]
            held.blame = blames.note_success(held.blame)

    def _blame(
        self, job: model.Job, ended: gangs.Gang, now: float
    ) -> model.Job:
        """Note a failure against the worker, and against the job.

        Failures on workers that are set aside don't count against the job.
        """
        held = self.workers.get(ended.culprit)
        if held is not None:
            elsewhere = bool(set(job.failed_on) - {held.name})
            held.blame = blames.note_failure(held.blame, job.id, elsewhere, now)
            self.touch()
        failed_on = (*job.failed_on, ended.culprit)
        own = [name for name in failed_on if not self.is_aside(name, now)]
        return dataclasses.replace(
            job,
            failures=len(own),
            failed_on=failed_on,
            detail=ended.detail,
        )

    def is_aside(self, name: str, now: float) -> bool:
        """Tell whether a worker is set aside."""
        held = self.workers.get(name)
        return held is not None and blames.is_aside(held.blame, now)

    def _finish(
        self,
        job: model.Job,
        state: model.JobState,
        now: float,
        effects: Effects,
    ) -> None:
        job = dataclasses.replace(
            job, state=state, members=(), claims=(), finished_at=now
        )
        self.put(job)
        self.waits.pop(job.id, None)
        self.not_before.pop(job.id, None)
        self.note(job.id, now, str(state))
        effects.changed.append(job)

    def _release_victim(
        self, job_id: str, now: float, effects: Effects
    ) -> None:
        waiting = [g for g in self.gangs.values() if job_id in g.victims]
        for held in waiting:
            self.apply(gangs.release_victim(held, job_id), now, effects)

    def note(self, job_id: str, now: float, text: str) -> None:
        """Keep a line of a job's story for `explain`."""
        events = self._events.setdefault(
            job_id, collections.deque(maxlen=_EVENTS_KEPT)
        )
        events.append((now, text.strip()))


def _note_loss(
    job: model.Job, ended: gangs.Gang, end: gangs.End, ran_s: float
) -> model.Job:
    """Count an attempt that ended through no failure that anyone told of."""
    job = dataclasses.replace(job, losses=job.losses + 1)
    if end is not gangs.End.LOST or ended.reserved != ended.workers:
        return job
    if ran_s > _EARLY_LOSS_S:
        return dataclasses.replace(job, early_losses=0)
    return dataclasses.replace(
        job,
        early_losses=job.early_losses + 1,
        detail=(
            f"{job.early_losses + 1} attempts lost their worker soon after "
            "their start; check that the task does not end its worker"
        ),
    )


def build_ask(job: model.Job) -> placement.Ask:
    """Return what a job asks of placement."""
    return placement.Ask(
        job.id,
        job.customer,
        job.spec.level,
        job.spec.accelerators,
        job.spec.urgent,
    )

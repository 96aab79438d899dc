"""The owner of one data centre: its book, journal and worker links."""

from collections.abc import Callable
import dataclasses
import time

import trio

from crocusrouter import codec
from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import store
from crocusrouter.fleet import lease
from crocusrouter.fleet import link
from crocusrouter.fleet import messages
from crocusrouter.jobs import gang
from crocusrouter.mesh import messages as mesh_messages
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.templates import Catalog

_CHECK_INTERVAL_S = 0.25
_COMMIT_PATIENCE_S = 3.0
_STORE_RETRY_S = 1.0
_DRAIN_S = 1.0


class Owner:
    """Decides on the jobs of one data centre under one epoch.

    What is decided is journaled before it is told to anyone, worker or
    caller, so that a successor never knows less than they do.
    """

    def __init__(
        self,
        entry: str,
        data_centre: str,
        epoch: int,
        client: store.StoreClient,
        store_prefix: str,
        metrics: Metrics,
        task_lease_s: float,
        keep_jobs_s: float,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.scheduler_state = jobs.SchedulerState(data_centre)
        self._client = client
        self._metrics = metrics
        self._keep_jobs_s = keep_jobs_s
        self._read_wall_clock = read_wall_clock
        self._hello = messages.Hello(entry, epoch, task_lease_s)
        prefix = f"{store_prefix}jobs/{data_centre}/"
        self._journal = jobs.Journal(
            client, prefix, epoch, self._note_committed
        )
        self._links: dict[str, tuple[fleet.Vm, link.WorkerLink]] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._committed: dict[str, jobs.Job] = {}
        self._outbox = jobs.Outbox()
        self._wake = trio.Event()
        self._fleet = fleet.Fleet()
        self._nursery: trio.Nursery | None = None
        self.is_ready = False

    async def run(self) -> None:
        """Take over, then decide until cancelled or fenced."""
        try:
            loaded = await self._journal.take_over()
            now = self._read_wall_clock()
            self.scheduler_state.load_jobs(loaded, now)
            self._committed = {job.id: job for job in loaded}
            log(
                "owner:took-over",
                data_centre=self.data_centre,
                epoch=self.epoch,
                jobs=len(loaded),
            )
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.set_fleet(self._fleet)
                self.is_ready = True
                nursery.start_soon(self._journal.run)
                nursery.start_soon(self._schedule)
                nursery.start_soon(self._check_leases)
        except* jobs.FencedError as errors:
            self._note_fenced(str(errors.exceptions[0]))
        finally:
            self.is_ready = False
            self._nursery = None

    def _note_fenced(self, why: str) -> None:
        self._metrics.count_event("owner-fenced")
        log(
            "owner:fenced",
            data_centre=self.data_centre,
            epoch=self.epoch,
            why=why,
        )

    async def drain(self) -> None:
        """Refuse new jobs and wait until the journal is written."""
        self.is_ready = False
        with trio.move_on_after(_DRAIN_S):
            await self._journal.wait_until(self._journal.is_idle)

    # What the entry tells the owner.

    def set_catalog(self, catalog: Catalog) -> None:
        """Decide by this catalog from now on."""
        self.scheduler_state.catalog = catalog
        self._wake.set()

    def set_fleet(self, machines: fleet.Fleet) -> None:
        """Bring workers and links in line with the VM list."""
        self._fleet = machines
        if self._nursery is None:
            return
        listed = fleet.select_vms(machines, fleet.Role.WORKER, self.data_centre)
        for vm in listed:
            live = vm.state is fleet.VmState.LIVE
            self.scheduler_state.set_worker(
                vm.name, vm.rack, vm.accelerators, live
            )
            if vm.name not in self._links:
                self._open_link(vm)
        for name in self._links.keys() - {vm.name for vm in listed}:
            self._drop_worker(name)
        self._wake.set()

    # What callers ask.

    async def submit(self, job: jobs.Job) -> jobs.Job | Refusal:
        """Accept a job once it is durable.

        Returns:
            The job as it stands, also for a repeated submission.
        """
        refusal = self._check_store()
        if refusal is not None and job.id not in self._committed:
            return refusal
        outcome = self.scheduler_state.submit(job, self._read_wall_clock())
        if isinstance(outcome, Refusal):
            return outcome
        self._apply(outcome)
        with trio.move_on_after(_COMMIT_PATIENCE_S):
            await self._journal.wait_until(lambda: job.id in self._committed)
            return self._committed[job.id]
        detail = "the job may have been accepted"
        return Refusal(RefusalReason.COMMIT_UNKNOWN, detail, _STORE_RETRY_S)

    async def cancel(self, customer: str, job_id: str) -> jobs.Job | Refusal:
        """Cancel a customer's job and wait until that is durable."""
        if self._find(customer, job_id) is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        outcome = self.scheduler_state.cancel(job_id, self._read_wall_clock())
        if isinstance(outcome, Refusal):
            return outcome
        self._apply(outcome)
        with trio.move_on_after(_COMMIT_PATIENCE_S):
            await self._journal.wait_until(
                lambda: self._committed[job_id].is_final
            )
            return self._committed[job_id]
        detail = "the job may have been cancelled"
        return Refusal(RefusalReason.COMMIT_UNKNOWN, detail, _STORE_RETRY_S)

    def show(
        self, customer: str, job_id: str
    ) -> mesh_messages.JobView | Refusal:
        """Show a customer's job; only what is durable is told."""
        job = self._find(customer, job_id)
        if job is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        return self._view(job)

    def list_views(self, customer: str) -> tuple[mesh_messages.JobView, ...]:
        """Show all jobs of a customer, the oldest first."""
        mine = [j for j in self._committed.values() if j.customer == customer]
        mine.sort(key=lambda job: (job.submitted_at, job.id))
        return tuple(map(self._view, mine))

    def _view(self, job: jobs.Job) -> mesh_messages.JobView:
        explained = self.scheduler_state.explain(job.id)
        if explained is None or job.is_final:
            phase, waiting_for = "", ""
        else:
            phase, waiting_for = explained.phase, explained.waiting_for
        events = explained.events if explained is not None else ()
        data = codec.pack(job)
        return mesh_messages.JobView(data, phase, waiting_for, events)

    def _find(self, customer: str, job_id: str) -> jobs.Job | None:
        job = self._committed.get(job_id)
        if job is None or job.customer != customer:
            return None
        return job

    def _check_store(self) -> Refusal | None:
        """Refuse at once while the service is known to be down."""
        if self._client.failing_since is None:
            return None
        detail = "the job was not accepted"
        return Refusal(RefusalReason.STORE_UNAVAILABLE, detail, _STORE_RETRY_S)

    # Effects.

    def _apply(self, effects: jobs.Effects) -> None:
        """Journal what changed; hold commands back until it is durable."""
        for job in effects.changed_jobs:
            self._metrics.count_job(str(job.state))
            log(
                "job:changed",
                job=job.id,
                state=job.state,
                attempt=job.attempt,
                epoch=self.epoch,
            )
        for reason in effects.retry_reasons:
            self._metrics.count_retry(reason)
        self._journal.stage(effects.changed_jobs)
        ready = self._outbox.admit(effects.commands, self._journal.is_pending)
        for command in ready:
            self._transmit(command)
        if effects.changed_jobs:
            self._wake.set()

    def _transmit(self, command: gang.Command) -> None:
        held = self._links.get(command.worker)
        if held is not None:
            held[1].send(command.message)

    def _note_committed(self, job: jobs.Job) -> None:
        """Publish a durable change and send what waited for it."""
        self._committed[job.id] = job
        if not self._journal.is_pending(job.id):
            for command in self._outbox.release(job.id):
                self._transmit(command)

    # Workers.

    def _open_link(self, vm: fleet.Vm) -> None:
        assert self._nursery is not None
        opened = link.WorkerLink(
            vm.name,
            vm.address,
            self._hello,
            self._receive,
            trio.current_time(),
        )
        self._links[vm.name] = (vm, opened)
        self._scopes[vm.name] = trio.CancelScope()
        self._nursery.start_soon(self._run_link, vm.name, opened)

    async def _run_link(self, name: str, opened: link.WorkerLink) -> None:
        with self._scopes[name]:
            await opened.run()

    def _drop_worker(self, name: str) -> None:
        """Forget a worker that the VM list no longer shows.

        The list shows a VM until it is certainly gone, so its tasks need no
        lease to lapse.
        """
        self._scopes.pop(name).cancel()
        del self._links[name]
        now = self._read_wall_clock()
        self._apply(self.scheduler_state.mark_worker_lost(name, now))
        self.scheduler_state.remove_worker(name)

    def _receive(self, worker: str, message: object) -> None:
        if isinstance(message, messages.Fenced):
            self._note_fenced(f"{worker} has seen epoch {message.epoch}")
            assert self._nursery is not None
            self._nursery.cancel_scope.cancel()
            return
        now = self._read_wall_clock()
        self._apply(
            jobs.handle_message(self.scheduler_state, worker, message, now)
        )
        self._wake.set()

    async def _check_leases(self) -> None:
        """End attempts on workers that stopped answering."""
        own = lease.Lease(self._hello.lease_s, trio.current_time())
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            wall = self._read_wall_clock()
            self._apply(self.scheduler_state.stop_overdue_checkpoints(wall))
            if lease.has_lapsed(own, now):
                for name in self.scheduler_state.find_unlisted_workers():
                    self._apply(
                        self.scheduler_state.mark_worker_lost(name, wall)
                    )
            for name, (_, opened) in self._links.items():
                if not lease.is_suspect(opened.lease, now):
                    continue
                if self.scheduler_state.workers[name].inventory_known:
                    # After a pause of our own, answers may still come over
                    # this connection, but only a new one brings the
                    # inventory that makes the worker known again.
                    opened.retire()
                if lease.has_lapsed(opened.lease, now):
                    self._apply(
                        self.scheduler_state.mark_worker_lost(name, wall)
                    )
                else:
                    self._apply(self.scheduler_state.suspect_worker(name, wall))
            self._drop_old(wall)

    def _drop_old(self, now: float) -> None:
        for job in list(self._committed.values()):
            if job.finished_at is None:
                continue
            if now - job.finished_at > self._keep_jobs_s:
                self.scheduler_state.forget_job(job.id)
                del self._committed[job.id]
                self._journal.drop(job.id)

    # Decisions.

    async def _schedule(self) -> None:
        """Decide whenever something changed, a few decisions at a time."""
        while True:
            with trio.move_on_after(_CHECK_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            effects = jobs.schedule(
                self.scheduler_state, self._read_wall_clock()
            )
            self._apply(effects)
            await trio.sleep(0)


@dataclasses.dataclass(frozen=True)
class OwnerStatus:
    """An owner as `status` shows it."""

    data_centre: str
    epoch: int
    unfinished: int
    workers: int


def describe_owner(owner: Owner) -> OwnerStatus:
    """Summarise an owner."""
    unfinished = [
        j for j in owner.scheduler_state.jobs.values() if not j.is_final
    ]
    known = [
        w for w in owner.scheduler_state.workers.values() if w.inventory_known
    ]
    return OwnerStatus(
        owner.data_centre, owner.epoch, len(unfinished), len(known)
    )

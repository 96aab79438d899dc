"""The owner of one data centre, which schedules the data centre's jobs.

It connects the scheduler's state (the jobs' state in memory), the journal
(their durable state in the key-value service) and the links to the workers.
"""

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
_COMMIT_TIMEOUT_S = 3.0
_STORE_RETRY_AFTER_S = 1.0
_DRAIN_TIMEOUT_S = 1.0


class DataCentreOwner:
    """Schedules the jobs of one data centre under one epoch.

    Each change is written to the journal before any worker or caller is told
    of it. A successor, which reads the journal, thus never knows less than
    they do.

    Attributes:
        scheduler_state: State of the data centre's jobs, gangs and workers.
        is_ready: Whether the journal is loaded and the owner takes calls.
    """

    def __init__(
        self,
        entry_name: str,
        data_centre: str,
        epoch: int,
        store_client: store.StoreClient,
        store_prefix: str,
        metrics: Metrics,
        task_lease_s: float,
        keep_jobs_s: float,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.scheduler_state = jobs.SchedulerState(data_centre)
        self._store_client = store_client
        self._metrics = metrics
        self._keep_jobs_s = keep_jobs_s
        self._read_wall_clock = read_wall_clock
        self._hello = messages.Hello(entry_name, epoch, task_lease_s)
        journal_prefix = f"{store_prefix}jobs/{data_centre}/"
        self._journal = jobs.Journal(
            store_client, journal_prefix, epoch, self._on_committed
        )
        self._worker_links: dict[str, tuple[fleet.Vm, link.WorkerLink]] = {}
        self._link_scopes: dict[str, trio.CancelScope] = {}
        self._committed_jobs: dict[str, jobs.Job] = {}
        self._command_outbox = jobs.Outbox()
        self._schedule_needed = trio.Event()
        self._fleet = fleet.Fleet()
        self._nursery: trio.Nursery | None = None
        self.is_ready = False

    async def run(self) -> None:
        """Load the journal, then schedule jobs until cancelled or fenced."""
        try:
            loaded_jobs = await self._journal.take_over()
            now = self._read_wall_clock()
            self.scheduler_state.load_jobs(loaded_jobs, now)
            self._committed_jobs = {job.id: job for job in loaded_jobs}
            log(
                "owner:took-over",
                data_centre=self.data_centre,
                epoch=self.epoch,
                jobs=len(loaded_jobs),
            )
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self.set_fleet(self._fleet)
                self.is_ready = True
                nursery.start_soon(self._journal.run)
                nursery.start_soon(self._schedule_jobs)
                nursery.start_soon(self._check_leases)
        except* jobs.FencedError as errors:
            self._report_fenced(str(errors.exceptions[0]))
        finally:
            self.is_ready = False
            self._nursery = None

    def _report_fenced(self, cause: str) -> None:
        self._metrics.count_event("owner-fenced")
        log(
            "owner:fenced",
            data_centre=self.data_centre,
            epoch=self.epoch,
            why=cause,
        )

    async def drain(self) -> None:
        """Take no more calls and wait until the journal is written."""
        self.is_ready = False
        with trio.move_on_after(_DRAIN_TIMEOUT_S):
            await self._journal.wait_until(self._journal.is_idle)

    # Updates from the entry.

    def set_catalog(self, catalog: Catalog) -> None:
        """Schedule by this catalog from now on."""
        self.scheduler_state.catalog = catalog
        self._schedule_needed.set()

    def set_fleet(self, current_fleet: fleet.Fleet) -> None:
        """Update the workers and the links to them from the VM list."""
        self._fleet = current_fleet
        if self._nursery is None:
            return
        worker_vms = fleet.select_vms(
            current_fleet, fleet.Role.WORKER, self.data_centre
        )
        for vm in worker_vms:
            is_live = vm.state is fleet.VmState.LIVE
            self.scheduler_state.set_worker(
                vm.name, vm.rack, vm.accelerators, is_live
            )
            if vm.name not in self._worker_links:
                self._open_link(vm)
        for name in self._worker_links.keys() - {vm.name for vm in worker_vms}:
            self._remove_worker(name)
        self._schedule_needed.set()

    # Calls of customers.

    async def submit(self, job: jobs.Job) -> jobs.Job | Refusal:
        """Accept a job, and wait until it is durable.

        Returns:
            The job as last committed, also for a repeated submission; or the
            reason why it was refused.
        """
        refusal = self._refuse_if_store_fails()
        if refusal is not None and job.id not in self._committed_jobs:
            return refusal
        outcome = self.scheduler_state.submit(job, self._read_wall_clock())
        if isinstance(outcome, Refusal):
            return outcome
        self._apply_effects(outcome)
        with trio.move_on_after(_COMMIT_TIMEOUT_S):
            await self._journal.wait_until(
                lambda: job.id in self._committed_jobs
            )
            return self._committed_jobs[job.id]
        detail = "the job may have been accepted"
        return Refusal(
            RefusalReason.COMMIT_UNKNOWN, detail, _STORE_RETRY_AFTER_S
        )

    async def cancel(self, customer: str, job_id: str) -> jobs.Job | Refusal:
        """Cancel a customer's job, and wait until the change is durable."""
        if self._find_committed(customer, job_id) is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        outcome = self.scheduler_state.cancel(job_id, self._read_wall_clock())
        if isinstance(outcome, Refusal):
            return outcome
        self._apply_effects(outcome)
        with trio.move_on_after(_COMMIT_TIMEOUT_S):
            await self._journal.wait_until(
                lambda: self._committed_jobs[job_id].is_final
            )
            return self._committed_jobs[job_id]
        detail = "the job may have been cancelled"
        return Refusal(
            RefusalReason.COMMIT_UNKNOWN, detail, _STORE_RETRY_AFTER_S
        )

    def find_view(
        self, customer: str, job_id: str
    ) -> mesh_messages.JobView | Refusal:
        """Return the view of a customer's job, as last committed."""
        job = self._find_committed(customer, job_id)
        if job is None:
            return Refusal(RefusalReason.UNKNOWN_JOB, f"job {job_id}")
        return self._build_view(job)

    def list_views(self, customer: str) -> tuple[mesh_messages.JobView, ...]:
        """Return the views of a customer's jobs, the oldest first."""
        customer_jobs = [
            job
            for job in self._committed_jobs.values()
            if job.customer == customer
        ]
        customer_jobs.sort(key=lambda job: (job.submitted_at, job.id))
        return tuple(map(self._build_view, customer_jobs))

    def count_runs(self) -> mesh_messages.RunCounts:
        """Return how many jobs run here, and on how many accelerators."""
        gangs = self.scheduler_state.gangs.values()
        return mesh_messages.RunCounts(
            len(gangs),
            sum(member.size for gang in gangs for member in gang.members),
        )

    def _build_view(self, job: jobs.Job) -> mesh_messages.JobView:
        explanation = self.scheduler_state.explain(job.id)
        if explanation is None or job.is_final:
            phase, waiting_for = "", ""
        else:
            phase, waiting_for = explanation.phase, explanation.waiting_for
        events = explanation.events if explanation is not None else ()
        packed_job = codec.pack(job)
        return mesh_messages.JobView(packed_job, phase, waiting_for, events)

    def _find_committed(self, customer: str, job_id: str) -> jobs.Job | None:
        """Return a job as last committed, if it belongs to the customer."""
        job = self._committed_jobs.get(job_id)
        if job is None or job.customer != customer:
            return None
        return job

    def _refuse_if_store_fails(self) -> Refusal | None:
        """Return a refusal while calls to the key-value service fail."""
        if self._store_client.failing_since is None:
            return None
        detail = "the job was not accepted"
        return Refusal(
            RefusalReason.STORE_UNAVAILABLE, detail, _STORE_RETRY_AFTER_S
        )

    # Effects of scheduling decisions.

    def _apply_effects(self, effects: jobs.Effects) -> None:
        """Journal changed jobs; hold their commands until they are durable."""
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
        sendable_commands = self._command_outbox.admit(
            effects.commands, self._journal.is_pending
        )
        for command in sendable_commands:
            self._send_command(command)
        if effects.changed_jobs:
            self._schedule_needed.set()

    def _send_command(self, command: gang.Command) -> None:
        vm_and_link = self._worker_links.get(command.worker)
        if vm_and_link is not None:
            vm_and_link[1].send(command.message)

    def _on_committed(self, job: jobs.Job) -> None:
        """Publish a committed job and send the commands that waited for it."""
        self._committed_jobs[job.id] = job
        if not self._journal.is_pending(job.id):
            for command in self._command_outbox.release(job.id):
                self._send_command(command)

    # Workers.

    def _open_link(self, vm: fleet.Vm) -> None:
        assert self._nursery is not None
        worker_link = link.WorkerLink(
            vm.name,
            vm.address,
            self._hello,
            self._handle_worker_message,
            trio.current_time(),
        )
        self._worker_links[vm.name] = (vm, worker_link)
        self._link_scopes[vm.name] = trio.CancelScope()
        self._nursery.start_soon(self._run_link, vm.name, worker_link)

    async def _run_link(
        self, worker: str, worker_link: link.WorkerLink
    ) -> None:
        with self._link_scopes[worker]:
            await worker_link.run()

    def _remove_worker(self, worker: str) -> None:
        """Remove a worker that the VM list no longer contains.

        The list contains a VM until it has certainly ended, so the worker's
        tasks count as ended without waiting for their lease to expire.
        """
        self._link_scopes.pop(worker).cancel()
        del self._worker_links[worker]
        now = self._read_wall_clock()
        self._apply_effects(self.scheduler_state.mark_worker_lost(worker, now))
        self.scheduler_state.remove_worker(worker)

    def _handle_worker_message(self, worker: str, message: object) -> None:
        if isinstance(message, messages.Fenced):
            self._report_fenced(f"{worker} has seen epoch {message.epoch}")
            assert self._nursery is not None
            self._nursery.cancel_scope.cancel()
            return
        now = self._read_wall_clock()
        self._apply_effects(
            jobs.handle_message(self.scheduler_state, worker, message, now)
        )
        self._schedule_needed.set()

    async def _check_leases(self) -> None:
        """End attempts on workers that stopped answering, until cancelled."""
        # Tasks that an earlier owner started may run until this lease lapses.
        takeover_lease = lease.Lease(self._hello.lease_s, trio.current_time())
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            wall_now = self._read_wall_clock()
            self._apply_effects(
                self.scheduler_state.stop_overdue_checkpoints(wall_now)
            )
            if lease.has_lapsed(takeover_lease, now):
                for worker in self.scheduler_state.find_unlisted_workers():
                    self._apply_effects(
                        self.scheduler_state.mark_worker_lost(worker, wall_now)
                    )
            for worker, (_, worker_link) in self._worker_links.items():
                if not lease.is_suspect(worker_link.lease, now):
                    continue
                if self.scheduler_state.workers[worker].inventory_known:
                    # If this process was suspended, answers may still arrive
                    # over the current connection. Only a new connection
                    # brings the inventory that makes the worker known again.
                    worker_link.reconnect()
                if lease.has_lapsed(worker_link.lease, now):
                    self._apply_effects(
                        self.scheduler_state.mark_worker_lost(worker, wall_now)
                    )
                else:
                    self._apply_effects(
                        self.scheduler_state.suspect_worker(worker, wall_now)
                    )
            self._forget_old_jobs(wall_now)

    def _forget_old_jobs(self, now: float) -> None:
        """Forget finished jobs that have been kept long enough."""
        for job in list(self._committed_jobs.values()):
            if job.finished_at is None:
                continue
            if now - job.finished_at > self._keep_jobs_s:
                self.scheduler_state.forget_job(job.id)
                del self._committed_jobs[job.id]
                self._journal.drop(job.id)

    # Scheduling.

    async def _schedule_jobs(self) -> None:
        """Schedule a few jobs at a time, until cancelled.

        A pass follows each change, and each interval without a change.
        """
        while True:
            with trio.move_on_after(_CHECK_INTERVAL_S):
                await self._schedule_needed.wait()
            self._schedule_needed = trio.Event()
            effects = jobs.schedule(
                self.scheduler_state, self._read_wall_clock()
            )
            self._apply_effects(effects)
            await trio.sleep(0)


@dataclasses.dataclass(frozen=True)
class OwnerStatus:
    """What the status endpoint shows of an owner."""

    data_centre: str
    epoch: int
    unfinished: int
    workers: int


def describe_owner(owner: DataCentreOwner) -> OwnerStatus:
    """Return the status of an owner."""
    unfinished_jobs = [
        job for job in owner.scheduler_state.jobs.values() if not job.is_final
    ]
    known_workers = [
        worker
        for worker in owner.scheduler_state.workers.values()
        if worker.inventory_known
    ]
    return OwnerStatus(
        owner.data_centre, owner.epoch, len(unfinished_jobs), len(known_workers)
    )

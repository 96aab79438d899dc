"""Runs one pool under an epoch: scheduling, journal and links to workers."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import traceback

import trio

from crocusrouter import queues
from crocusrouter import work
from crocusrouter.pools import advisor
from crocusrouter.pools import backlog
from crocusrouter.pools import clocks
from crocusrouter.pools import closures
from crocusrouter.pools import connections
from crocusrouter.pools import job_expiry
from crocusrouter.pools import journal as journals
from crocusrouter.pools import known_workers
from crocusrouter.pools import lease_contract
from crocusrouter.pools import owner_leases
from crocusrouter.pools import parked_jobs
from crocusrouter.pools import reservations
from crocusrouter.pools import speed_record
from crocusrouter.pools import state_log
from crocusrouter.pools import unanswered_starts
from crocusrouter.pools import upkeep_controller
from crocusrouter.pools import worker_links
from crocusrouter.pools import worker_listing
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import moves
from crocusrouter.work import worker_choice
from crocusrouter.work import worker_port

# Events that arrive within this window share one decision.
_EVENT_BATCH_S = 0.002
# Decisions are also made at this interval, because pauses and suspicions expire
# without an event.
_DECISION_INTERVAL_S = 0.25
_LOAD_RETRY_S = 0.2
# A start that waits this long for its job to leave the record of parked jobs is
# withdrawn and planned again. By then the store is unavailable, and more urgent
# work may need the room.
_UNPARK_TIMEOUT_S = 1.0
# Run numbers start at the epoch shifted left by this many bits, so a
# successor's numbers are higher than all of its predecessor's without a
# persisted counter.
_RUN_NUMBER_BITS = 20

OpenConnection = Callable[[str, str], worker_port.Connection]
_StartOrders = list[tuple[worker_links.WorkerLink, worker_port.Start]]


@dataclasses.dataclass(frozen=True)
class Platform:
    """How the owner reaches the platform's workers and services.

    Attributes:
        workers_prefix: Prefix of the list of workers in the key-value service.
        parse_worker: Decodes an entry of that list.
        open_connection: Opens a connection to an incarnation of a worker at an
            address.
        keep_jobs_s: Seconds for which the state of a finished job stays
            available.
        make_policy: Opens the policy service of advised queues; None if there
            is none.
        upkeep_platform: Access to waves of upkeep; None if there are none.
    """

    workers_prefix: str
    parse_worker: worker_listing.ParseWorker
    open_connection: OpenConnection
    keep_jobs_s: float = 600.0
    make_policy: Callable[[], worker_port.PolicyPort] | None = None
    upkeep_platform: upkeep_controller.UpkeepPlatform | None = None


class PoolOwner:
    """Schedules the jobs of one pool under one epoch."""

    def __init__(
        self,
        owner_lease: owner_leases.OwnerLease,
        store: key_value.KeyValueStore,
        platform: Platform,
        clock: clocks.Clock,
        metrics: Metrics,
        may_renew: Callable[[], bool],
        have_predecessors_ended: Callable[[float], bool],
        known_closures: closures.Closures,
    ) -> None:
        """Prepare an owner; `run` starts it.

        Args:
            owner_lease: The lease and epoch under which it owns the pool.
            store: The key-value service.
            platform: How workers are reached.
            clock: Source of the current time.
            metrics: Counts events.
            may_renew: Returns whether worker leases may be renewed although the
                owner lease is not known to be valid.
            have_predecessors_ended: Returns whether, at a steady time, leases
                of earlier owners have ended on workers that have not answered.
            known_closures: The data centres that are closed to new work.
        """
        self.pool = owner_lease.pool
        self.epoch = owner_lease.epoch
        self.pool_state = work.PoolState(owner_lease.epoch, owner_lease.pool)
        self.is_loaded = False
        self.is_recovered = False
        self._owner_lease = owner_lease
        self._store = store
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._may_renew = may_renew
        self._have_predecessors_ended = have_predecessors_ended
        self._closures = known_closures
        self._backlog = backlog.Backlog(
            store, owner_lease.pool, self.pool_state, clock, metrics, self.wake
        )
        self._journal = journals.Journal(
            store,
            owner_lease,
            self.pool_state,
            self._backlog.revisions,
            clock.steady,
            metrics,
        )
        self._links: dict[str, worker_links.WorkerLink] = {}
        # Keyed by worker id; outlives the links to the worker's incarnations.
        self._unanswered_starts: dict[
            str, unanswered_starts.UnansweredStarts
        ] = collections.defaultdict(unanswered_starts.UnansweredStarts)
        self._reservations = reservations.Reservations()
        self._owned_since = clock.steady()
        self._last_run_number = owner_lease.epoch << _RUN_NUMBER_BITS
        self._wake_event = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._known_workers = known_workers.KnownWorkers(
            store,
            owner_lease,
            self.pool_state,
            self._journal.is_durable,
            self.wake,
        )
        self._speed_record = speed_record.SpeedRecord(
            store, owner_lease, self.pool_state, clock
        )
        self._state_log = state_log.StateLog(
            owner_lease.pool, self.pool_state, metrics
        )
        make_policy = platform.make_policy
        self._parked_jobs = parked_jobs.ParkedJobs(
            store,
            owner_lease,
            self.pool_state,
            self._journal.is_durable,
            clock.steady,
        )
        self._advisor = advisor.Advisor(
            make_policy() if make_policy is not None else None,
            self.pool_state,
            clock,
            self.wake,
        )
        self._is_draining = False
        self._is_deciding = False
        self._pause_cause: str | None = None
        self._worker_list = worker_listing.WorkerList(
            worker_listing.ListSource(
                platform.workers_prefix, platform.parse_worker
            ),
            store,
            owner_lease.pool,
            self.pool_state,
            clock,
            metrics,
            worker_listing.ListListeners(
                self._open_link, self._handle_unlisted, self.wake
            ),
        )

    def set_config(self, config: queues.Config) -> None:
        """Apply the customers' guarantees and the pools of the queues.

        Jobs don't move to a service whose VMs are switched off.
        """
        self.pool_state.guaranteed = {
            customer.name: customer.guaranteed_accelerators
            for customer in config.customers.values()
        }
        self.pool_state.queue_pools = {
            queue.name: queue.pool
            for queue in config.queues
            if queue.pool in config.services
            and not config.services[queue.pool].standby
        }
        self.pool_state.config_version = config.version
        self.wake()

    def list_other_pools(self, queue: str | None = None) -> list[str]:
        """Return the other pools in which jobs or their tasks are left.

        Args:
            queue: The queue whose jobs are asked for; None for all jobs.
        """
        return self._backlog.list_other_pools(queue)

    def apply_closures(self) -> None:
        """Apply the closures that this entry knows now."""
        work.set_closed_data_centres(
            self.pool_state, self._closures.data_centres
        )
        self.wake()

    def wake(self) -> None:
        """Schedule a decision because something may have changed.

        Stops that are due already leave at once: a decision may be some tenths
        of a second away, and takes as long with many workers on a small VM.
        """
        self._wake_event.set()
        self._journal.wake()
        if self._is_deciding:
            self._send_stops()

    async def run(self) -> None:
        """Own the pool until deposed or cancelled.

        Raises:
            DeposedError: Another owner has taken over.
        """
        await self._load()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._journal.run)
            nursery.start_soon(self._backlog.run)
            nursery.start_soon(self._worker_list.run)
            nursery.start_soon(self._speed_record.run)
            nursery.start_soon(self._parked_jobs.run)
            nursery.start_soon(self._advisor.run)
            nursery.start_soon(
                job_expiry.expire_jobs,
                self._store,
                self._owner_lease,
                self.pool_state,
                self._clock.steady,
                self._platform.keep_jobs_s,
            )
            for worker_state in self._known_workers.restore_unlisted(
                self._clock.steady()
            ):
                self._open_link(worker_state.entry.id)
            nursery.start_soon(self._known_workers.run)
            for worker_state in list(self.pool_state.workers.values()):
                worker_state.is_foreseen = True
                self._open_link(worker_state.entry.id)
            self._speed_record.restore()
            self.is_loaded = True
            self._is_deciding = True
            try:
                await self._run_decision_loop()
            finally:
                self._is_deciding = False

    async def drain(self, timeout_s: float) -> None:
        """Stop starting tasks and wait until the journal has caught up.

        Args:
            timeout_s: Longest time to wait.
        """
        self._is_draining = True
        with trio.move_on_after(timeout_s):
            await self._journal.settle()

    # Loading.

    async def _load(self) -> None:
        """Read the state that earlier owners and the entries have stored."""
        while True:
            try:
                await self._known_workers.load()
                parked_ids = await self._parked_jobs.load()
                await self._backlog.load()
                await self._worker_list.load()
                break
            except client.StoreUnavailableError as error:
                log("owner:load-failed", pool=self.pool, cause=str(error))
                await trio.sleep(_LOAD_RETRY_S)
        await self._speed_record.load()
        for job_id in parked_ids & self.pool_state.jobs.keys():
            self.pool_state.jobs[job_id].parked = True
        log(
            "owner:loaded",
            pool=self.pool,
            epoch=self.epoch,
            jobs=len(self.pool_state.jobs),
            parked=len(parked_ids),
            workers=len(self.pool_state.workers),
        )

    # Workers.

    def _handle_unlisted(self, incarnation: str) -> None:
        link = self._links.get(incarnation)
        if link is not None:
            link.wake()
        self._forget_if_finished(incarnation)

    def _open_link(self, incarnation: str) -> None:
        if self._nursery is None:
            # `run` opens the links to all loaded workers.
            return
        worker_state = self.pool_state.workers[incarnation]
        if worker_state.may_take_tasks_later and not worker_state.is_recorded:
            self._known_workers.wake()
        if incarnation in self._links or worker_state.replaced:
            return
        open_connection = functools.partial(self._open_connection, incarnation)
        link = worker_links.WorkerLink(
            incarnation,
            connections.Connections(incarnation, open_connection),
            self.epoch,
            self.pool_state,
            self._clock,
            self._journal.settle,
            self._may_renew_leases,
            self._have_predecessors_ended,
            self._may_start_tasks,
            self.wake,
            self._handle_replaced,
            self._unanswered_starts[worker_state.entry.worker],
        )
        self._links[incarnation] = link
        self._nursery.start_soon(self._run_link, incarnation, link)

    def _open_connection(self, incarnation: str) -> worker_port.Connection:
        """Open a connection to an incarnation at its present address."""
        address = self.pool_state.workers[incarnation].address
        return self._platform.open_connection(incarnation, address)

    def _limit_possible_jobs(self, now: float) -> None:
        """Note which jobs may run on workers that have not answered yet.

        Long after the takeover, only late starts of this owner can be there.
        Other jobs need not wait until such a worker answers: a new one may end
        right after it has registered.
        """
        owned_long = lease_contract.have_late_starts_ended(
            self._owned_since, now
        )
        for worker_state in self.pool_state.workers.values():
            if not worker_state.has_unknown_runs:
                continue
            if owned_long and worker_state.possible_jobs is None:
                worker_state.possible_jobs = frozenset()
            unanswered = self._unanswered_starts[worker_state.entry.worker]
            worker_state.late_jobs = unanswered.list_jobs(now)

    def _handle_replaced(
        self,
        incarnation: str,
        successor: str | None,
        stops: list[worker_port.Stop],
    ) -> None:
        """Record that another incarnation answers in place of an expected one.

        The new incarnation may not be listed yet, but it is asked at once what
        it runs. Orders that were in flight may report the same replacement
        again.
        """
        if (
            incarnation not in self.pool_state.workers
            or self.pool_state.workers[incarnation].replaced
        ):
            return
        now = self._clock.steady()
        if successor is not None:
            work.add_successor(self.pool_state, incarnation, successor, now)
        work.note_replaced(self.pool_state, incarnation, now, successor, stops)
        if successor is not None:
            self._open_link(successor)
            self._stop_late_starts(successor)

    def _stop_late_starts(self, incarnation: str) -> None:
        """Stop late starts on an incarnation that has answered another's link.

        Its own link may be waiting for the answer to a poll that was lost.
        """
        link = self._links.get(incarnation)
        if link is not None and self._nursery is not None:
            self._nursery.start_soon(
                self._contain_errors, incarnation, link.stop_late_starts
            )

    async def _run_link(
        self, incarnation: str, link: worker_links.WorkerLink
    ) -> None:
        while not await self._contain_errors(incarnation, link.run):
            if not await link.handle_failure():
                break
        del self._links[incarnation]
        worker_state = self.pool_state.workers.get(incarnation)
        if worker_state is None:
            return
        if worker_state.listed and not worker_state.replaced:
            # The worker was listed again while its link was being closed.
            self._open_link(incarnation)
        else:
            self._forget_if_finished(incarnation)

    async def _contain_errors(
        self,
        incarnation: str,
        call: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> bool:
        """Make a call of one worker's link.

        An unexpected error must not end the scheduling of the whole pool.

        Returns:
            Whether the call has ended without an error.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        try:
            await call(*arguments)
        except journals.DeposedError:
            raise
        except Exception as error:
            self._metrics.count_event("link-failed")
            log(
                "link:failed",
                worker=incarnation,
                error="".join(traceback.format_exception(error)),
            )
            return False
        return True

    async def _deliver_start(
        self, link: worker_links.WorkerLink, order: worker_port.Start
    ) -> None:
        if not await self._contain_errors(link.incarnation, link.start, order):
            link.give_up_start(order)

    def _forget_if_finished(self, incarnation: str) -> None:
        worker_state = self.pool_state.workers.get(incarnation)
        if (
            worker_state is None
            or worker_state.listed
            or worker_state.runs
            or incarnation in self._links
        ):
            return
        self.pool_state.forget_worker(incarnation)
        self._forget_unanswered_starts(worker_state.entry.worker)
        log("worker:forgotten", worker=incarnation)

    def _forget_unanswered_starts(self, worker: str) -> None:
        """Drop the record of a worker that has no incarnation left.

        The links to its remaining incarnations share the record.
        """
        is_known = any(
            worker_state.entry.worker == worker
            for worker_state in self.pool_state.workers.values()
        )
        unanswered = self._unanswered_starts[worker]
        now = self._clock.steady()
        is_over = unanswered.is_settled(now) and not unanswered.list_jobs(now)
        if not is_known and is_over:
            del self._unanswered_starts[worker]

    def _may_renew_leases(self) -> bool:
        return self._owner_lease.is_valid() or self._may_renew()

    def _may_start_tasks(self, now: float) -> bool:
        """Return whether everything that can forbid a start is known."""
        workers_fresh = self._worker_list.freshness.is_fresh(now)
        jobs_fresh = self._backlog.freshness.is_fresh(now)
        closures_fresh = self._closures.is_fresh(now)
        return workers_fresh and jobs_fresh and closures_fresh

    # Decisions.

    async def _run_decision_loop(self) -> None:
        """Decide whenever something has changed.

        A long decision is followed by a pause of the same length. Under load
        events arrive continuously, and back-to-back decisions would leave the
        event loop no time for orders and lease renewals.
        """
        decision_s = 0.0
        while True:
            with trio.move_on_after(_DECISION_INTERVAL_S):
                await self._wake_event.wait()
                await trio.sleep(max(_EVENT_BATCH_S, decision_s))
            self._wake_event = trio.Event()
            began_at = self._clock.steady()
            self._decide(began_at, self._clock.wall())
            self._journal.wake()
            decision_s = self._clock.steady() - began_at

    def _decide(self, now: float, wall: float) -> None:
        self.pool_state.open_due_occurrences(wall, now)
        self._limit_possible_jobs(now)
        self._move_jobs()
        self._check_recovered(now)
        if self.is_recovered:
            self._state_log.write_shortfall()
        pause_cause = self._find_pause_cause(now)
        self._log_pause(pause_cause)
        if pause_cause is None:
            self._run_plan(now, wall)
        if self._owner_lease.is_valid() and not self._is_draining:
            self._send_paces(now)
        self._advisor.wake()
        self._send_stops()
        self._state_log.write_events(now, wall)

    def _move_jobs(self) -> None:
        """Move jobs whose queue has another pool; forget what has left."""
        moves.mark_moves(self.pool_state)
        moves.release_ended_tasks(self.pool_state)
        for job_id in moves.list_left_jobs(self.pool_state):
            if self._journal.is_durable(job_id):
                self.pool_state.forget_job(job_id)
                log("job:left", job=job_id, pool=self.pool)

    def _find_pause_cause(self, now: float) -> str | None:
        """Return why no task may start now; None if tasks may."""
        if not self._owner_lease.is_valid():
            return "owner-lease-not-renewed"
        if self._is_draining:
            return "entry-shuts-down"
        return None if self._may_start_tasks(now) else "stale-view"

    def _log_pause(self, cause: str | None) -> None:
        """Log when starts are paused, for another cause, or resumed."""
        if cause == self._pause_cause:
            return
        self._pause_cause = cause
        if cause is None:
            log("starts:resumed", pool=self.pool)
            return
        self._metrics.count_event("starts-paused")
        log("starts:paused", pool=self.pool, cause=cause)

    def _run_plan(self, now: float, wall: float) -> None:
        """Start steps that have room and stop runs that block guarantees."""
        for placement in self._reservations.take_ready(self.pool_state, now):
            self._start_step(placement, now)
        plan = work.plan(
            self.pool_state, now, wall, reserved=self._reservations.list_spots()
        )
        for placement in plan.placements:
            self._start_step(placement, now)
        for run, why in plan.stops:
            self.pool_state.stop_run(run, why, now)
        self.pool_state.note_kept(plan.kept)
        self.pool_state.note_delays(plan.delays, now)
        if plan.contended:
            self.pool_state.note_contention(now)
        for placement in plan.reservations:
            self._reservations.add(placement, now)

    def _check_recovered(self, now: float) -> None:
        """Record when every worker has reported the runs of earlier owners."""
        if self.is_recovered:
            return
        if any(
            worker_state.has_unknown_runs
            for worker_state in self.pool_state.workers.values()
        ):
            return
        self.is_recovered = True
        work.check_gangs(self.pool_state, now)
        log(
            "owner:recovered",
            pool=self.pool,
            epoch=self.epoch,
            runs=len(self.pool_state.runs),
        )

    def _start_step(self, placement: work.Placement, now: float) -> None:
        assert self._nursery is not None
        job_work = self.pool_state.jobs[placement.step.job]
        step_work = self.pool_state.find_tracked_step(
            work.TaskKey(*placement.step, 0)
        )
        assert step_work is not None
        step_run_number = self._allocate_run_number()
        start_orders: _StartOrders = []
        for index, incarnation in placement.spots.items():
            run_number = (
                step_run_number
                if step_work.step.gang
                else self._allocate_run_number()
            )
            key = work.TaskKey(*placement.step, index)
            run = self.pool_state.add_run(
                key, run_number, incarnation, now, is_trial=placement.is_trial
            )
            ticket = step_work.permits.find_ticket(incarnation, now)
            order = worker_port.Start(
                key, run_number, job_work.job.payload, run.checkpoint, ticket
            )
            start_orders.append((self._links[incarnation], order))
        if self._parked_jobs.is_parked(placement.step.job):
            self._nursery.start_soon(self._start_parked, start_orders)
        else:
            self._send_starts(start_orders)
        log(
            "step:start",
            step=placement.step,
            run=step_run_number,
            spots=list(placement.spots.items()),
            cores=step_work.step.charge.cores,
            checkpoints=step_work.step.checkpoints,
            gang=step_work.step.gang,
            waited=round(now - (step_work.waiting_since or now), 3),
            beside_room=round(
                self.pool_state.start_delays.measure(placement.step, now), 3
            ),
            list_age_s=round(self._worker_list.freshness.measure_age(now), 3),
            **worker_choice.describe_group(
                self.pool_state.speeds.find_groups(), placement.spots.values()
            ),
        )

    def _send_starts(self, start_orders: _StartOrders) -> None:
        assert self._nursery is not None
        for link, order in start_orders:
            self._nursery.start_soon(self._deliver_start, link, order)

    async def _start_parked(self, start_orders: _StartOrders) -> None:
        """Send starts once the stored record no longer names the job as parked.

        Otherwise a successor would assume that nothing of the job runs.
        """
        job_id = start_orders[0][1].key.job
        with trio.move_on_after(_UNPARK_TIMEOUT_S):
            await self._parked_jobs.wait_until_removed(job_id)
            self._send_starts(start_orders)
            return
        log("start:withdrawn", job=job_id, tasks=len(start_orders))
        for _, order in start_orders:
            self.pool_state.withdraw_run(order.key, order.run)
        self.wake()

    def _allocate_run_number(self) -> int:
        self._last_run_number += 1
        return self._last_run_number

    def _send_stops(self) -> None:
        assert self._nursery is not None
        stops, self.pool_state.outbox = self.pool_state.outbox, []
        for incarnation, order in stops:
            link = self._links.get(incarnation)
            if link is not None:
                self._nursery.start_soon(
                    self._contain_errors, incarnation, link.stop, order
                )
                continue
            self._metrics.count_event("stop-undelivered")
            log(
                "stop:undelivered",
                task=order.key,
                run=order.run,
                worker=incarnation,
            )

    def _send_paces(self, now: float) -> None:
        assert self._nursery is not None
        for run, percent in work.choose_paces(self.pool_state, now):
            link = self._links.get(run.worker_id)
            if link is not None:
                # Prevents another pace order until this one can have been
                # answered.
                run.paced_at = now
                order = worker_port.Pace(run.key, run.number, percent)
                self._nursery.start_soon(
                    self._contain_errors, run.worker_id, link.pace, order
                )

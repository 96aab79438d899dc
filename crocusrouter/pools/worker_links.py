"""Connects a pool's owner with one worker: lease renewals, reports, orders."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import journal as journals
from crocusrouter.pools import unanswered_starts
from crocusrouter.pools import worker_leases
from crocusrouter.telemetry import log
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

# How long a poll of the worker waits for a task to end. Longer polls are fewer
# calls; shorter ones show sooner that a worker is silent or a task makes no
# progress.
_POLL_WAIT_S = 1.0
_RETRY_DELAY_S = 0.25
# Pause after an unexpected error of a link.
_FAILURE_DELAY_S = 1.0
# A worker lists ended tasks until they are confirmed, so polls return at once.
# This limits their rate while the journal can't be written, or the confirmation
# does not reach the worker.
_UNCONFIRMED_POLL_DELAY_S = 0.5
# Orders are answered in milliseconds. An order without an answer is sent again
# after this time under the same run number, so it can't run twice.
_ORDER_TIMEOUT_S = 0.35
# Members of a gang wait 3 s for each other, so a start is given up earlier.
_START_TIMEOUT_S = 2.0


# Called when another incarnation answers, with the expected incarnation, the
# answering one (None if unknown), and the stops to deliver to the latter.
OnReplaced = Callable[[str, str | None, list[worker_port.Stop]], None]


class WorkerLink:
    """Renews the lease of one incarnation and delivers orders to it."""

    def __init__(
        self,
        incarnation: str,
        port: worker_port.WorkerPort,
        epoch: int,
        pool_state: work.PoolState,
        clock: clocks.Clock,
        settle: Callable[[], Awaitable[None]],
        may_renew: Callable[[], bool],
        have_predecessors_ended: Callable[[float], bool],
        may_start: Callable[[float], bool],
        on_change: Callable[[], None],
        on_replaced: OnReplaced,
        pending_starts: unanswered_starts.UnansweredStarts,
    ) -> None:
        """Open a link.

        Args:
            incarnation: The incarnation of the worker.
            port: How to reach it.
            epoch: The owner's epoch.
            pool_state: Updated with everything that the worker reports.
            clock: Source of the current time.
            settle: Waits until the changes of the pool's state are durable.
            may_renew: Returns whether leases may be renewed now.
            have_predecessors_ended: Returns whether, at a steady time, leases
                of earlier owners have ended on workers that have not answered.
            may_start: Returns whether, at a steady time, the owner's view of
                cancelled jobs and draining workers is recent enough for starts.
            on_change: Called when the pool's state has changed.
            on_replaced: Called when another incarnation answers.
            pending_starts: Unanswered starts; shared with the links to the
                worker's other incarnations.
        """
        self.incarnation = incarnation
        self.lease = worker_leases.WorkerLease(
            clock.steady(), have_predecessors_ended
        )
        self._port = port
        self._epoch = epoch
        self._pool_state = pool_state
        self._clock = clock
        self._settle = settle
        self._may_renew = may_renew
        self._may_start = may_start
        self._on_change = on_change
        self._on_replaced = on_replaced
        self._pending_starts = pending_starts
        self._confirmed_number = 0
        self._stops_in_flight: set[worker_port.Stop] = set()
        # Number of the latest end that the worker has listed. Polls may be
        # answered in another order than they are read.
        self._listed_number = 0
        # Whether the last report has listed ends that were confirmed before.
        self._lists_confirmed_ends = False
        self._wake_event = trio.Event()
        self._clock_lock = trio.Lock()
        self._is_abandoned = False

    def wake(self) -> None:
        """Resume polling because the worker has something to run or stop."""
        self._wake_event.set()

    async def run(self) -> None:
        """Poll the worker until another incarnation answers in its place.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        self._pending_starts.listeners.append(self.wake)
        try:
            await self._poll(0.0)
            while not self._is_abandoned:
                if not self._is_silent():
                    await self.stop_late_starts()
                worker_state = self._pool_state.workers.get(self.incarnation)
                if worker_state is None:
                    return
                if self._is_idle(worker_state):
                    if worker_state.listed:
                        await self._wake_event.wait()
                    elif self._listed_number <= self._confirmed_number:
                        # The journal holds all ends that it has listed.
                        return
                self._wake_event = trio.Event()
                if self._has_late_starts():
                    # A stop had no answer; it is sent again after the poll.
                    await trio.sleep(_RETRY_DELAY_S)
                    wait_s = 0.0
                else:
                    wait_s = _POLL_WAIT_S
                if not self._is_abandoned:
                    await self._poll(wait_s)
                if self._lists_confirmed_ends:
                    await trio.sleep(_UNCONFIRMED_POLL_DELAY_S)
        finally:
            self._pending_starts.listeners.remove(self.wake)
            with trio.CancelScope(shield=True):
                await self._port.aclose()

    def _is_idle(self, worker_state: tracking.Worker) -> bool:
        """Return whether the worker runs nothing and can't begin to.

        A start without an answer may begin at any time while it is pending.
        """
        return (
            not worker_state.runs
            and not worker_state.stray_runs
            and worker_state.silent_since is None
            and self._pending_starts.is_settled(self._clock.steady())
        )

    async def _poll(self, wait_s: float) -> None:
        now = self._clock.steady()
        worker_state = self._pool_state.workers.get(self.incarnation)
        if worker_state is None:
            return
        until_ms = None
        # A silent worker is polled without renewals. Each unanswered renewal
        # may have been carried out, so the end of its lease would be postponed
        # for ever.
        if (
            worker_state.reached
            and worker_state.silent_since is None
            and self._may_renew()
        ):
            until_ms = self.lease.extend(now)
        address = worker_state.address
        answer = await self._port.hold(
            self._epoch, self._confirmed_number, until_ms, wait_s
        )
        match answer:
            case worker_port.Report():
                worker_state.known_address = address
                await self._handle_report(answer, now)
            case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                raise journals.DeposedError(f"fenced by {self.incarnation}")
            case worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION, _, None
            ) if self._has_other_address(worker_state):
                why = "another worker answers at its recorded address"
                work.note_lapsed(self._pool_state, self.incarnation, why, now)
            case worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION, _, successor
            ):
                self._abandon(successor)
            case _:
                await self._handle_silence()

    def _has_other_address(self, worker_state: tracking.Worker) -> bool:
        """Tell whether a worker that hasn't answered may listen elsewhere."""
        return (
            not worker_state.reached
            and worker_state.address != worker_state.entry.address
        )

    async def _handle_report(
        self, report: worker_port.Report, sent_at: float
    ) -> None:
        now = self._clock.steady()
        self.lease.note(report.clock_ms, now)
        work.apply_report(
            self._pool_state, self.incarnation, report, sent_at, now
        )
        self._on_change()
        last_number = max((ended.number for ended in report.ended), default=0)
        self._listed_number = max(self._listed_number, last_number)
        self._lists_confirmed_ends = 0 < last_number <= self._confirmed_number
        if not report.ended:
            return
        with trio.move_on_after(_UNCONFIRMED_POLL_DELAY_S):
            await self._settle()
            self._confirmed_number = max(self._confirmed_number, last_number)

    async def _handle_silence(self) -> None:
        now = self._clock.steady()
        work.note_silent(self._pool_state, self.incarnation, now)
        worker_state = self._pool_state.workers.get(self.incarnation)
        if worker_state is None:
            return
        if self.lease.has_lapsed(now):
            if not worker_state.all_runs_ended:
                why = "the worker's lease expired"
                work.note_lapsed(self._pool_state, self.incarnation, why, now)
                self._on_change()
            # The platform may have listed the worker for longer than its lease.
            if not worker_state.listed:
                self._is_abandoned = True
        await trio.sleep(_RETRY_DELAY_S)

    async def handle_failure(self) -> bool:
        """Treat the worker as silent after an unexpected error of `run`.

        Returns:
            Whether it may be polled again.
        """
        await self._handle_silence()
        await trio.sleep(_FAILURE_DELAY_S)
        return not self._is_abandoned

    def _abandon(self, successor: str | None) -> None:
        """Abandon the incarnation because another one answers in its place."""
        self._is_abandoned = True
        stops = (
            self._pending_starts.list_stops(successor, self._clock.steady())
            if successor is not None
            else []
        )
        self._on_replaced(self.incarnation, successor, stops)
        self.wake()
        self._on_change()

    # Orders.

    async def start(self, order: worker_port.Start) -> None:
        """Deliver a start and record its outcome in the pool's state.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        give_up_at = self._clock.steady() + _START_TIMEOUT_S
        maybe_begun = False
        await self._refresh_clock_reading()
        while True:
            # Read before the check: the process may be suspended after it.
            now = self._clock.steady()
            if now > give_up_at or not self._may_send(order):
                break
            until_ms = self.lease.extend(now)
            if until_ms is None:
                break
            answer = await self._port.start(
                self._epoch, order, until_ms, _ORDER_TIMEOUT_S
            )
            now = self._clock.steady()
            match answer:
                case worker_port.Accepted(clock_ms):
                    self.lease.note(clock_ms, now)
                    self._pool_state.note_started(order.key, order.run, now)
                    self._note_if_draining(order)
                    self.wake()
                    self._on_change()
                    return
                case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                    raise journals.DeposedError(f"fenced by {self.incarnation}")
                case worker_port.Rejected(
                    worker_port.RejectionReason.OTHER_INCARNATION, _, successor
                ):
                    self._abandon(successor)
                    return
                case worker_port.Rejected(why):
                    if not maybe_begun:
                        self._note_rejected(order, str(why))
                        return
                    break
                case worker_port.NoAnswer(cause, maybe_done):
                    maybe_begun = maybe_begun or maybe_done
                    if maybe_done:
                        self._pool_state.note_maybe_started(
                            order.key, order.run
                        )
                        self._pending_starts.note(order, self.incarnation, now)
                    log(
                        "order:unanswered",
                        task=order.key,
                        run=order.run,
                        worker=self.incarnation,
                        cause=cause,
                    )
                    if not maybe_done:
                        await trio.sleep(_RETRY_DELAY_S)
        self._resolve_unconfirmed_start(order, maybe_begun=maybe_begun)

    async def _refresh_clock_reading(self) -> None:
        """Poll a worker that has been idle for long.

        A lease that is computed from an old reading of its clock may end before
        a takeover does.
        """
        async with self._clock_lock:
            if self.lease.has_old_reading(self._clock.steady()):
                await self._poll(0.0)
                self.wake()

    def give_up_start(self, order: worker_port.Start) -> None:
        """Stop a run whose start has failed with an unexpected error.

        Its task starts on another worker then.
        """
        run = self._pool_state.runs.get(order.key)
        if run is not None and run.tracked_step is not None:
            run.tracked_step.avoided_workers.add(self.incarnation)
        self._resolve_unconfirmed_start(order, maybe_begun=True)

    def _may_send(self, order: worker_port.Start) -> bool:
        """Return whether a start may be sent, or sent again.

        A worker that drains or shrinks in the meantime, or whose data centre
        is closed, must not get it: a start is repeated for up to 2 s after the
        decision, which is later than the worker may get anything new. It also
        extends the lease of all that runs there.
        """
        run = self._pool_state.runs.get(order.key)
        worker_state = self._pool_state.workers.get(self.incarnation)
        return (
            run is not None
            and run.number == order.run
            and run.phase is tracking.Phase.ORDERED
            and worker_state is not None
            and not worker_state.was_draining
            and not worker_state.closed
            and run.tracked_step is not None
            and not worker_state.is_overcommitted(run.tracked_step.step.charge)
            and self._may_renew()
            and self._may_start(self._clock.steady())
        )

    def _note_if_draining(self, order: worker_port.Start) -> None:
        """Record a start that was accepted after its worker began to drain."""
        worker_state = self._pool_state.workers.get(self.incarnation)
        if worker_state is not None and worker_state.was_draining:
            self._pool_state.note(
                "run:on-leaving",
                task=order.key,
                run=order.run,
                worker=self.incarnation,
            )

    def _note_rejected(self, order: worker_port.Start, why: str) -> None:
        now = self._clock.steady()
        self._pool_state.note_never_started(order.key, order.run, why, now)
        self._on_change()

    def _resolve_unconfirmed_start(
        self, order: worker_port.Start, *, maybe_begun: bool
    ) -> None:
        """Resolve a start that was not confirmed in time.

        The worker may still carry it out. An answered stop prevents that; until
        then the task counts as running there.
        """
        run = self._pool_state.runs.get(order.key)
        if run is None or run.number != order.run:
            return
        if not maybe_begun and run.phase is tracking.Phase.ORDERED:
            worker_state = self._pool_state.workers.get(self.incarnation)
            is_closed = worker_state is not None and worker_state.closed
            self._note_rejected(
                order,
                tracking.DATA_CENTRE_CLOSED if is_closed else "unreachable",
            )
            return
        if run.phase is tracking.Phase.ORDERED:
            now = self._clock.steady()
            self._pool_state.stop_run(run, "its start was not answered", now)
            if run.tracked_step is not None and run.tracked_step.step.gang:
                # The other members would wait for it and then end alone.
                why = "a member's start was not answered"
                self._pool_state.stop_step(run.tracked_step, why, now)
            self._on_change()

    async def stop_late_starts(self) -> None:
        """Stop starts that were sent to the worker's earlier incarnations.

        The stops leave side by side, since one without an answer takes as long
        as a late start may need to begin. First go those of tasks that don't
        count as running here, which would run twice.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        now = self._clock.steady()
        orders = self._pending_starts.list_stops(self.incarnation, now)
        if not orders:
            return
        errors: list[journals.DeposedError] = []
        async with trio.open_nursery() as nursery:
            for order in sorted(orders, key=self._is_current_run):
                nursery.start_soon(self._refuse_late_start, order, errors)
                # Lets the stops queue in this order.
                await trio.lowlevel.checkpoint()
        if errors:
            raise errors[0]

    def _has_late_starts(self) -> bool:
        """Return whether starts sent to earlier incarnations may begin here."""
        now = self._clock.steady()
        return bool(self._pending_starts.list_stops(self.incarnation, now))

    async def _refuse_late_start(
        self, order: worker_port.Stop, errors: list[journals.DeposedError]
    ) -> None:
        """Send one stop once, and collect the error that ends the owner.

        Raised here, it would cancel the other stops.
        """
        is_known = self.incarnation in self._pool_state.workers
        if self._is_abandoned or not is_known:
            return
        try:
            is_refused = await self._try_stop(order)
        except journals.DeposedError as error:
            errors.append(error)
            return
        if is_refused:
            log(
                "start:refused",
                task=order.key,
                run=order.run,
                worker=self.incarnation,
            )

    def _is_silent(self) -> bool:
        """Return whether the latest poll of the worker had no answer."""
        worker_state = self._pool_state.workers.get(self.incarnation)
        return (
            worker_state is not None and worker_state.silent_since is not None
        )

    def _is_current_run(self, order: worker_port.Stop) -> bool:
        run = self._pool_state.runs.get(order.key)
        return run is not None and run.number == order.run

    async def stop(self, order: worker_port.Stop) -> None:
        """Deliver a stop, repeated until it is answered or pointless.

        Does nothing if the same stop is being delivered already.

        The pool's state may not hold the run, for example if a late order
        started a task of a cancelled job. If the only stop of such a run were
        lost, the run would go on until its lease ends, because an idle worker
        is not polled.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        if order in self._stops_in_flight:
            return
        self._stops_in_flight.add(order)
        try:
            await self._deliver_stop(order)
        finally:
            self._stops_in_flight.discard(order)

    async def _deliver_stop(self, order: worker_port.Stop) -> None:
        is_known_run = self._is_current_run(order)
        began_at = self._clock.steady()
        tries = 0
        while not self._is_abandoned:
            tries += 1
            if await self._try_stop(order):
                if tries > 1:
                    self._log_stop("stop:answered", order, tries, began_at)
                await self._handle_stopped(order, self._clock.steady())
                return
            if self._is_abandoned:
                break
            if is_known_run and not self._is_current_run(order):
                break
            if not is_known_run and self.lease.has_lapsed(self._clock.steady()):
                break
            self.wake()
            await trio.sleep(_RETRY_DELAY_S)
        self._log_stop("stop:given-up", order, tries, began_at)

    async def _try_stop(self, order: worker_port.Stop) -> bool:
        """Send a stop once; return whether the worker has accepted it.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        answer = await self._port.stop(self._epoch, order, _ORDER_TIMEOUT_S)
        match answer:
            case worker_port.Accepted(clock_ms):
                self.lease.note(clock_ms, self._clock.steady())
                self._pending_starts.note_refused(order, self.incarnation)
                return True
            case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                raise journals.DeposedError(f"fenced by {self.incarnation}")
            case worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION, _, successor
            ):
                self._abandon(successor)
        return False

    def _log_stop(
        self, event: str, order: worker_port.Stop, tries: int, began_at: float
    ) -> None:
        log(
            event,
            task=order.key,
            run=order.run,
            worker=self.incarnation,
            tries=tries,
            took_s=round(self._clock.steady() - began_at, 3),
        )

    async def pace(self, order: worker_port.Pace) -> None:
        """Deliver a pace order once; the next decision repeats a lost one.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        answer = await self._port.pace(self._epoch, order, _ORDER_TIMEOUT_S)
        now = self._clock.steady()
        match answer:
            case worker_port.Accepted():
                self._pool_state.note_paced(
                    order.key, order.run, order.percent, now
                )
                log("run:paced", task=order.key, percent=order.percent)
            case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                raise journals.DeposedError(f"fenced by {self.incarnation}")
            case _:
                log("run:not-paced", task=order.key, answer=str(answer))

    async def _handle_stopped(
        self, order: worker_port.Stop, now: float
    ) -> None:
        run = self._pool_state.runs.get(order.key)
        is_current = run is not None and run.number == order.run
        if run is not None and is_current and run.confirmed_at is None:
            self._pool_state.note_stop_accepted(order.key, order.run, now)
            await self._poll(0.0)
        self.wake()

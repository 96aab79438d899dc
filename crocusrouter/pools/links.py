"""The owner's link to one worker: leases, reports and orders."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import journal as journals
from crocusrouter.pools import leases
from crocusrouter.pools import unanswered as unanswered_starts
from crocusrouter.telemetry import log
from crocusrouter.work import tracking
from crocusrouter.work import worker_port

# A look waits this long for an end. Longer looks are fewer, shorter ones
# show sooner that a worker is silent or a task stands still.
_LOOK_S = 1.0
_RETRY_S = 0.25
# Without a confirmation the same ends are listed at once; this paces looks
# while the journal can't be written.
_UNCONFIRMED_PAUSE_S = 0.5
# Orders are answered in milliseconds. One unanswered for this long is sent
# again under the same number, which cannot run it twice.
_ORDER_TIMEOUT_S = 0.35
# Members of a gang wait 3 s for each other; past this an order is given up.
_START_PATIENCE_S = 2.0


# Told when another incarnation answers: who was meant, who answers (None if
# that isn't known), and the stops that the latter has to answer.
Replaced = Callable[[str, str | None, list[worker_port.Stop]], None]


class WorkerLink:
    """Keeps one incarnation's lease and carries orders to it."""

    def __init__(
        self,
        worker: str,
        port: worker_port.WorkerPort,
        epoch: int,
        book: work.PoolState,
        times: clock.Clock,
        settle: Callable[[], Awaitable[None]],
        may_renew: Callable[[], bool],
        may_start: Callable[[float], bool],
        changed: Callable[[], None],
        replaced: Replaced,
        unanswered: unanswered_starts.UnansweredStarts,
    ) -> None:
        """Open a link.

        Args:
            worker: The incarnation.
            port: How to reach it.
            epoch: The owner's epoch.
            book: Told of everything that the worker says.
            times: The present time.
            settle: Waits until what the book has noted is durable.
            may_renew: Whether leases may be renewed now.
            may_start: Whether it is known well enough, at a steady time, which
                jobs were cancelled and which workers leave.
            changed: Called when the book has changed.
            replaced: Called when another incarnation answers.
            unanswered: Shared with the links to the worker's other
                incarnations.
        """
        self.worker = worker
        self.lease = leases.LeaseClock(times.steady())
        self._port = port
        self._epoch = epoch
        self._book = book
        self._times = times
        self._settle = settle
        self._may_renew = may_renew
        self._may_start = may_start
        self._changed = changed
        self._replaced = replaced
        self._unanswered = unanswered
        self._seen = 0
        self._wake = trio.Event()
        self._gone = False

    def wake(self) -> None:
        """Say that the worker has something to hold."""
        self._wake.set()

    async def run(self) -> None:
        """Look after the worker until another incarnation answers there.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        try:
            await self._look(0.0)
            await self._stop_late_starts()
            while not self._gone:
                held = self._book.workers.get(self.worker)
                if held is None:
                    return
                idle = not held.runs and not held.stray_runs
                if idle and held.silent_since is None:
                    if not held.listed:
                        return
                    await self._wake.wait()
                self._wake = trio.Event()
                if not self._gone:
                    await self._look(_LOOK_S)
        finally:
            with trio.CancelScope(shield=True):
                await self._port.aclose()

    async def _look(self, wait_s: float) -> None:
        now = self._times.steady()
        held = self._book.workers[self.worker]
        until_ms = None
        # A worker that has not answered gets looks that renew nothing:
        # each unanswered renewal may have been carried out, so the end of
        # its lease would move on for ever.
        if held.reached and held.silent_since is None and self._may_renew():
            until_ms = self.lease.extend(now)
        result = await self._port.hold(
            self._epoch, self._seen, until_ms, wait_s
        )
        match result:
            case worker_port.Report():
                await self._take_report(result, now)
            case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                raise journals.DeposedError(f"fenced by {self.worker}")
            case worker_port.Rejected(
                worker_port.RejectionReason.OTHER_INCARNATION, _, other
            ):
                self._leave(other)
            case _:
                await self._take_silence()

    async def _take_report(
        self, report: worker_port.Report, sent_at: float
    ) -> None:
        now = self._times.steady()
        self.lease.note(report.clock_ms, now)
        work.apply_report(self._book, self.worker, report, sent_at, now)
        self._changed()
        if not report.ended:
            return
        last = max(ended.number for ended in report.ended)
        with trio.move_on_after(_UNCONFIRMED_PAUSE_S):
            await self._settle()
            self._seen = max(self._seen, last)

    async def _take_silence(self) -> None:
        now = self._times.steady()
        work.note_silent(self._book, self.worker, now)
        held = self._book.workers[self.worker]
        if not held.all_runs_ended and self.lease.has_lapsed(now):
            why = "its lease has ended"
            work.note_lapsed(self._book, self.worker, why, now)
            self._changed()
            if not held.listed:
                self._gone = True
        await trio.sleep(_RETRY_S)

    def _leave(self, other: str | None) -> None:
        """Give the incarnation up: another one answers in its place."""
        self._gone = True
        stops = (
            self._unanswered.list_stops(other, self._times.steady())
            if other is not None
            else []
        )
        self._replaced(self.worker, other, stops)
        self.wake()
        self._changed()

    # Orders.

    async def start(self, order: worker_port.Start) -> None:
        """Deliver a start; afterwards the book knows how it went.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        give_up_at = self._times.steady() + _START_PATIENCE_S
        maybe_begun = False
        while self._is_wanted(order):
            now = self._times.steady()
            until_ms = self.lease.extend(now)
            if until_ms is None or now > give_up_at:
                break
            result = await self._port.start(
                self._epoch, order, until_ms, _ORDER_TIMEOUT_S
            )
            now = self._times.steady()
            match result:
                case worker_port.Accepted(clock_ms):
                    self.lease.note(clock_ms, now)
                    self._book.note_started(order.key, order.run, now)
                    self._note_if_leaving(order)
                    self.wake()
                    self._changed()
                    return
                case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                    raise journals.DeposedError(f"fenced by {self.worker}")
                case worker_port.Rejected(
                    worker_port.RejectionReason.OTHER_INCARNATION, _, other
                ):
                    self._leave(other)
                    return
                case worker_port.Rejected(why):
                    if not maybe_begun:
                        self._reject(order, str(why))
                        return
                    break
                case worker_port.NoAnswer(cause, maybe_done):
                    maybe_begun = maybe_begun or maybe_done
                    if maybe_done:
                        self._book.note_maybe_started(order.key, order.run)
                        self._unanswered.note(order, self.worker, now)
                    log(
                        "order:unanswered",
                        task=order.key,
                        run=order.run,
                        worker=self.worker,
                        cause=cause,
                    )
                    if not maybe_done:
                        await trio.sleep(_RETRY_S)
        await self._give_up(order, maybe_begun)

    def _is_wanted(self, order: worker_port.Start) -> bool:
        """Tell whether an order may be sent, or sent again.

        Not to a worker that drains or shrinks meanwhile: a start that was
        repeated until 2 s after the decision came later than it may get
        anything new.
        """
        run = self._book.runs.get(order.key)
        held = self._book.workers.get(self.worker)
        return (
            run is not None
            and run.number == order.run
            and run.phase is tracking.Phase.ORDERED
            and held is not None
            and not held.was_draining
            and run.tracked_step is not None
            and not held.is_overcommitted(run.tracked_step.step.charge)
            and self._may_start(self._times.steady())
        )

    def _note_if_leaving(self, order: worker_port.Start) -> None:
        """Tell of a start that crossed the word that its worker leaves."""
        held = self._book.workers.get(self.worker)
        if held is not None and held.was_draining:
            self._book.note(
                "run:on-leaving",
                task=order.key,
                run=order.run,
                worker=self.worker,
            )

    def _reject(self, order: worker_port.Start, why: str) -> None:
        now = self._times.steady()
        self._book.note_never_started(order.key, order.run, why, now)
        self._changed()

    async def _give_up(
        self, order: worker_port.Start, maybe_begun: bool
    ) -> None:
        """Settle a start that nobody has confirmed.

        It may still be carried out. A stop that is answered keeps it from
        starting afterwards; until then the task counts as running there.
        """
        run = self._book.runs.get(order.key)
        if run is None or run.number != order.run:
            return
        if not maybe_begun and run.phase is tracking.Phase.ORDERED:
            self._reject(order, "unreachable")
            return
        if run.phase is tracking.Phase.ORDERED:
            now = self._times.steady()
            self._book.stop_run(run, "its start was not answered", now)
            if run.tracked_step is not None and run.tracked_step.step.gang:
                # The others would wait for it until they end alone.
                why = "a member's start was not answered"
                self._book.stop_step(run.tracked_step, why, now)
            self._changed()

    async def _stop_late_starts(self) -> None:
        """Keep the worker from what was ordered to incarnations before it."""
        held = self._book.workers.get(self.worker)
        if self._gone or held is None or not held.reached:
            return
        now = self._times.steady()
        for order in self._unanswered.list_stops(self.worker, now):
            await self.stop(order)

    def _is_current(self, order: worker_port.Stop) -> bool:
        run = self._book.runs.get(order.key)
        return run is not None and run.number == order.run

    async def stop(self, order: worker_port.Stop) -> None:
        """Deliver a stop; repeated until it is answered or has no object.

        A run that the book doesn't know, such as one of a cancelled job that
        an order carried out late has begun, would go on until its lease ends
        if its only stop were lost: nothing else looks at an idle worker.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        known = self._is_current(order)
        while not self._gone:
            result = await self._port.stop(self._epoch, order, _ORDER_TIMEOUT_S)
            match result:
                case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                    raise journals.DeposedError(f"fenced by {self.worker}")
                case worker_port.Accepted(clock_ms):
                    now = self._times.steady()
                    self.lease.note(clock_ms, now)
                    await self._settle_stop(order, now)
                    return
                case worker_port.Rejected(
                    worker_port.RejectionReason.OTHER_INCARNATION, _, other
                ):
                    self._leave(other)
                    return
            if known and not self._is_current(order):
                return
            if not known and self.lease.has_lapsed(self._times.steady()):
                return
            self.wake()
            await trio.sleep(_RETRY_S)

    async def pace(self, order: worker_port.Pace) -> None:
        """Deliver a pace once; the next decision repeats what was lost.

        Raises:
            DeposedError: The worker knows a later owner.
        """
        result = await self._port.pace(self._epoch, order, _ORDER_TIMEOUT_S)
        now = self._times.steady()
        match result:
            case worker_port.Accepted():
                self._book.note_paced(order.key, order.run, order.percent, now)
                log("run:paced", task=order.key, percent=order.percent)
            case worker_port.Rejected(worker_port.RejectionReason.FENCED):
                raise journals.DeposedError(f"fenced by {self.worker}")
            case _:
                log("run:not-paced", task=order.key, answer=str(result))

    async def _settle_stop(self, order: worker_port.Stop, now: float) -> None:
        run = self._book.runs.get(order.key)
        ours = run is not None and run.number == order.run
        if run is not None and ours and run.confirmed_at is None:
            self._book.note_stop_accepted(order.key, order.run, now)
            await self._look(0.0)
        self.wake()

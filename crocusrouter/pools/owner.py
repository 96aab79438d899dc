"""The owner of one pool: joins book, journal, watches and worker links."""

import collections
from collections.abc import Callable
import dataclasses
import functools

import trio

from crocusrouter import queues
from crocusrouter import work
from crocusrouter.pools import advisor
from crocusrouter.pools import backlog
from crocusrouter.pools import clock
from crocusrouter.pools import connections
from crocusrouter.pools import expiry
from crocusrouter.pools import journal as journals
from crocusrouter.pools import links
from crocusrouter.pools import listing
from crocusrouter.pools import parking
from crocusrouter.pools import reservations
from crocusrouter.pools import roster
from crocusrouter.pools import tenure as tenures
from crocusrouter.pools import unanswered
from crocusrouter.pools import upkeep
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import orders

# Events that arrive within this time share one decision.
_GATHER_S = 0.002
# Decisions are also made this often: pauses and suspicions run out.
_TICK_S = 0.25
_RETRY_S = 0.2
# A start that waits for the record of parked jobs is planned anew after this:
# the store is away, and what its room was kept for may be more urgent then.
_UNPARK_PATIENCE_S = 1.0
# Numbers of starts rise from the epoch on, so a successor's outrank all of
# its predecessor's without a written counter.
_RUN_BITS = 20

# What the book notes and operators also count.
_COUNTED = {
    "run:on-leaving": "start-on-leaving-worker",
    "run:lost": "run-lost-with-its-worker",
    "run:missing": "run-missing-on-its-worker",
    "worker:restarted": "worker-restarted",
}

OpenConnection = Callable[[str, str], orders.Connection]


@dataclasses.dataclass(frozen=True)
class Platform:
    """How the owner meets the workers of the platform.

    Attributes:
        workers_prefix: Where they are listed in the key-value service.
        parse_worker: Decodes an entry of that list.
        open_connection: Opens a connection to an incarnation of a worker, at
            an address.
        keep_jobs_s: Seconds for which a job that is over can be asked for.
        make_policy: Opens the policy service of advised queues; None if
            there is none.
        upkeeping: How waves of upkeep are met; None if there are none.
    """

    workers_prefix: str
    parse_worker: listing.ParseWorker
    open_connection: OpenConnection
    keep_jobs_s: float = 600.0
    make_policy: Callable[[], orders.PolicyPort] | None = None
    upkeeping: upkeep.Upkeeping | None = None


class PoolOwner:
    """Decides on the jobs of one pool under one epoch."""

    def __init__(
        self,
        held: tenures.Tenure,
        store: key_value.KeyValueStore,
        platform: Platform,
        times: clock.Clock,
        metrics: Metrics,
        may_renew: Callable[[], bool],
    ) -> None:
        """Prepare an owner; `run` does the rest.

        Args:
            held: The tenure under which it decides.
            store: The key-value service.
            platform: How workers are met.
            times: The present time.
            metrics: Counts what happens.
            may_renew: Whether leases may be renewed although the tenure is
                not known to be valid.
        """
        self.pool = held.pool
        self.epoch = held.epoch
        self.book = work.Book(held.epoch)
        self.is_loaded = False
        self.is_recovered = False
        self._tenure = held
        self._store = store
        self._platform = platform
        self._times = times
        self._metrics = metrics
        self._may_renew = may_renew
        self._backlog = backlog.Backlog(
            store, held.pool, self.book, times, metrics, self.wake
        )
        self._journal = journals.Journal(
            store, held, self.book, self._backlog.revisions
        )
        self._links: dict[str, links.WorkerLink] = {}
        # By worker; outlives the links to its incarnations.
        self._unanswered: dict[str, unanswered.UnansweredStarts] = (
            collections.defaultdict(unanswered.UnansweredStarts)
        )
        self._reservations = reservations.Reservations()
        self._runs = held.epoch << _RUN_BITS
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._roster = roster.Roster(store, held, self.book)
        make_policy = platform.make_policy
        self._parking = parking.Parking(
            store, held, self.book, self._journal.is_durable, times.steady
        )
        self._advisor = advisor.Advisor(
            make_policy() if make_policy is not None else None,
            self.book,
            times,
            self.wake,
        )
        self._draining = False
        self._list = listing.WorkerList(
            listing.Source(platform.workers_prefix, platform.parse_worker),
            store,
            held.pool,
            self.book,
            times,
            metrics,
            listing.Listeners(self._open_link, self._note_unlisted, self.wake),
        )

    def set_config(self, config: queues.Config) -> None:
        """Take the customers' guarantees of a configuration."""
        self.book.guaranteed = {
            customer.name: customer.guaranteed
            for customer in config.customers.values()
        }
        self.wake()

    def wake(self) -> None:
        """Say that there may be something to decide."""
        self._wake.set()
        self._journal.wake()

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
            nursery.start_soon(self._list.run)
            nursery.start_soon(self._roster.run)
            nursery.start_soon(self._parking.run)
            nursery.start_soon(self._advisor.run)
            nursery.start_soon(
                expiry.expire_jobs,
                self._store,
                self._tenure,
                self.book,
                self._times.steady,
                self._platform.keep_jobs_s,
            )
            for known in self._roster.list_unlisted(self._times.steady()):
                self._open_link(known.entry.id, known.entry.address)
            for listed in list(self.book.workers.values()):
                self._open_link(listed.entry.id, listed.entry.address)
            self.is_loaded = True
            await self._decide_forever()

    async def drain(self, patience_s: float) -> None:
        """Start nothing more and let what is under way settle."""
        self._draining = True
        with trio.move_on_after(patience_s):
            await self._journal.settle()

    # Loading.

    async def _load(self) -> None:
        """Read what earlier owners and the entries have stored."""
        while True:
            try:
                await self._roster.load()
                parked = await self._parking.load()
                await self._backlog.load()
                await self._list.load()
                break
            except client.StoreUnavailableError as error:
                log("owner:load-failed", pool=self.pool, cause=str(error))
                await trio.sleep(_RETRY_S)
        for job_id in parked & self.book.jobs.keys():
            self.book.jobs[job_id].parked = True
        log(
            "owner:loaded",
            pool=self.pool,
            epoch=self.epoch,
            jobs=len(self.book.jobs),
            parked=len(parked),
            workers=len(self.book.workers),
        )

    # Workers.

    def _note_unlisted(self, worker: str) -> None:
        link = self._links.get(worker)
        if link is not None:
            link.wake()
        self._forget_if_over(worker)

    def _open_link(self, worker: str, address: str) -> None:
        if self._nursery is None:
            # Not running yet; all that was loaded is opened then.
            return
        held = self.book.workers[worker]
        if worker in self._links or held.gone:
            return
        open_connection = functools.partial(
            self._platform.open_connection, worker, address
        )
        link = links.WorkerLink(
            worker,
            connections.Connections(worker, open_connection),
            self.epoch,
            self.book,
            self._times,
            self._journal.settle,
            self._may_hold,
            self._may_start,
            self.wake,
            self._take_replaced,
            self._unanswered[held.entry.worker],
        )
        self._links[worker] = link
        self._nursery.start_soon(self._run_link, worker, link)

    def _take_replaced(
        self, worker: str, other: str | None, stops: list[orders.Stop]
    ) -> None:
        """Note that another incarnation answers in place of one.

        It may not be listed yet; it is asked at once what it runs. Orders that
        were under way tell the same once more.
        """
        if worker not in self.book.workers or self.book.workers[worker].gone:
            return
        now = self._times.steady()
        if other is not None:
            work.add_successor(self.book, worker, other, now)
        work.note_replaced(self.book, worker, now, other, stops)
        if other is not None:
            self._open_link(other, self.book.workers[other].entry.address)

    async def _run_link(self, worker: str, link: links.WorkerLink) -> None:
        await link.run()
        del self._links[worker]
        held = self.book.workers.get(worker)
        if held is None:
            return
        if held.listed and not held.gone:
            # Listed again while its link was being closed.
            self._open_link(worker, held.entry.address)
        else:
            self._forget_if_over(worker)

    def _forget_if_over(self, worker: str) -> None:
        held = self.book.workers.get(worker)
        if held is None or held.listed or held.runs or worker in self._links:
            return
        self.book.forget_worker(worker)
        if self._unanswered[held.entry.worker].is_settled(self._times.steady()):
            del self._unanswered[held.entry.worker]
        log("worker:forgotten", worker=worker)

    def _may_hold(self) -> bool:
        return self._tenure.is_valid() or self._may_renew()

    def _may_start(self, now: float) -> bool:
        """Tell whether it is known well enough what may start, and where."""
        workers_known = self._list.freshness.is_fresh(now)
        jobs_known = self._backlog.freshness.is_fresh(now)
        return workers_known and jobs_known

    # Decisions.

    async def _decide_forever(self) -> None:
        """Decide whenever something has changed.

        A long decision is followed by a pause of its own length: under load
        events never cease, and decisions one after another would leave the
        loop no time for orders and renewals.
        """
        took_s = 0.0
        while True:
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
                await trio.sleep(max(_GATHER_S, took_s))
            self._wake = trio.Event()
            began = self._times.steady()
            self._decide(began, self._times.wall())
            self._journal.wake()
            took_s = self._times.steady() - began

    def _decide(self, now: float, wall: float) -> None:
        self.book.open_due(wall, now)
        self._check_recovered(now)
        if self._tenure.is_valid() and not self._draining:
            if self._may_start(now):
                self._place(now, wall)
            self._send_paces(now)
        self._advisor.wake()
        self._send_stops()
        self._write_log()

    def _place(self, now: float, wall: float) -> None:
        """Start what has room, and stop what is in the way of guarantees."""
        self._start_reserved(now)
        plan = work.plan(
            self.book, now, wall, reserved=self._reservations.list_spots()
        )
        for placement in plan.placements:
            self._start(placement, now)
        for run, why in plan.stops:
            self.book.stop_run(run, why, now)
        if plan.contended:
            self.book.note_contention(now)
        for placement in plan.reservations:
            self._reservations.add(placement, now)

    def _check_recovered(self, now: float) -> None:
        """Note when every worker has told what an earlier owner started."""
        if self.is_recovered:
            return
        if any(held.is_untold for held in self.book.workers.values()):
            return
        self.is_recovered = True
        self.book.check_gangs(now)
        log(
            "owner:recovered",
            pool=self.pool,
            epoch=self.epoch,
            runs=len(self.book.runs),
        )

    def _start_reserved(self, now: float) -> None:
        for placement in self._reservations.take_ready(self.book, now):
            self._start(placement, now)

    def _start(self, placement: work.Placement, now: float) -> None:
        assert self._nursery is not None
        held = self.book.jobs[placement.step.job]
        found = self.book.find_work(work.TaskKey(*placement.step, 0))
        assert found is not None
        shared = self._take_number()
        started: list[tuple[links.WorkerLink, orders.Start]] = []
        for index, worker in placement.spots.items():
            number = shared if found.step.gang else self._take_number()
            key = work.TaskKey(*placement.step, index)
            run = self.book.add_run(
                key, number, worker, now, alone=placement.alone
            )
            ticket = found.permits.find_ticket(worker, now)
            order = orders.Start(
                key, number, held.job.payload, run.saved, ticket
            )
            started.append((self._links[worker], order))
        if self._parking.is_parked(placement.step.job):
            self._nursery.start_soon(self._start_parked, started)
        else:
            self._send_starts(started)
        log(
            "step:start",
            step=placement.step,
            run=shared,
            spots=list(placement.spots.items()),
            cores=found.step.charge.cores,
            checkpoints=found.step.checkpoints,
            gang=found.step.gang,
            waited=round(now - (found.waiting_since or now), 3),
            list_age_s=round(self._list.freshness.measure_age(now), 3),
        )

    def _send_starts(
        self, started: list[tuple[links.WorkerLink, orders.Start]]
    ) -> None:
        assert self._nursery is not None
        for link, order in started:
            self._nursery.start_soon(link.start, order)

    async def _start_parked(
        self, started: list[tuple[links.WorkerLink, orders.Start]]
    ) -> None:
        """Send starts once a successor would know that the job may run."""
        job_id = started[0][1].key.job
        with trio.move_on_after(_UNPARK_PATIENCE_S):
            await self._parking.leave(job_id)
            self._send_starts(started)
            return
        log("start:withdrawn", job=job_id, tasks=len(started))
        for _, order in started:
            self.book.withdraw_run(order.key, order.run)
        self.wake()

    def _take_number(self) -> int:
        self._runs += 1
        return self._runs

    def _send_stops(self) -> None:
        assert self._nursery is not None
        stops, self.book.outbox = self.book.outbox, []
        for worker, order in stops:
            link = self._links.get(worker)
            if link is not None:
                self._nursery.start_soon(link.stop, order)

    def _send_paces(self, now: float) -> None:
        assert self._nursery is not None
        for run, percent in work.choose_paces(self.book, now):
            link = self._links.get(run.worker)
            if link is not None:
                # Sent again only when this one can have been answered.
                run.paced_at = now
                order = orders.Pace(run.key, run.number, percent)
                self._nursery.start_soon(link.pace, order)

    def _write_log(self) -> None:
        while self.book.events:
            what, facts = self.book.events.popleft()
            log(what, pool=self.pool, **facts)
            if what in _COUNTED:
                self._metrics.count_event(_COUNTED[what])

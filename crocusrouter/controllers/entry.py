"""One entry: joins the filter chain and the controllers."""

from collections.abc import Callable
import dataclasses
import random
import time
import traceback
import uuid

import trio

from crocusrouter import codec
from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import mesh
from crocusrouter import requests
from crocusrouter import store
from crocusrouter.controllers import configuration as configurations
from crocusrouter.controllers import desk
from crocusrouter.controllers import machines
from crocusrouter.controllers import owner as owners
from crocusrouter.controllers import ownership
from crocusrouter.controllers import peers
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Answer
from crocusrouter.requests import runner_pool
from crocusrouter.settings import Settings
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.templates import dump_catalog

_OWNERSHIP_TICK_S = 0.05
_CLAIM_LEASE_S = 86400
_CLAIM_LEASE_RENEWAL_S = 3600.0
_PEER_ANSWER_TIMEOUT_S = 1.0
_SILENCE_PER_TTL = 3.0


class Entry:
    """Everything that one `serve` process runs, except its listeners."""

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        *,
        seed: int | None = None,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.is_stopping = False
        self.random = random.Random(seed)
        self.store = store.StoreClient(
            settings.store_url,
            metrics,
            calls_per_s=settings.store_calls_per_s,
            burst=2 * settings.store_calls_per_s,
            seed=seed,
        )
        self.configuration = configurations.Configuration(
            settings.store_prefix, metrics
        )
        self.machines = machines.MachineList(
            settings.vms_url, settings.vms_poll_s, metrics, self.random
        )
        self.owned: dict[str, owners.Owner] = {}
        self.peers = peers.PeerController(
            settings.name,
            settings.mesh_secret,
            settings.heartbeat_s,
            self.configuration,
            self.describe,
            self._take_heartbeat,
        )
        self.runners = runner_pool.RunnerPool(self.random)
        self.claims = requests.ClaimRegistry(
            settings.name,
            self.store,
            f"{settings.store_prefix}claims/",
            self._ask_answer,
            self._find_claim_lease,
        )
        self.desk = desk.JobDesk(
            self.configuration,
            self.owned,
            self.peers.find_link,
            lambda: self.machines.fleet,
        )
        self._records = ownership.OwnerRecords(
            settings.name,
            self.store,
            self.configuration,
            settings.owner_ttl_s,
            trio.current_time,
        )
        self._chain = requests.build_chain(
            [requests.ClaimFilter(self.claims), requests.LimitFilter()],
            requests.Retrier(
                requests.Dispatcher(self.runners), metrics, self.random
            ).run,
        )
        self._read_wall_clock = read_wall_clock
        self._taking: set[str] = set()
        self._claim_lease: tuple[int, float] | None = None
        self._owner_scopes: dict[str, trio.CancelScope] = {}
        self._watch_gauges()
        self.configuration.listeners.append(self._spread_catalog)
        self.machines.listeners.append(self._spread_fleet)

    def _watch_gauges(self) -> None:
        gauges: dict[str, Callable[[], float]] = {
            "crocusrouter_catalog_revision": lambda: (
                self.configuration.catalog.revision
            ),
            "crocusrouter_owned_data_centres": lambda: len(self.owned),
            "crocusrouter_ready": lambda: float(self.is_ready),
        }
        for name, read in gauges.items():
            self.metrics.watch_gauge(name, read)

    async def run(self) -> None:
        """Run all controllers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.machines.run)
            nursery.start_soon(
                configurations.watch_configuration,
                self.configuration,
                self.store,
                _SILENCE_PER_TTL * self.settings.owner_ttl_s,
                self.random,
            )
            nursery.start_soon(self._run_ownership)

    @property
    def is_ready(self) -> bool:
        """Whether this entry may take work."""
        return (
            self.configuration.is_vouched
            and self.machines.fleet.read_at is not None
            and not self.is_stopping
        )

    def describe(self) -> messages.Heartbeat:
        """Return our heartbeat."""
        return messages.Heartbeat(
            self.settings.name,
            self.configuration.catalog.revision,
            self.is_ready,
            tuple((name, held.epoch) for name, held in self.owned.items()),
        )

    async def answer(self, call: requests.ValidatedRequest) -> Answer:
        """Pass a small request through the filter chain."""
        return await self._chain(call)

    def identify(
        self, incoming: requests.IncomingRequest
    ) -> requests.ValidatedRequest:
        """Check a small request; raises RefusedError."""
        return requests.validate_request(
            incoming,
            self.configuration.catalog,
            uuid.uuid4().hex,
            trio.current_time(),
        )

    async def answer_peer(self, message: object) -> object:
        """Answer another entry."""
        match message:
            case messages.Heartbeat():
                self.peers.note(message, trio.current_time())
                return self.describe()
            case messages.AskCatalog():
                return messages.CatalogReply(
                    dump_catalog(self.configuration.catalog)
                )
            case messages.AskAnswer(claim):
                return self.claims.get_outcome(claim)
            case messages.SubmitJob(data):
                job = codec.unpack(jobs.Job, data)
                return await self.desk.answer_peer(job.data_centre, message)
            case messages.CancelJob(_, job_id) | messages.FindJob(_, job_id):
                data_centre = jobs.parse_data_centre(job_id)
                return await self.desk.answer_peer(data_centre, message)
            case messages.ListJobs(_, data_centre):
                return await self.desk.answer_peer(data_centre, message)
            case _:
                raise TypeError(f"no answer to {type(message).__name__}")

    def _take_heartbeat(self, heard: messages.Heartbeat) -> None:
        """Stop deciding where a peer decides under a higher epoch.

        An owner that is cut off from the key-value service can't see that it
        has been replaced, and would go on renewing leases of tasks that its
        successor counts as lost.
        """
        for data_centre, epoch in heard.owned:
            held = self.owned.get(data_centre)
            if held is not None and held.epoch < epoch:
                self.metrics.count_event("owner-fenced")
                log("owner:fenced", data_centre=data_centre, by=heard.name)
                self._owner_scopes[data_centre].cancel()

    async def release_all(self) -> None:
        """Give up every data centre; part of a planned stop."""
        self.is_stopping = True
        async with trio.open_nursery() as nursery:
            for held in list(self.owned.values()):
                nursery.start_soon(held.drain)
        for scope in list(self._owner_scopes.values()):
            scope.cancel()
        while self._owner_scopes:
            await trio.sleep(_OWNERSHIP_TICK_S / 10)

    def _spread_catalog(self) -> None:
        for held in self.owned.values():
            held.set_catalog(self.configuration.catalog)

    def _spread_fleet(self, known: fleet.Fleet) -> None:
        self.peers.set_fleet(known)
        self.runners.set_runners(fleet.select_vms(known, fleet.Role.RUNNER))
        for held in self.owned.values():
            held.set_fleet(known)

    # Claims.

    async def _ask_answer(
        self, entry: str, claim: str
    ) -> messages.AnswerReply | None:
        link = self.peers.find_link(entry)
        if link is None:
            return None
        try:
            reply = await link.call(
                messages.AskAnswer(claim), _PEER_ANSWER_TIMEOUT_S
            )
        except mesh.PeerUnreachableError:
            return None
        return reply if isinstance(reply, messages.AnswerReply) else None

    async def _find_claim_lease(self) -> int:
        """Return a lease for claims; a fresh one every hour."""
        now = trio.current_time()
        if self._claim_lease is None or self._claim_lease[1] < now:
            lease = await self.store.grant_lease(_CLAIM_LEASE_S)
            self._claim_lease = (lease, now + _CLAIM_LEASE_RENEWAL_S)
        return self._claim_lease[0]

    # Ownership.

    async def _run_ownership(self) -> None:
        """Take over data centres whose owner is gone."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_OWNERSHIP_TICK_S)
                if not self.is_ready:
                    continue
                known = fleet.list_data_centres(self.machines.fleet)
                for data_centre in known:
                    if self._may_take(data_centre, started_at):
                        self._taking.add(data_centre)
                        nursery.start_soon(self._own, data_centre)

    def _may_take(self, data_centre: str, started_at: float) -> bool:
        if data_centre in self._taking:
            return False
        candidates = tuple(
            ownership.Candidate(vm.name, vm.data_centre)
            for vm in fleet.select_vms(self.machines.fleet, fleet.Role.ENTRY)
        )
        ranked = ownership.rank_candidates(candidates, data_centre)
        name = self.settings.name
        rank = ranked.index(name) if name in ranked else len(ranked)
        at = ownership.find_takeover_time(
            self.configuration.owners.get(data_centre),
            rank,
            self.settings.owner_ttl_s,
            started_at,
        )
        return trio.current_time() >= at

    async def _own(self, data_centre: str) -> None:
        """Own a data centre until it is lost, fenced or released."""
        try:
            held = await self._records.take(data_centre)
            if held is not None:
                await self._serve_owner(held)
        except* Exception as errors:
            # A fault in one data centre's decisions must not end the entry,
            # which also routes requests and owns others. Another entry takes
            # over after the TTL.
            self.metrics.count_event("owner-failed")
            log(
                "owner:failed",
                data_centre=data_centre,
                error="".join(traceback.format_exception(errors)),
            )
            await trio.sleep(self.settings.owner_ttl_s)
        finally:
            self._taking.discard(data_centre)

    async def _serve_owner(self, held: ownership.Held) -> None:
        opened = owners.Owner(
            self.settings.name,
            held.data_centre,
            held.epoch,
            self.store,
            self.settings.store_prefix,
            self.metrics,
            self.settings.task_lease_s,
            self.settings.keep_jobs_s,
            self._read_wall_clock,
        )
        opened.set_catalog(self.configuration.catalog)
        opened.set_fleet(self.machines.fleet)
        self.owned[held.data_centre] = opened
        self.metrics.count_event("owner-took-over")
        scope = trio.CancelScope()
        self._owner_scopes[held.data_centre] = scope
        latest = _Latest(held)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._renew, latest, scope)
                    await opened.run()
                    scope.cancel()
        finally:
            del self.owned[held.data_centre]
            with trio.move_on_after(1.0, shield=True):
                if self.is_stopping and latest.held is not None:
                    await self._records.release(latest.held)
            del self._owner_scopes[held.data_centre]

    async def _renew(self, latest: "_Latest", scope: trio.CancelScope) -> None:
        interval_s = self.settings.owner_ttl_s / ownership.RENEWALS_PER_TTL
        while latest.held is not None:
            await trio.sleep(interval_s)
            latest.held = await self._records.renew(latest.held)
        log("owner:lost")
        scope.cancel()


@dataclasses.dataclass
class _Latest:
    """The latest form of an ownership record that is being renewed."""

    held: ownership.Held | None

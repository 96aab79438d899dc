"""One entry: connects the request filter chain with the controllers."""

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
from crocusrouter.controllers import job_router
from crocusrouter.controllers import owner as owners
from crocusrouter.controllers import ownership
from crocusrouter.controllers import peers
from crocusrouter.controllers import vm_list
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Answer
from crocusrouter.requests import runner_pool
from crocusrouter.settings import ServeSettings
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.templates import dump_catalog

_OWNERSHIP_CHECK_INTERVAL_S = 0.05
_CLAIM_LEASE_TTL_S = 86400
_CLAIM_LEASE_REUSE_S = 3600.0
_PEER_ANSWER_TIMEOUT_S = 1.0
_WATCH_SILENCE_LIMIT_TTLS = 3.0


class Entry:
    """Everything that one `serve` process runs, except its listeners.

    Attributes:
        is_stopping: Whether a planned stop has begun.
        local_owners: The owners that run in this process, by data centre.
    """

    def __init__(
        self,
        settings: ServeSettings,
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
        self.vm_list = vm_list.VmListReader(
            settings.vms_url, settings.vms_poll_s, metrics, self.random
        )
        self.local_owners: dict[str, owners.DataCentreOwner] = {}
        self.peer_controller = peers.PeerController(
            settings.name,
            settings.mesh_secret,
            settings.heartbeat_s,
            self.configuration,
            self.build_heartbeat,
            self._stop_replaced_owners,
        )
        self.runners = runner_pool.RunnerPool(self.random)
        self.claims = requests.ClaimRegistry(
            settings.name,
            self.store,
            f"{settings.store_prefix}claims/",
            self._fetch_peer_answer,
            self._get_claim_lease,
        )
        self.job_router = job_router.JobRouter(
            self.configuration,
            self.local_owners,
            self.peer_controller.find_link,
            lambda: self.vm_list.fleet,
        )
        self._ownership_records = ownership.OwnershipRecords(
            settings.name,
            self.store,
            self.configuration,
            settings.owner_ttl_s,
            trio.current_time,
        )
        self._filter_chain = requests.build_chain(
            [requests.ClaimFilter(self.claims), requests.LimitFilter()],
            requests.Retrier(
                requests.Dispatcher(self.runners), metrics, self.random
            ).run,
        )
        self._read_wall_clock = read_wall_clock
        # Data centres that a task of this entry is acquiring or serving.
        self._data_centres_with_task: set[str] = set()
        # The lease's id and the time from which a new lease is opened.
        self._claim_lease: tuple[int, float] | None = None
        self._owner_cancel_scopes: dict[str, trio.CancelScope] = {}
        self._register_gauges()
        self.configuration.listeners.append(self._distribute_catalog)
        self.vm_list.listeners.append(self._distribute_fleet)

    def _register_gauges(self) -> None:
        gauges: dict[str, Callable[[], float]] = {
            "crocusrouter_catalog_revision": lambda: (
                self.configuration.catalog.revision
            ),
            "crocusrouter_owned_data_centres": lambda: len(self.local_owners),
            "crocusrouter_ready": lambda: float(self.is_ready),
        }
        for name, read_gauge in gauges.items():
            self.metrics.register_gauge(name, read_gauge)

    async def run(self) -> None:
        """Run all controllers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peer_controller.run)
            nursery.start_soon(self.vm_list.run)
            nursery.start_soon(
                configurations.watch_configuration,
                self.configuration,
                self.store,
                _WATCH_SILENCE_LIMIT_TTLS * self.settings.owner_ttl_s,
                self.random,
            )
            nursery.start_soon(self._run_takeovers)

    @property
    def is_ready(self) -> bool:
        """Whether this entry may accept jobs and requests."""
        return (
            self.configuration.is_confirmed
            and self.vm_list.fleet.read_at is not None
            and not self.is_stopping
        )

    def build_heartbeat(self) -> messages.Heartbeat:
        """Return this entry's heartbeat."""
        return messages.Heartbeat(
            self.settings.name,
            self.configuration.catalog.revision,
            self.is_ready,
            tuple(
                (name, owner.epoch) for name, owner in self.local_owners.items()
            ),
        )

    async def answer(self, call: requests.ValidatedRequest) -> Answer:
        """Answer a small request by passing it through the filter chain."""
        return await self._filter_chain(call)

    def identify(
        self, incoming: requests.IncomingRequest
    ) -> requests.ValidatedRequest:
        """Check a small request and look up its customer and kind.

        Raises:
            RefusedError: The request isn't valid.
        """
        return requests.validate_request(
            incoming,
            self.configuration.catalog,
            uuid.uuid4().hex,
            trio.current_time(),
        )

    async def answer_peer(self, message: object) -> object:
        """Return the answer to a message from another entry."""
        match message:
            case messages.Heartbeat():
                self.peer_controller.record_heartbeat(
                    message, trio.current_time()
                )
                return self.build_heartbeat()
            case messages.AskCatalog():
                return messages.CatalogReply(
                    dump_catalog(self.configuration.catalog)
                )
            case messages.AskAnswer(claim_name):
                return self.claims.get_outcome(claim_name)
            case messages.SubmitJob(packed_job):
                job = codec.unpack(jobs.Job, packed_job)
                return await self.job_router.answer_peer(
                    job.data_centre, message
                )
            case messages.CancelJob(_, job_id) | messages.FindJob(_, job_id):
                data_centre = jobs.parse_data_centre(job_id)
                return await self.job_router.answer_peer(data_centre, message)
            case messages.ListJobs(_, data_centre) | messages.CountRuns(
                data_centre
            ):
                return await self.job_router.answer_peer(data_centre, message)
            case _:
                raise TypeError(
                    f"no handler for message {type(message).__name__}"
                )

    def _stop_replaced_owners(self, heartbeat: messages.Heartbeat) -> None:
        """Stop each owner that a peer has replaced under a higher epoch.

        An owner that is cut off from the key-value service can't see that it
        has been replaced. It would go on renewing the leases of tasks that
        its successor counts as lost.
        """
        for data_centre, epoch in heartbeat.owned_epochs:
            owner = self.local_owners.get(data_centre)
            if owner is not None and owner.epoch < epoch:
                self.metrics.count_event("owner-fenced")
                log("owner:fenced", data_centre=data_centre, by=heartbeat.name)
                self._owner_cancel_scopes[data_centre].cancel()

    async def release_data_centres(self) -> None:
        """Give up the ownership of every data centre, in a planned stop."""
        self.is_stopping = True
        async with trio.open_nursery() as nursery:
            for owner in list(self.local_owners.values()):
                nursery.start_soon(owner.drain)
        for scope in list(self._owner_cancel_scopes.values()):
            scope.cancel()
        while self._owner_cancel_scopes:
            await trio.sleep(_OWNERSHIP_CHECK_INTERVAL_S / 10)

    def _distribute_catalog(self) -> None:
        for owner in self.local_owners.values():
            owner.set_catalog(self.configuration.catalog)

    def _distribute_fleet(self, current_fleet: fleet.Fleet) -> None:
        self.peer_controller.set_fleet(current_fleet)
        self.runners.set_runners(
            fleet.select_vms(current_fleet, fleet.Role.RUNNER)
        )
        for owner in self.local_owners.values():
            owner.set_fleet(current_fleet)

    # Claims on idempotency keys.

    async def _fetch_peer_answer(
        self, entry_name: str, claim_name: str
    ) -> messages.AnswerReply | None:
        """Ask a peer what it answered under a claim; None if unreachable."""
        link = self.peer_controller.find_link(entry_name)
        if link is None:
            return None
        try:
            reply = await link.call(
                messages.AskAnswer(claim_name), _PEER_ANSWER_TIMEOUT_S
            )
        except mesh.PeerUnreachableError:
            return None
        return reply if isinstance(reply, messages.AnswerReply) else None

    async def _get_claim_lease(self) -> int:
        """Return the store lease for new claims; a new lease every hour."""
        now = trio.current_time()
        if self._claim_lease is None or self._claim_lease[1] < now:
            lease_id = await self.store.grant_lease(_CLAIM_LEASE_TTL_S)
            self._claim_lease = (lease_id, now + _CLAIM_LEASE_REUSE_S)
        return self._claim_lease[0]

    # Ownership of data centres.

    async def _run_takeovers(self) -> None:
        """Take over data centres that have no live owner, until cancelled."""
        watch_started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_OWNERSHIP_CHECK_INTERVAL_S)
                if not self.is_ready:
                    continue
                data_centres = fleet.list_data_centres(self.vm_list.fleet)
                for data_centre in data_centres:
                    if self._may_take_over(data_centre, watch_started_at):
                        self._data_centres_with_task.add(data_centre)
                        nursery.start_soon(
                            self._acquire_and_run_owner, data_centre
                        )

    def _may_take_over(self, data_centre: str, watch_started_at: float) -> bool:
        """Tell whether this entry may try to take over a data centre now."""
        if data_centre in self._data_centres_with_task:
            return False
        candidates = tuple(
            ownership.Candidate(vm.name, vm.data_centre)
            for vm in fleet.select_vms(self.vm_list.fleet, fleet.Role.ENTRY)
        )
        ranked_names = ownership.rank_candidates(candidates, data_centre)
        own_name = self.settings.name
        rank = (
            ranked_names.index(own_name)
            if own_name in ranked_names
            else len(ranked_names)
        )
        takeover_time = ownership.find_takeover_time(
            self.configuration.owner_observations.get(data_centre),
            rank,
            self.settings.owner_ttl_s,
            watch_started_at,
        )
        return trio.current_time() >= takeover_time

    async def _acquire_and_run_owner(self, data_centre: str) -> None:
        """Acquire a data centre and own it until it is lost or released."""
        try:
            term = await self._ownership_records.acquire(data_centre)
            if term is not None:
                await self._run_owner(term)
        except* Exception as errors:
            # An error in scheduling one data centre must not end the entry,
            # which also routes requests and owns other data centres. Another
            # entry takes this one over after the TTL.
            self.metrics.count_event("owner-failed")
            log(
                "owner:failed",
                data_centre=data_centre,
                error="".join(traceback.format_exception(errors)),
            )
            await trio.sleep(self.settings.owner_ttl_s)
        finally:
            self._data_centres_with_task.discard(data_centre)

    async def _run_owner(self, term: ownership.OwnershipTerm) -> None:
        """Run the owner of a data centre until it is fenced or cancelled."""
        owner = owners.DataCentreOwner(
            self.settings.name,
            term.data_centre,
            term.epoch,
            self.store,
            self.settings.store_prefix,
            self.metrics,
            self.settings.task_lease_s,
            self.settings.keep_jobs_s,
            self._read_wall_clock,
        )
        owner.set_catalog(self.configuration.catalog)
        owner.set_fleet(self.vm_list.fleet)
        self.local_owners[term.data_centre] = owner
        self.metrics.count_event("owner-took-over")
        scope = trio.CancelScope()
        self._owner_cancel_scopes[term.data_centre] = scope
        renewal = _TermRenewal(term)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._renew_term, renewal, scope)
                    await owner.run()
                    scope.cancel()
        finally:
            del self.local_owners[term.data_centre]
            with trio.move_on_after(1.0, shield=True):
                if self.is_stopping and renewal.term is not None:
                    await self._ownership_records.release(renewal.term)
            del self._owner_cancel_scopes[term.data_centre]

    async def _renew_term(
        self, renewal: "_TermRenewal", scope: trio.CancelScope
    ) -> None:
        """Renew an ownership term; cancel its owner once the term is lost."""
        interval_s = self.settings.owner_ttl_s / ownership.RENEWALS_PER_TTL
        while renewal.term is not None:
            await trio.sleep(interval_s)
            renewal.term = await self._ownership_records.renew(renewal.term)
        log("owner:lost")
        scope.cancel()


@dataclasses.dataclass
class _TermRenewal:
    """An ownership term that a task renews while its owner runs.

    Attributes:
        term: The term with its latest record; None once it is lost.
    """

    term: ownership.OwnershipTerm | None

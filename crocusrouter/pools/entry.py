"""Runs one entry process: configuration, peers, pool ownership, job calls."""

from collections.abc import Callable
import dataclasses
import traceback

import trio

from crocusrouter import mesh
from crocusrouter import queues
from crocusrouter.mesh import messages
from crocusrouter.pools import attestations
from crocusrouter.pools import attester_record
from crocusrouter.pools import clocks
from crocusrouter.pools import closures
from crocusrouter.pools import config_refresh
from crocusrouter.pools import configuration as configurations
from crocusrouter.pools import former_members
from crocusrouter.pools import gauges
from crocusrouter.pools import job_api
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import members
from crocusrouter.pools import owner as owners
from crocusrouter.pools import owner_leases
from crocusrouter.pools import ownership
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import predecessors
from crocusrouter.pools import prefix_follower
from crocusrouter.pools import relay
from crocusrouter.pools import upkeep_controller
from crocusrouter.store import key_value
from crocusrouter.store import observed_store
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_ELECTION_INTERVAL_S = 0.1
# An event loop delay of this length is logged: calls waited as long.
_STALL_THRESHOLD_S = 0.25
_DRAIN_TIMEOUT_S = 0.8
# Bounds of the retry delay sent with a refusal. With a shorter delay callers
# ask again before anything here can recover; a longer one makes callers miss
# their own deadlines.
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 4.0


@dataclasses.dataclass(frozen=True)
class Identity:
    """Name, address and size of an entry.

    Attributes:
        name: Unique among the entries.
        mesh_address: "IP:port" on which peers reach it.
        cores: Processor cores of its VM; 0 if unknown.
    """

    name: str
    mesh_address: str
    cores: float = 0.0


@dataclasses.dataclass(frozen=True)
class ConfigSource:
    """Location and format of the operators' configuration.

    Attributes:
        prefix: Key prefix that is watched.
        key: Key of the configuration itself.
        parse: Decodes it.
        apply_s: Seconds within which a confirmed change has to be in force.
        closure_source: The data centres that operators close, under the same
            prefix.
    """

    prefix: str
    key: str
    parse: Callable[[bytes], queues.Config]
    apply_s: float = 2.0
    closure_source: closures.ClosureSource = closures.ClosureSource()


class PoolEntry:
    """Runs all controllers of one process; its listeners run elsewhere.

    Until `run` is called it answers callers that it is not ready.

    Attributes:
        secret: Shared by all entries; set before `run`.
    """

    def __init__(
        self,
        identity: Identity,
        store: key_value.KeyValueStore,
        source: ConfigSource,
        platform: owners.Platform,
        metrics: Metrics,
        clock: clocks.Clock | None = None,
        make_link: peer_links.MakeLink | None = None,
    ) -> None:
        """Prepare an entry; `run` starts it.

        Args:
            identity: Name, address and size of this entry.
            store: The key-value service.
            source: Location of the operators' configuration.
            platform: How workers are reached.
            metrics: Counts events.
            clock: Source of the current time; the system clocks if None.
            make_link: Opens the connection to a peer; websockets if None.
        """
        self.name = identity.name
        self.metrics = metrics
        self.clock = clock or clocks.Clock()
        self.is_stopping = False
        self.secret = ""
        self.pool_owners: dict[str, owners.PoolOwner] = {}
        self.configuration = configurations.Configuration(
            source.key, source.parse, source.apply_s, self.clock, metrics
        )
        self.configuration.listeners.append(self._apply_config_to_owners)
        self.closures = closures.Closures(
            source.closure_source, self.clock, metrics
        )
        self.closures.listeners.append(self._apply_closures_to_owners)
        self._operators_prefix = source.prefix
        direct_store = observed_store.ObservedStore(store, self.clock.steady)
        self._observed_store = direct_store
        self._store: key_value.KeyValueStore = direct_store
        self._platform = platform
        self._open_waves = upkeep_controller.OpenWaves(platform.upkeep_platform)
        self._owner_scopes: dict[str, trio.CancelScope] = {}
        self._holder = owner_leases.make_holder(
            identity.name, identity.mesh_address
        )
        self._ownership = ownership.OwnerTable(
            self._holder, self._stop_replaced_owner
        )
        self._owner_leases: dict[str, owner_leases.OwnerLease] = {}
        self._attestations: dict[str, attestations.Attestations] = {}
        self.peers = peer_links.Peers(
            identity.name,
            make_link
            or (
                lambda name, address: mesh.PeerLink(name, address, self.secret)
            ),
            self.clock,
            self._build_heartbeat,
            self._handle_heartbeat_answer,
            self._ownership.list_names,
            self._is_unsure_of_ownership,
        )
        self._members: dict[str, members.Member] = {}
        self._former_members = former_members.FormerMembers()
        own_member = members.Member(identity.mesh_address, identity.cores)
        self._own_member = own_member
        self._membership = members.Membership(
            direct_store, identity.name, own_member
        )
        self._config_watch = prefix_follower.PrefixFollower(
            direct_store,
            source.prefix,
            self._handle_operator_events,
            metrics,
            may_wait_long=True,
        )
        self._system_watch = prefix_follower.PrefixFollower(
            direct_store,
            keys.SYSTEM,
            self._handle_system_events,
            metrics,
            may_wait_long=True,
        )
        self._relay = relay.RelayedStore(direct_store, self.peers, self.clock)
        self.config_refresher = config_refresh.ConfigRefresher(
            self.configuration,
            self._read_operator_records,
            self._relay.read_by_peers,
            lambda: bool(self.pool_owners),
            direct_store.is_down,
            self._config_watch.restart_watch,
            self.clock,
            metrics,
            self._find_closures_due,
        )
        self.job_api = job_api.JobApi(
            self._relay,
            self.peers,
            self.pool_owners,
            self._ownership.find_owner,
            self.clock,
            metrics,
        )
        self._nursery: trio.Nursery | None = None
        gauges.register_gauges(metrics, self.closures, self.pool_owners)

    def choose_retry_after(self) -> float:
        """Return the seconds after which a refused caller should ask again.

        An outage of the store that all entries share is expected to last as
        long again as it has lasted so far. Callers retry four times: with a
        constant delay of one second they had given up when an outage of 4.2 s
        ended. If only this entry is affected, another entry serves the next
        try.
        """
        now = self.clock.steady()
        outage_s = self._observed_store.measure_outage()
        if not self.peers.shares_outage(now - outage_s):
            return _MIN_RETRY_AFTER_S
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, outage_s))

    @property
    def is_ready(self) -> bool:
        """Whether this entry may accept new callers."""
        is_fresh = self.configuration.is_fresh(self.clock.steady())
        return is_fresh and not self.is_stopping

    async def run(self) -> None:
        """Run all controllers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._config_watch.run)
            nursery.start_soon(self._system_watch.run)
            nursery.start_soon(self._membership.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.config_refresher.run)
            try:
                await self._run_elections()
            finally:
                self._nursery = None

    # Configuration.

    def _handle_operator_events(
        self, events: tuple[records.Event, ...]
    ) -> None:
        self.closures.apply_events(events)
        self.configuration.apply_events(events)
        self._open_waves.apply_events(events)

    async def _read_operator_records(self, key: str) -> records.Record | None:
        """Return one of the operators' records, and apply all closures.

        Raises:
            StoreUnavailableError: The store gives no answer.
        """
        asked_at = self.clock.steady()
        snapshot = await self._observed_store.read_prefix(
            self._operators_prefix
        )
        self.closures.apply_snapshot(snapshot, asked_at)
        return next(
            (record for record in snapshot.records if record.key == key), None
        )

    def _find_closures_due(self) -> float:
        """Return when closures must be read again; only owners need them."""
        if not self.pool_owners:
            return float("inf")
        return self.closures.find_next_check()

    def _apply_closures_to_owners(self, _: frozenset[str]) -> None:
        for pool_owner in self.pool_owners.values():
            pool_owner.apply_closures()

    def _apply_config_to_owners(self, config: queues.Config) -> None:
        for pool_owner in self.pool_owners.values():
            pool_owner.set_config(config)

    # Peers.

    def _build_heartbeat(self) -> messages.Beat:
        now = self.clock.steady()
        return messages.Beat(
            self.name,
            self.configuration.version,
            self.configuration.measure_age(now),
            self._ownership.list_heartbeat_rows(),
            not self._observed_store.is_failing(),
            self._system_watch.last_event_revision,
            tuple(sorted(self.closures.data_centres)),
            self.closures.revision,
            self.closures.measure_age(now),
        )

    def may_renew_leases(self, pool: str) -> bool:
        """Return whether this entry may renew the leases of workers."""
        attested = self._attestations.get(pool)
        return attested is not None and attested.may_renew(self.clock.steady())

    def _is_unsure_of_ownership(self) -> bool:
        """Return whether a pool of ours may have another owner by now."""
        return any(
            not self._owner_leases[pool].is_valid()
            for pool in self._attestations
        )

    def _handle_heartbeat_answer(
        self, heartbeat: messages.Beat, asked_at: float
    ) -> None:
        """Process the heartbeat with which a peer answers one of ours.

        Only an answer confirms the configuration, as of the time when it was
        requested. An unrequested heartbeat may have been in flight for seconds.
        """
        if (
            heartbeat.confirmed_age_s is not None
            and heartbeat.config_version == self.configuration.version
        ):
            self.configuration.confirm_newest(
                asked_at - heartbeat.confirmed_age_s
            )
        for attested in self._attestations.values():
            attested.note_answer(heartbeat, asked_at)
        self._handle_heartbeat(heartbeat, asked_at)

    def _handle_heartbeat(
        self, heartbeat: messages.Beat, asked_at: float | None
    ) -> None:
        """Process the parts of a heartbeat that are valid at any age.

        They only move forward: the configuration version, the latest event,
        the closures and the owners' epochs.

        Args:
            heartbeat: The peer's heartbeat.
            asked_at: Steady time at which it was requested; None if it was
                not.
        """
        self._former_members.note_heard(heartbeat.name, self.clock.steady())
        confirmed_at = None
        if asked_at is not None and heartbeat.closures_age_s is not None:
            confirmed_at = asked_at - heartbeat.closures_age_s
        self.closures.apply_peer_list(
            closures.ClosureList(
                frozenset(heartbeat.closed_data_centres),
                heartbeat.closures_revision,
                confirmed_at,
            ),
            heartbeat.name,
        )
        self._system_watch.check_for_missed(heartbeat.last_change_revision)
        is_behind = heartbeat.config_version > self.configuration.version
        if is_behind and self._nursery is not None:
            self._nursery.start_soon(self._fetch_config_from, heartbeat.name)
        self._ownership.apply_heartbeat_rows(
            heartbeat.owners, self.clock.steady()
        )

    async def _fetch_config_from(self, peer: str) -> None:
        reply = await self.peers.call(peer, messages.AskConfig())
        if isinstance(reply, messages.ConfigReply) and reply.document:
            self.configuration.apply(reply.document, peer)

    async def answer_peer(self, message: object) -> object:
        """Answer a message of another entry."""
        match message:
            case messages.Beat():
                self.peers.note_unrequested(message, self.clock.steady())
                self._handle_heartbeat(message, None)
                return self._build_heartbeat()
            case messages.AskConfig():
                return messages.ConfigReply(self.configuration.document)
            case messages.ConfirmOwner(pool, epoch, owner):
                self._ownership.apply_heartbeat_rows(
                    ((pool, epoch, owner),), self.clock.steady()
                )
                return messages.OwnerConfirmed(
                    self._ownership.find_epoch(pool), self._holder.process
                )
            case messages.FindState(pool, job):
                return messages.StateReply(
                    self.job_api.find_local_state(pool, job)
                )
            case messages.CountPending(pool, queue):
                return self.job_api.count_local_pending(pool, queue)
            case messages.RelayRead():
                return await self._relay.answer_read(message)
            case messages.RelayWrite() | messages.RelayShortLivedWrite():
                return await self._relay.answer_write(message)
            case _:
                raise TypeError(f"no answer to {type(message).__name__}")

    # Members and owners.

    def _handle_system_events(self, events: tuple[records.Event, ...]) -> None:
        for event in events:
            if isinstance(event, records.Removed):
                self._handle_removed_key(event.key)
                continue
            value = event.record.value
            key = event.record.key
            if key.startswith(keys.MEMBERS):
                self._handle_member(key.removeprefix(keys.MEMBERS), value)
            elif key.startswith(keys.OWNERS):
                self._ownership.apply_owner_key(
                    key.removeprefix(keys.OWNERS), value, event.record.revision
                )
        self._update_peers()

    def _update_peers(self) -> None:
        """Connect to all members, and to former ones that may still run."""
        former_addresses = self._former_members.list_addresses(
            self.clock.steady()
        )
        addresses = {
            name: member.address for name, member in self._members.items()
        }
        self.peers.set_members({**former_addresses, **addresses})

    def _handle_member(self, name: str, value: bytes) -> None:
        """Record a member; an unreadable record must not end the entry."""
        try:
            self._members[name] = members.parse_member(value)
            self._former_members.note_registered(name)
        except ValueError as error:
            self.metrics.count_event("member-unreadable")
            log("member:unreadable", member=name, error=str(error))

    def _handle_removed_key(self, key: str) -> None:
        if key.startswith(keys.MEMBERS):
            name = key.removeprefix(keys.MEMBERS)
            member = self._members.pop(name, None)
            if member is not None and name != self.name:
                self._former_members.note_removed(
                    name,
                    member.address,
                    self.clock.steady(),
                    is_owner=bool(self.pool_owners),
                )
        elif key.startswith(keys.OWNERS):
            self._ownership.note_vacant(
                key.removeprefix(keys.OWNERS), self.clock.steady()
            )

    def _stop_replaced_owner(self, pool: str, epoch: int) -> None:
        """Stop scheduling a pool that another entry owns by now."""
        pool_owner = self.pool_owners.get(pool)
        if pool_owner is not None and pool_owner.epoch < epoch:
            self._owner_scopes[pool].cancel()

    # Ownership.

    async def _run_elections(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._sleep_and_measure_stall(_ELECTION_INTERVAL_S)
                if not self._former_members.is_empty():
                    self._update_peers()
                config = self.configuration.current
                if config is None or not self.is_ready:
                    continue
                now = self.clock.steady()
                for pool in self._list_served_pools(config):
                    if self._may_take(pool, now):
                        self._ownership.note_attempt(pool, now)
                        nursery.start_soon(self._own_pool, pool)

    def _list_served_pools(self, config: queues.Config) -> list[str]:
        """Return the pools that need an owner.

        Besides the configured services these are former ones that still have
        jobs: only an owner can move jobs to the present service of their queue,
        or tell that their tasks no longer run.
        """
        pools = [
            service.name
            for service in config.services.values()
            if not service.standby
        ]
        former_pools = {
            pool
            for pool_owner in self.pool_owners.values()
            for pool in pool_owner.list_other_pools()
        }
        return pools + sorted(former_pools.difference(pools))

    async def _sleep_and_measure_stall(self, duration_s: float) -> None:
        """Sleep, and report if the event loop was blocked meanwhile."""
        due_at = self.clock.steady() + duration_s
        await trio.sleep(duration_s)
        late_s = self.clock.steady() - due_at
        self.metrics.record_loop_stall(late_s)
        if late_s > _STALL_THRESHOLD_S:
            log("loop:stalled", late_s=round(late_s, 3))

    def _may_take(self, pool: str, now: float) -> bool:
        if pool in self._owner_leases:
            return False
        candidates = self._members | {self.name: self._own_member}
        return self._ownership.may_take(pool, candidates, now)

    async def _own_pool(self, pool: str) -> None:
        """Own a pool until ownership is lost or released."""
        owner_lease = owner_leases.OwnerLease(
            self._store, pool, self._holder, self.clock
        )
        self._owner_leases[pool] = owner_lease
        may_release_at = self.clock.steady() + owner_leases.TTL_S
        try:
            if await owner_lease.acquire(
                self._ownership.find_replaceable_revision(pool)
            ):
                self.metrics.count_event("owner-took-over")
                await self._run_owner(owner_lease)
        except* journal.DeposedError as errors:
            self.metrics.count_event("owner-deposed")
            log("owner:deposed", pool=pool, cause=repr(errors.exceptions))
        except* Exception as errors:
            # A fault in one pool's scheduling must not end the entry, which
            # serves callers too. Another entry takes over.
            self.metrics.count_event("owner-failed")
            log(
                "owner:failed",
                pool=pool,
                error="".join(traceback.format_exception(errors)),
            )
            # A lasting fault must not travel through all entries at once.
            if owner_lease.epoch and self.clock.steady() > may_release_at:
                await owner_lease.release()
                # Lets others try first: the fault may lie in this entry.
                await trio.sleep(owner_leases.TTL_S)
        finally:
            del self._owner_leases[pool]

    async def _run_owner(self, owner_lease: owner_leases.OwnerLease) -> None:
        attesters = attester_record.AttesterRecord(
            self._store,
            owner_lease,
            predecessors.Attester(self.name, self._own_member.address),
            self.peers,
            self.clock,
            self.metrics,
        )
        attested = attestations.Attestations(
            owner_lease, attesters.list_attesters
        )
        pool_owner = owners.PoolOwner(
            owner_lease,
            self._store,
            self._platform,
            self.clock,
            self.metrics,
            lambda: self.may_renew_leases(owner_lease.pool),
            attesters.have_predecessors_ended,
            self.closures,
        )
        self._ownership.note_owner(
            owner_lease.pool, self.name, owner_lease.epoch
        )
        if self.configuration.current is not None:
            pool_owner.set_config(self.configuration.current)
        pool_owner.apply_closures()
        self.pool_owners[owner_lease.pool] = pool_owner
        self._attestations[owner_lease.pool] = attested
        for name in self.peers.list_members():
            # It may have sent heartbeats to the previous owner only.
            self._former_members.note_heard(name, self.clock.steady())
        self.config_refresher.request_check()
        pool_upkeep = upkeep_controller.UpkeepController(
            owner_lease,
            self.name,
            self._store,
            pool_owner.pool_state,
            self.clock,
            self._open_waves,
            pool_owner.wake,
        )
        owner_scope = trio.CancelScope()
        self._owner_scopes[owner_lease.pool] = owner_scope
        log("owner:began", pool=owner_lease.pool, epoch=owner_lease.epoch)
        try:
            with owner_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        _cancel_when_lease_ends, owner_lease, owner_scope
                    )
                    nursery.start_soon(attesters.run)
                    nursery.start_soon(pool_upkeep.run)
                    await pool_owner.run()
        finally:
            del self.pool_owners[owner_lease.pool]
            del self._owner_scopes[owner_lease.pool]
            del self._attestations[owner_lease.pool]
            if self._ownership.find_owner(owner_lease.pool) == self.name:
                self._ownership.forget_owner(owner_lease.pool)
            log("owner:ended", pool=owner_lease.pool, epoch=owner_lease.epoch)

    async def release_all(self) -> None:
        """Release every pool to other entries; part of a planned stop."""
        self.is_stopping = True
        async with trio.open_nursery() as nursery:
            for pool in list(self.pool_owners):
                nursery.start_soon(self._release_pool, pool)
        await self._membership.leave()

    async def _release_pool(self, pool: str) -> None:
        await self.pool_owners[pool].drain(_DRAIN_TIMEOUT_S)
        owner_lease = self._owner_leases.get(pool)
        owner_scope = self._owner_scopes.get(pool)
        if owner_lease is not None and owner_scope is not None:
            owner_scope.cancel()
            await owner_lease.release()


async def _cancel_when_lease_ends(
    owner_lease: owner_leases.OwnerLease, owner_scope: trio.CancelScope
) -> None:
    await owner_lease.renew_until_lost()
    log("owner:lease-ended", pool=owner_lease.pool, epoch=owner_lease.epoch)
    owner_scope.cancel()

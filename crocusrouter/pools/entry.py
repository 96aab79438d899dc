"""One entry: joins configuration, peers, ownership and the callers' desk."""

from collections.abc import Callable
import dataclasses
import traceback

import trio

from crocusrouter import mesh
from crocusrouter import queues
from crocusrouter.mesh import messages
from crocusrouter.pools import clock
from crocusrouter.pools import configuration as configurations
from crocusrouter.pools import desk as desks
from crocusrouter.pools import intake
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import members
from crocusrouter.pools import owner as owners
from crocusrouter.pools import ownership
from crocusrouter.pools import peers as peer_links
from crocusrouter.pools import refresh
from crocusrouter.pools import relay
from crocusrouter.pools import tenure as tenures
from crocusrouter.pools import upkeep
from crocusrouter.store import key_value
from crocusrouter.store import observed_store
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_ELECTION_TICK_S = 0.1
# A timer that comes this late is worth a line: calls waited as long.
_STALL_S = 0.25
_DRAIN_S = 0.8
# Bounds of what a refused caller is told. A shorter one asks more often than
# anything here recovers; a longer one is missed by callers whose work is due.
_SHORTEST_RETRY_S = 1.0
_LONGEST_RETRY_S = 4.0


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who an entry is.

    Attributes:
        name: Unique among the entries.
        mesh_address: "IP:port" on which peers reach it.
        cores: Processor that its VM has; 0 if unknown.
    """

    name: str
    mesh_address: str
    cores: float = 0.0


@dataclasses.dataclass(frozen=True)
class ConfigSource:
    """Where the operators' configuration lies.

    Attributes:
        prefix: Watched.
        key: The configuration itself.
        parse: Decodes it.
        apply_s: Seconds in which a confirmed change has to be in force.
    """

    prefix: str
    key: str
    parse: Callable[[bytes], queues.Config]
    apply_s: float = 2.0


class PoolEntry:
    """Everything that one process runs, except its listeners.

    Until `run` it answers callers that it is not ready.

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
        times: clock.Clock | None = None,
        make_link: peer_links.MakeLink | None = None,
    ) -> None:
        """Prepare an entry; `run` does the rest.

        Args:
            identity: Who it is.
            store: The key-value service.
            source: Where the operators' configuration lies.
            platform: How workers are met.
            metrics: Counts what happens.
            times: The present time; the machine's if None.
            make_link: Opens the calls to a peer; websockets if None.
        """
        self.name = identity.name
        self.metrics = metrics
        self.times = times or clock.Clock()
        self.is_stopping = False
        self.secret = ""
        self.owned: dict[str, owners.PoolOwner] = {}
        self.configuration = configurations.Configuration(
            source.key, source.parse, source.apply_s, self.times, metrics
        )
        self.configuration.listeners.append(self._spread_config)
        observing = observed_store.ObservedStore(store, self.times.steady)
        self._observed = observing
        self._store: key_value.KeyValueStore = observing
        self._platform = platform
        self._waves = upkeep.Waves(platform.upkeeping)
        self._scopes: dict[str, trio.CancelScope] = {}
        self._holder = tenures.make_holder(identity.name, identity.mesh_address)
        self._ownership = ownership.Ownership(self._holder, self._end_replaced)
        self._tenures: dict[str, tenures.Tenure] = {}
        self.peers = peer_links.Peers(
            identity.name,
            make_link
            or (lambda name, where: mesh.PeerLink(name, where, self.secret)),
            self.times,
            self._describe,
            self._take_answer,
            self._ownership.list_names,
        )
        self._members: dict[str, members.Member] = {}
        own = members.Member(identity.mesh_address, identity.cores)
        self._own_member = own
        self._membership = members.Membership(observing, identity.name, own)
        self._config_watch = intake.Follower(
            observing,
            source.prefix,
            self._take_operators,
            metrics,
            patient=True,
        )
        self._system_watch = intake.Follower(
            observing,
            keys.SYSTEM,
            self._take_system,
            metrics,
            patient=True,
        )
        self._relay = relay.RelayedStore(observing, self.peers)
        self.refresher = refresh.Refresher(
            self.configuration,
            observing.read,
            self._relay.read_by_peers,
            lambda: bool(self.owned),
            observing.is_down,
            self._config_watch.look_again,
            self.times,
            metrics,
        )
        self.desk = desks.Desk(
            self._relay,
            self.peers,
            self.owned,
            self._ownership.find_owner,
            self.times,
            metrics,
        )
        self._nursery: trio.Nursery | None = None

    def choose_retry_after(self) -> float:
        """Return the seconds after which a refused caller should ask again.

        An outage of the store that all entries share is taken to last as long
        again as it has lasted. Callers ask four times more; told one second
        each time, they had given up when an outage of 4.2 s ended. Where only
        this entry is affected, another one serves the next try.
        """
        now = self.times.steady()
        outage = self._observed.measure_outage()
        if not self.peers.shares_outage(now - outage):
            return _SHORTEST_RETRY_S
        return min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, outage))

    @property
    def is_ready(self) -> bool:
        """Whether this entry may take new callers."""
        fresh = self.configuration.is_fresh(self.times.steady())
        return fresh and not self.is_stopping

    async def run(self) -> None:
        """Run all controllers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._config_watch.run)
            nursery.start_soon(self._system_watch.run)
            nursery.start_soon(self._membership.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.refresher.run)
            try:
                await self._run_elections()
            finally:
                self._nursery = None

    # Configuration.

    def _take_operators(self, events: tuple[records.Event, ...]) -> None:
        self.configuration.take_events(events)
        self._waves.take_events(events)

    def _spread_config(self, config: queues.Config) -> None:
        for held in self.owned.values():
            held.set_config(config)

    # Peers.

    def _describe(self) -> messages.Beat:
        now = self.times.steady()
        return messages.Beat(
            self.name,
            self.configuration.version,
            self.configuration.measure_age(now),
            self._ownership.list_rows(),
            not self._observed.is_failing(),
            self._system_watch.last_event,
        )

    def _take_answer(self, beat: messages.Beat, asked_at: float) -> None:
        """Take a peer's heartbeat that answers one of ours.

        Only such a one vouches, from when it was asked for: one that comes
        unasked may have been on its way for seconds.
        """
        if (
            beat.vouched_age_s is not None
            and beat.version == self.configuration.version
        ):
            self.configuration.vouch(asked_at - beat.vouched_age_s)
        self._take_beat(beat)

    def _take_beat(self, beat: messages.Beat) -> None:
        """Take what only moves forward, however old the heartbeat is."""
        self._system_watch.compare(beat.last_event)
        is_behind = beat.version > self.configuration.version
        if is_behind and self._nursery is not None:
            self._nursery.start_soon(self._fetch_config, beat.name)
        self._ownership.take_rows(beat.owners)

    async def _fetch_config(self, peer: str) -> None:
        reply = await self.peers.call(peer, messages.AskConfig())
        if isinstance(reply, messages.ConfigReply) and reply.document:
            self.configuration.take(reply.document, peer)

    async def answer_peer(self, message: object) -> object:
        """Answer another entry."""
        match message:
            case messages.Beat():
                self.peers.note_unasked(message, self.times.steady())
                self._take_beat(message)
                return self._describe()
            case messages.AskConfig():
                return messages.ConfigReply(self.configuration.document)
            case messages.FindState(pool, job):
                return messages.StateReply(self.desk.show_here(pool, job))
            case messages.CountPending(pool, queue):
                return messages.PendingReply(self.desk.count_here(pool, queue))
            case messages.RelayRead():
                return await self._relay.answer_read(message)
            case messages.RelayWrite():
                return await self._relay.answer_write(message)
            case _:
                raise TypeError(f"no answer to {type(message).__name__}")

    # Members and owners.

    def _take_system(self, events: tuple[records.Event, ...]) -> None:
        for event in events:
            if isinstance(event, records.Removed):
                self._remove_system(event.key)
                continue
            value = event.record.value
            key = event.record.key
            if key.startswith(keys.MEMBERS):
                self._take_member(key.removeprefix(keys.MEMBERS), value)
            elif key.startswith(keys.OWNERS):
                self._ownership.take_key(
                    key.removeprefix(keys.OWNERS), value, event.record.revision
                )
        self.peers.set_members(
            {name: member.address for name, member in self._members.items()}
        )

    def _take_member(self, name: str, value: bytes) -> None:
        """Take a member; one that can't be read must not end the entry."""
        try:
            self._members[name] = members.parse_member(value)
        except ValueError as error:
            self.metrics.count_event("member-unreadable")
            log("member:unreadable", member=name, error=str(error))

    def _remove_system(self, key: str) -> None:
        if key.startswith(keys.MEMBERS):
            self._members.pop(key.removeprefix(keys.MEMBERS), None)
        elif key.startswith(keys.OWNERS):
            self._ownership.note_vacant(
                key.removeprefix(keys.OWNERS), self.times.steady()
            )

    def _end_replaced(self, pool: str, epoch: int) -> None:
        """Stop deciding on a pool that another entry owns by now."""
        held = self.owned.get(pool)
        if held is not None and held.epoch < epoch:
            self._scopes[pool].cancel()

    # Ownership.

    async def _run_elections(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._sleep_watched(_ELECTION_TICK_S)
                config = self.configuration.current
                if config is None or not self.is_ready:
                    continue
                now = self.times.steady()
                for service in config.services.values():
                    if service.standby or not self._may_take(service.name, now):
                        continue
                    self._ownership.note_tried(service.name, now)
                    nursery.start_soon(self._own, service.name)

    async def _sleep_watched(self, for_s: float) -> None:
        """Sleep, and tell of an event loop that stood still meanwhile."""
        due = self.times.steady() + for_s
        await trio.sleep(for_s)
        late_s = self.times.steady() - due
        self.metrics.note_stall(late_s)
        if late_s > _STALL_S:
            log("loop:stalled", late_s=round(late_s, 3))

    def _may_take(self, pool: str, now: float) -> bool:
        if pool in self._tenures:
            return False
        candidates = self._members | {self.name: self._own_member}
        return self._ownership.may_take(pool, candidates, now)

    async def _own(self, pool: str) -> None:
        """Own a pool until it is lost or released."""
        held = tenures.Tenure(self._store, pool, self._holder, self.times)
        self._tenures[pool] = held
        try:
            if await held.take(self._ownership.find_left_behind(pool)):
                self.metrics.count_event("owner-took-over")
                await self._serve(held)
        except* journal.DeposedError as errors:
            self.metrics.count_event("owner-deposed")
            log("owner:deposed", pool=pool, cause=repr(errors.exceptions))
        except* Exception as errors:
            # A fault in one pool's decisions must not end the entry, which
            # serves callers too. The key's lease ends and another takes over.
            self.metrics.count_event("owner-failed")
            log(
                "owner:failed",
                pool=pool,
                error="".join(traceback.format_exception(errors)),
            )
        finally:
            del self._tenures[pool]

    async def _serve(self, held: tenures.Tenure) -> None:
        opened = owners.PoolOwner(
            held,
            self._store,
            self._platform,
            self.times,
            self.metrics,
            lambda: self.peers.may_hear(self.times.steady()),
        )
        self._ownership.note_owner(held.pool, self.name, held.epoch)
        if self.configuration.current is not None:
            opened.set_config(self.configuration.current)
        self.owned[held.pool] = opened
        duty = upkeep.UpkeepDuty(
            held,
            self.name,
            self._store,
            opened.book,
            self.times,
            self._waves,
            opened.wake,
        )
        scope = trio.CancelScope()
        self._scopes[held.pool] = scope
        log("owner:began", pool=held.pool, epoch=held.epoch)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_keep, held, scope)
                    nursery.start_soon(duty.run)
                    await opened.run()
        finally:
            del self.owned[held.pool]
            del self._scopes[held.pool]
            if self._ownership.find_owner(held.pool) == self.name:
                self._ownership.forget_owner(held.pool)
            log("owner:ended", pool=held.pool, epoch=held.epoch)

    async def release_all(self) -> None:
        """Hand every pool over; part of a planned stop."""
        self.is_stopping = True
        async with trio.open_nursery() as nursery:
            for pool in list(self.owned):
                nursery.start_soon(self._release, pool)
        await self._membership.leave()

    async def _release(self, pool: str) -> None:
        await self.owned[pool].drain(_DRAIN_S)
        held = self._tenures.get(pool)
        scope = self._scopes.get(pool)
        if held is not None and scope is not None:
            scope.cancel()
            await held.release()


async def _keep(held: tenures.Tenure, scope: trio.CancelScope) -> None:
    await held.keep()
    log("owner:lease-ended", pool=held.pool, epoch=held.epoch)
    scope.cancel()

"""Ownership of data centres: exactly one decider, fenced by its epoch."""

from collections.abc import Callable
import dataclasses
import hashlib

from crocusrouter import codec
from crocusrouter import store
from crocusrouter.controllers import configuration as configurations

RENEWALS_PER_TTL = 3
_STAGGER_SHARE = 0.15
_RELEASED_STAGGER_S = 0.03


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An entry that could own a data centre."""

    name: str
    data_centre: str


def rank_candidates(
    candidates: tuple[Candidate, ...], data_centre: str
) -> tuple[str, ...]:
    """Order candidates: entries of the data centre first, then by hash.

    Hashing spreads the data centres over the entries.

    >>> near, far = Candidate("e1", "liege"), Candidate("e2", "namur")
    >>> rank_candidates((far, near), "liege")
    ('e1', 'e2')
    """

    def weigh(candidate: Candidate) -> tuple[bool, bytes]:
        text = f"{candidate.name}\0{data_centre}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return (candidate.data_centre != data_centre, digest)

    return tuple(c.name for c in sorted(candidates, key=weigh))


def find_takeover_time(
    observation: configurations.Observation | None,
    rank: int,
    ttl_s: float,
    started_at: float,
) -> float:
    """Return when a candidate may take a data centre over, on its own clock.

    A record must have stayed unchanged for a whole TTL as watched here; no
    clock is compared between VMs. Ranks stagger the candidates so that they
    don't all write at once. A released record can be taken nearly at once.

    Args:
        observation: The record as first seen, or None if there is none.
        rank: Our place among the candidates, from 0.
        ttl_s: Seconds without renewal until a takeover.
        started_at: When this process began to watch.
    """
    stagger_s = rank * ttl_s * _STAGGER_SHARE
    if observation is None:
        return started_at + stagger_s
    if not observation.owner.owner:
        return observation.seen_at + rank * _RELEASED_STAGGER_S
    return observation.seen_at + ttl_s + stagger_s


@dataclasses.dataclass(frozen=True)
class Held:
    """A data centre that this entry owns."""

    data_centre: str
    epoch: int
    record: store.Record


class OwnerRecords:
    """Takes, renews and releases ownership records by compare-and-swap."""

    def __init__(
        self,
        entry: str,
        client: store.StoreClient,
        configuration: configurations.Configuration,
        ttl_s: float,
        read_clock: Callable[[], float],
    ) -> None:
        self._entry = entry
        self._client = client
        self._configuration = configuration
        self._ttl_s = ttl_s
        self._read_clock = read_clock

    async def take(self, data_centre: str) -> Held | None:
        """Take a data centre over with the next epoch, if nobody was faster.

        Compare-and-swap against the record that was watched makes sure that
        its owner has not renewed since, even if our watch lags.
        """
        seen = self._configuration.owners.get(data_centre)
        epoch = seen.owner.epoch + 1 if seen is not None else 1
        owner = configurations.OwnerRecord(self._entry, epoch, 0)
        record = seen.record if seen is not None else None
        return await self._swap(data_centre, record, owner)

    async def renew(self, held: Held) -> Held | None:
        """Renew; None if another entry has taken over.

        If the service can't be reached, the same `held` is returned: a
        takeover needs the service too, and if it does happen, the epoch
        fences everything that this entry still sends.
        """
        current = codec.unpack(configurations.OwnerRecord, held.record.value)
        renewed = dataclasses.replace(current, renewals=current.renewals + 1)
        outcome = await self._client.compare_and_swap(
            self._key(held.data_centre),
            held.record,
            codec.pack(renewed),
            timeout_s=self._ttl_s / RENEWALS_PER_TTL,
        )
        if isinstance(outcome, store.Committed):
            self._configuration.take_record(outcome.record, self._read_clock())
            return dataclasses.replace(held, record=outcome.record)
        if isinstance(outcome, store.Unavailable):
            return held
        return self._find_own(held, outcome.current)

    async def release(self, held: Held) -> None:
        """Give a data centre up, so that nobody has to wait for the TTL."""
        released = codec.pack(configurations.OwnerRecord("", held.epoch, 0))
        key = self._key(held.data_centre)
        outcome = await self._client.compare_and_swap(
            key, held.record, released
        )
        if isinstance(outcome, store.Conflict):
            # A renewal was cut off by the stop after it took effect.
            latest = self._find_own(held, outcome.current)
            if latest is not None:
                await self._client.compare_and_swap(
                    key, latest.record, released
                )

    def _find_own(
        self, held: Held, current: store.Record | None
    ) -> Held | None:
        """Adopt our own renewal that was given up on as uncertain."""
        if current is None:
            return None
        owner = codec.unpack(configurations.OwnerRecord, current.value)
        if (owner.owner, owner.epoch) != (self._entry, held.epoch):
            self._configuration.take_record(current, self._read_clock())
            return None
        return dataclasses.replace(held, record=current)

    async def _swap(
        self,
        data_centre: str,
        record: store.Record | None,
        owner: configurations.OwnerRecord,
    ) -> Held | None:
        outcome = await self._client.compare_and_swap(
            self._key(data_centre), record, codec.pack(owner)
        )
        if isinstance(outcome, store.Committed):
            self._configuration.take_record(outcome.record, self._read_clock())
            return Held(data_centre, owner.epoch, outcome.record)
        if isinstance(outcome, store.Conflict) and outcome.current is not None:
            self._configuration.take_record(outcome.current, self._read_clock())
        return None

    def _key(self, data_centre: str) -> str:
        return self._configuration.owners_prefix + data_centre

"""Ownership of data centres: which entry schedules the jobs of each one.

Each data centre has at most one owner record in the key-value service. Every
takeover raises the record's epoch, which fences the earlier owners.
"""

from collections.abc import Callable
import dataclasses
import hashlib

from crocusrouter import codec
from crocusrouter import store
from crocusrouter.controllers import configuration as configurations

RENEWALS_PER_TTL = 3
_RANK_STAGGER_TTLS = 0.15
_RELEASED_RANK_STAGGER_S = 0.03


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An entry that could own a data centre."""

    name: str
    data_centre: str


def rank_candidates(
    candidates: tuple[Candidate, ...], data_centre: str
) -> tuple[str, ...]:
    """Return candidates' names, local entries first, then by hash.

    Hashing distributes the data centres over the entries.

    >>> local, remote = Candidate("e1", "liege"), Candidate("e2", "namur")
    >>> rank_candidates((remote, local), "liege")
    ('e1', 'e2')
    """

    def build_sort_key(candidate: Candidate) -> tuple[bool, bytes]:
        hash_input = f"{candidate.name}\0{data_centre}".encode()
        digest = hashlib.blake2b(hash_input, digest_size=8).digest()
        return (candidate.data_centre != data_centre, digest)

    return tuple(
        candidate.name for candidate in sorted(candidates, key=build_sort_key)
    )


def find_takeover_time(
    observation: configurations.OwnerObservation | None,
    rank: int,
    ttl_s: float,
    watch_started_at: float,
) -> float:
    """Return when a candidate may take over a data centre, on its own clock.

    The watch of this process must have seen no change of the record for a
    whole TTL, so clocks of different VMs are never compared. The delay grows
    with the rank, so that candidates don't all write at the same time. A
    released record can be taken over almost immediately.

    Args:
        observation: The owner record as first seen, or None if there is none.
        rank: Our rank among the candidates, from 0.
        ttl_s: Seconds without renewal until a takeover.
        watch_started_at: When this process began to watch.
    """
    stagger_s = rank * ttl_s * _RANK_STAGGER_TTLS
    if observation is None:
        return watch_started_at + stagger_s
    if not observation.owner_record.owner:
        return observation.first_seen_at + rank * _RELEASED_RANK_STAGGER_S
    return observation.first_seen_at + ttl_s + stagger_s


@dataclasses.dataclass(frozen=True)
class OwnershipTerm:
    """This entry's ownership of a data centre under one epoch.

    Attributes:
        data_centre: The data centre that it owns.
        epoch: The epoch under which it owns it.
        record: The latest owner record that it wrote.
    """

    data_centre: str
    epoch: int
    record: store.Record


class OwnershipRecords:
    """Acquires, renews and releases owner records by compare-and-swap."""

    def __init__(
        self,
        entry_name: str,
        store_client: store.StoreClient,
        configuration: configurations.Configuration,
        ttl_s: float,
        read_clock: Callable[[], float],
    ) -> None:
        self._entry_name = entry_name
        self._store_client = store_client
        self._configuration = configuration
        self._ttl_s = ttl_s
        self._read_clock = read_clock

    async def acquire(self, data_centre: str) -> OwnershipTerm | None:
        """Take over a data centre under the next epoch.

        The compare-and-swap expects the record that our watch saw last. It
        fails if the owner has renewed the record since, even if our watch
        lags behind.

        Returns:
            The new term, or None if the record has changed or the write was
            not confirmed.
        """
        observation = self._configuration.owner_observations.get(data_centre)
        epoch = (
            observation.owner_record.epoch + 1 if observation is not None else 1
        )
        new_owner_record = configurations.OwnerRecord(
            self._entry_name, epoch, 0
        )
        expected = observation.record if observation is not None else None
        return await self._replace_record(
            data_centre, expected, new_owner_record
        )

    async def renew(self, term: OwnershipTerm) -> OwnershipTerm | None:
        """Renew a term; return None if another entry has taken over.

        If the key-value service can't be reached, the same term is returned.
        A takeover needs the service too; if one happens all the same, its
        epoch fences everything that this entry still sends.
        """
        owner_record = codec.unpack(
            configurations.OwnerRecord, term.record.value
        )
        renewed_owner_record = dataclasses.replace(
            owner_record, renewals=owner_record.renewals + 1
        )
        outcome = await self._store_client.compare_and_swap(
            self._build_key(term.data_centre),
            term.record,
            codec.pack(renewed_owner_record),
            timeout_s=self._ttl_s / RENEWALS_PER_TTL,
        )
        if isinstance(outcome, store.Committed):
            self._configuration.apply_record(outcome.record, self._read_clock())
            return dataclasses.replace(term, record=outcome.record)
        if isinstance(outcome, store.Unavailable):
            return term
        return self._find_own_renewal(term, outcome.current)

    async def release(self, term: OwnershipTerm) -> None:
        """Release a data centre, so that no successor waits for the TTL."""
        released_value = codec.pack(
            configurations.OwnerRecord("", term.epoch, 0)
        )
        key = self._build_key(term.data_centre)
        outcome = await self._store_client.compare_and_swap(
            key, term.record, released_value
        )
        if isinstance(outcome, store.Conflict):
            # The stop may have cancelled a renewal that the service applied.
            latest_term = self._find_own_renewal(term, outcome.current)
            if latest_term is not None:
                await self._store_client.compare_and_swap(
                    key, latest_term.record, released_value
                )

    def _find_own_renewal(
        self, term: OwnershipTerm, current: store.Record | None
    ) -> OwnershipTerm | None:
        """Return our term if the current record is a renewal of our own.

        The write of that renewal was abandoned without a known outcome, but
        the service applied it.
        """
        if current is None:
            return None
        owner_record = codec.unpack(configurations.OwnerRecord, current.value)
        if (owner_record.owner, owner_record.epoch) != (
            self._entry_name,
            term.epoch,
        ):
            self._configuration.apply_record(current, self._read_clock())
            return None
        return dataclasses.replace(term, record=current)

    async def _replace_record(
        self,
        data_centre: str,
        expected: store.Record | None,
        new_owner_record: configurations.OwnerRecord,
    ) -> OwnershipTerm | None:
        """Replace the expected owner record by a new one."""
        outcome = await self._store_client.compare_and_swap(
            self._build_key(data_centre), expected, codec.pack(new_owner_record)
        )
        if isinstance(outcome, store.Committed):
            self._configuration.apply_record(outcome.record, self._read_clock())
            return OwnershipTerm(
                data_centre, new_owner_record.epoch, outcome.record
            )
        if isinstance(outcome, store.Conflict) and outcome.current is not None:
            self._configuration.apply_record(
                outcome.current, self._read_clock()
            )
        return None

    def _build_key(self, data_centre: str) -> str:
        return self._configuration.owners_prefix + data_centre

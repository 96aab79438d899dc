"""Tracks the owner of each pool and when this entry may take one over.

This module does no I/O: the entry passes in what its watch and its peers
report, and asks whether it may try to become owner.
"""

from collections.abc import Callable
import dataclasses

from crocusrouter.pools import members
from crocusrouter.pools import owner_leases
from crocusrouter.pools import ranking
from crocusrouter.telemetry import log

# Delay per rank of a candidate, so that one write settles most elections.
_RANK_DELAY_S = 0.12
# When all entries start for the first time, they register within some tenths of
# a second. An entry that knows no other can't tell yet whether a larger VM
# exists.
_SINGLE_CANDIDATE_DELAY_S = 0.6


@dataclasses.dataclass(frozen=True)
class Owner:
    """An owner under an epoch.

    Attributes:
        name: The entry; empty if the pool currently has none.
        epoch: The latest epoch that was reported.
    """

    name: str
    epoch: int


_NO_OWNER = Owner("", 0)


class OwnerTable:
    """Tracks the owners of all pools as far as this entry knows them."""

    def __init__(
        self,
        own_holder: owner_leases.Holder,
        on_replaced: Callable[[str, int], None],
    ) -> None:
        """Start without any owner.

        Args:
            own_holder: How this process identifies itself in owner keys.
            on_replaced: Called with a pool and the epoch of its new owner.
        """
        self._own_holder = own_holder
        self._on_replaced = on_replaced
        self._owners: dict[str, Owner] = {}
        self._earliest_attempts: dict[str, float] = {}
        self._replaceable_revisions: dict[str, int] = {}

    def find_owner(self, pool: str) -> str | None:
        """Return the name of a pool's owner, or None."""
        return self._owners.get(pool, _NO_OWNER).name or None

    def list_names(self) -> set[str]:
        """Return the names of all owners."""
        return {owner.name for owner in self._owners.values() if owner.name}

    def list_heartbeat_rows(self) -> tuple[tuple[str, int, str], ...]:
        """Return pool, epoch and owner name of each pool, as in heartbeats."""
        return tuple(
            (pool, owner.epoch, owner.name)
            for pool, owner in self._owners.items()
        )

    def apply_owner_key(self, pool: str, value: bytes, revision: int) -> None:
        """Apply an owner key; note one that our VM's earlier process left.

        Without this, after all VMs had lost power, the restarted owner waited
        up to 1.8 s for its own earlier lease to end.
        """
        holder = owner_leases.parse_holder(value)
        self._replaceable_revisions.pop(pool, None)
        if holder.is_predecessor_of(self._own_holder):
            self._replaceable_revisions[pool] = revision
        self.note_owner(pool, holder.name, revision)

    def note_owner(self, pool: str, name: str, epoch: int) -> None:
        """Record an owner reported by the store or a peer; the latest wins."""
        if epoch < self._owners.get(pool, _NO_OWNER).epoch:
            return
        log("owner:known", pool=pool, owner=name, epoch=epoch)
        self._owners[pool] = Owner(name, epoch)
        self._on_replaced(pool, epoch)

    def apply_heartbeat_rows(
        self, rows: tuple[tuple[str, int, str], ...]
    ) -> None:
        """Apply the newer owners of a peer's heartbeat."""
        for pool, epoch, name in rows:
            if name and epoch > self._owners.get(pool, _NO_OWNER).epoch:
                self.note_owner(pool, name, epoch)

    def note_vacant(self, pool: str, now: float) -> None:
        """Record that a pool's owner key has been removed."""
        log("owner:vacant", pool=pool, before=self.find_owner(pool))
        self.forget_owner(pool)
        self._replaceable_revisions.pop(pool, None)
        self._earliest_attempts[pool] = now

    def forget_owner(self, pool: str) -> None:
        """Record that a pool has no reachable owner; its epoch is kept."""
        known_owner = self._owners.get(pool, _NO_OWNER)
        self._owners[pool] = dataclasses.replace(known_owner, name="")

    def note_attempt(self, pool: str, now: float) -> None:
        """Record our attempt to take a pool; others may try for one lease."""
        self._earliest_attempts[pool] = now + owner_leases.TTL_S

    def find_replaceable_revision(self, pool: str) -> int:
        """Return the revision of a replaceable owner key; 0 for none."""
        return self._replaceable_revisions.get(pool, 0)

    def may_take(
        self, pool: str, candidates: dict[str, members.Member], now: float
    ) -> bool:
        """Return whether this entry may try to take a pool now.

        Args:
            pool: Name of the pool.
            candidates: All entries that could take it, including this one.
            now: Steady time in seconds.
        """
        if pool in self._replaceable_revisions:
            return True
        if self.find_owner(pool) is not None:
            return False
        earliest_attempt = self._earliest_attempts.setdefault(pool, now)
        rank = ranking.rank_candidates(pool, candidates).index(
            self._own_holder.name
        )
        wait_s = rank * _RANK_DELAY_S
        if len(candidates) == 1:
            wait_s = _SINGLE_CANDIDATE_DELAY_S
        return now >= earliest_attempt + wait_s

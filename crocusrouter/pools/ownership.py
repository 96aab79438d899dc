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
# An owner that only peers have reported is doubted after this long. Peers
# repeat what they have heard, also of an owner whose key is gone; an entry that
# has started since has no watch event of the removal.
_CONFIRMATION_TIMEOUT_S = 3 * owner_leases.TTL_S


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
        # Since when an owner is known from peers alone.
        self._unconfirmed_since: dict[str, float] = {}

    def find_owner(self, pool: str) -> str | None:
        """Return the name of a pool's owner, or None."""
        return self._owners.get(pool, _NO_OWNER).name or None

    def find_epoch(self, pool: str) -> int:
        """Return the latest known epoch of a pool; 0 if none is known."""
        return self._owners.get(pool, _NO_OWNER).epoch

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
        """Record an owner whose key is stored; the latest wins."""
        self._note_owner(pool, name, epoch, None)

    def _note_owner(
        self, pool: str, name: str, epoch: int, reported_at: float | None
    ) -> None:
        """Record an owner reported by the store or a peer; the latest wins.

        Args:
            pool: The pool.
            name: The owner.
            epoch: Its epoch.
            reported_at: Steady time at which a peer reported it; None if it is
                confirmed.
        """
        if epoch < self._owners.get(pool, _NO_OWNER).epoch:
            return
        if reported_at is None:
            self._unconfirmed_since.pop(pool, None)
        else:
            self._unconfirmed_since[pool] = reported_at
        log("owner:known", pool=pool, owner=name, epoch=epoch)
        self._owners[pool] = Owner(name, epoch)
        self._on_replaced(pool, epoch)

    def apply_heartbeat_rows(
        self, rows: tuple[tuple[str, int, str], ...], now: float
    ) -> None:
        """Apply the newer owners of a peer's heartbeat.

        Args:
            rows: Pool, epoch and owner's name.
            now: Steady time in seconds.
        """
        for pool, epoch, name in rows:
            if name and epoch > self._owners.get(pool, _NO_OWNER).epoch:
                self._note_owner(pool, name, epoch, now)

    def note_vacant(self, pool: str, now: float) -> None:
        """Record that a pool's owner key has been removed."""
        log("owner:vacant", pool=pool, before=self.find_owner(pool))
        self.forget_owner(pool)
        self._replaceable_revisions.pop(pool, None)
        self._earliest_attempts[pool] = now

    def forget_owner(self, pool: str) -> None:
        """Record that a pool has no reachable owner; its epoch is kept."""
        self._unconfirmed_since.pop(pool, None)
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
        # An attempt does no harm if the owner exists after all: it requires
        # that there is no owner key.
        has_owner = self.find_owner(pool) is not None
        if has_owner and not self._is_doubtful(pool, now):
            return False
        earliest_attempt = self._earliest_attempts.setdefault(pool, now)
        rank = ranking.rank_candidates(pool, candidates).index(
            self._own_holder.name
        )
        wait_s = rank * _RANK_DELAY_S
        if len(candidates) == 1:
            wait_s = _SINGLE_CANDIDATE_DELAY_S
        return now >= earliest_attempt + wait_s

    def _is_doubtful(self, pool: str, now: float) -> bool:
        """Tell whether a pool's owner has been known from peers alone long."""
        since = self._unconfirmed_since.get(pool)
        return since is not None and now >= since + _CONFIRMATION_TIMEOUT_S

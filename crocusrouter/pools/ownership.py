"""Who owns which pool as one entry knows it, and when it may try itself.

Nothing here does I/O: the entry tells what its watch and its peers say, and
asks whether it is its turn.
"""

from collections.abc import Callable
import dataclasses

from crocusrouter.pools import members
from crocusrouter.pools import owner_leases
from crocusrouter.pools import ranking
from crocusrouter.telemetry import log

# Candidates take turns, so that one write settles most elections.
_RANK_DELAY_S = 0.12
# At the first start of all, entries register within some tenths of a second;
# one that knows no other can't tell yet whether a larger VM is there.
_ALONE_DELAY_S = 0.6


@dataclasses.dataclass(frozen=True)
class Owner:
    """An owner under an epoch.

    Attributes:
        name: The entry; empty if the pool has none any more.
        epoch: The latest one that was heard of.
    """

    name: str
    epoch: int


_NOBODY = Owner("", 0)


class OwnerTable:
    """The owners of all pools, as far as they were heard of."""

    def __init__(
        self, ours: owner_leases.Holder, replaced: Callable[[str, int], None]
    ) -> None:
        """Begin with none.

        Args:
            ours: How this process names itself in owners' keys.
            replaced: Called with a pool and the epoch of its new owner.
        """
        self._ours = ours
        self._replaced = replaced
        self._owners: dict[str, Owner] = {}
        self._vacant_since: dict[str, float] = {}
        self._left_behind: dict[str, int] = {}

    def find_owner(self, pool: str) -> str | None:
        """Return the name of a pool's owner, or None."""
        return self._owners.get(pool, _NOBODY).name or None

    def list_names(self) -> set[str]:
        """Return the names of all owners."""
        return {owner.name for owner in self._owners.values() if owner.name}

    def list_rows(self) -> tuple[tuple[str, int, str], ...]:
        """Return pool, epoch and name of each, as heartbeats tell them."""
        return tuple(
            (pool, owner.epoch, owner.name)
            for pool, owner in self._owners.items()
        )

    def take_key(self, pool: str, value: bytes, revision: int) -> None:
        """Take an owner's key, and note one that our VM has left behind.

        After all VMs had lost power, the one that came back as owner waited
        for its own lease of before, up to 1.8 s.
        """
        holder = owner_leases.parse_holder(value)
        self._left_behind.pop(pool, None)
        if holder.is_predecessor_of(self._ours):
            self._left_behind[pool] = revision
        self.note_owner(pool, holder.name, revision)

    def note_owner(self, pool: str, name: str, epoch: int) -> None:
        """Take an owner's name from the store or a peer; the latest wins."""
        if epoch < self._owners.get(pool, _NOBODY).epoch:
            return
        log("owner:known", pool=pool, owner=name, epoch=epoch)
        self._owners[pool] = Owner(name, epoch)
        self._replaced(pool, epoch)

    def take_rows(self, rows: tuple[tuple[str, int, str], ...]) -> None:
        """Take what a peer's heartbeat says, where it is newer."""
        for pool, epoch, name in rows:
            if name and epoch > self._owners.get(pool, _NOBODY).epoch:
                self.note_owner(pool, name, epoch)

    def note_vacant(self, pool: str, now: float) -> None:
        """Note that a pool's owner key has gone."""
        log("owner:vacant", pool=pool, before=self.find_owner(pool))
        self.forget_owner(pool)
        self._left_behind.pop(pool, None)
        self._vacant_since[pool] = now

    def forget_owner(self, pool: str) -> None:
        """Note that a pool has no owner that could be asked."""
        known = self._owners.get(pool, _NOBODY)
        self._owners[pool] = dataclasses.replace(known, name="")

    def note_tried(self, pool: str, now: float) -> None:
        """Leave others a tenure's time after we have tried to take a pool."""
        self._vacant_since[pool] = now + owner_leases.TTL_S

    def find_left_behind(self, pool: str) -> int:
        """Return the revision of a key that may be replaced; 0 for none."""
        return self._left_behind.get(pool, 0)

    def may_take(
        self, pool: str, candidates: dict[str, members.Member], now: float
    ) -> bool:
        """Tell whether it is our turn to take a pool.

        Args:
            pool: Which.
            candidates: All entries that might, we among them.
            now: Steady time in seconds.
        """
        if pool in self._left_behind:
            return True
        if self.find_owner(pool) is not None:
            return False
        since = self._vacant_since.setdefault(pool, now)
        rank = ranking.rank_candidates(pool, candidates).index(self._ours.name)
        wait_s = rank * _RANK_DELAY_S
        if len(candidates) == 1:
            wait_s = _ALONE_DELAY_S
        return now >= since + wait_s

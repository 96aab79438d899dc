"""Finds out until when no other entry can have succeeded a pool's owner.

An owner whose lease is no longer valid may have a successor that it does not
hear of. Any other member may be that successor, so all of them must attest that
they are not. Answers of some members prove nothing: the owner may be cut off
together with them. A successor that the owner does not ask waits for longer
(`predecessors`).
"""

from collections.abc import Callable
from collections.abc import Collection

from crocusrouter.mesh import messages
from crocusrouter.pools import lease_contract
from crocusrouter.pools import owner_leases


class Attestations:
    """Answers of the other members about one pool, while an entry owns it."""

    def __init__(
        self,
        owner_lease: owner_leases.OwnerLease,
        list_attesters: Callable[[], Collection[str]],
    ) -> None:
        """Start without any answer.

        Args:
            owner_lease: The lease and epoch under which the entry owns it.
            list_attesters: Returns the names of the members that must attest;
                none if the owner must rely on its own lease.
        """
        self._owner_lease = owner_lease
        self._list_attesters = list_attesters
        self._attested_at: dict[str, float] = {}
        # All that had to attest since the lease was renewed last. Without the
        # store, an entry that ends and one that registers again look alike.
        self._asked: set[str] = set()
        self._asked_since = owner_lease.valid_until

    def note_answer(self, heartbeat: messages.Beat, asked_at: float) -> None:
        """Record a member's answer; one with a later owner proves nothing.

        An earlier process of the member may have been a successor. It has
        ended, so it will count no lease as ended any more, and what it had
        counted has ended.

        Args:
            heartbeat: The answer.
            asked_at: Steady time at which it was requested.
        """
        if any(
            pool == self._owner_lease.pool and epoch > self._owner_lease.epoch
            for pool, epoch, _ in heartbeat.owners
        ):
            return
        known_at = self._find_attested_at(heartbeat.name)
        self._attested_at[heartbeat.name] = max(known_at, asked_at)

    def find_unsucceeded_at(self) -> float:
        """Return the latest time at which certainly no successor existed.

        One that has ended since doesn't count.
        """
        if self._asked_since != self._owner_lease.valid_until:
            self._asked_since = self._owner_lease.valid_until
            self._asked = set()
        attesters = set(self._list_attesters())
        if not attesters:
            return self._owner_lease.valid_until
        self._asked |= attesters
        attested_at = (self._find_attested_at(name) for name in self._asked)
        return min(attested_at)

    def may_renew(self, now: float) -> bool:
        """Return whether worker leases may be renewed."""
        return lease_contract.may_renew(
            self._owner_lease.valid_until, self.find_unsucceeded_at(), now
        )

    def _find_attested_at(self, name: str) -> float:
        """Return when a member was last known not to own the pool."""
        return max(
            self._owner_lease.valid_until,
            self._attested_at.get(name, float("-inf")),
        )

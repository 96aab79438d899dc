"""A lease of the store that several short-lived keys share."""

from crocusrouter.store import key_value

# Longer than an unanswered write can take to be carried out, and than callers
# repeat a call.
MIN_LIFETIME_S = 60.0
# Keys of this time share one lease, so few leases are granted.
_SHARING_S = 60.0


class SharedLease:
    """Grants a new lease once the present one would end too soon."""

    def __init__(self, store: key_value.KeyValueStore) -> None:
        self._store = store
        self._lease = 0
        self._usable_until = 0.0

    async def obtain(self, now: float) -> int:
        """Return a lease that lasts for at least `MIN_LIFETIME_S` from now.

        Args:
            now: Steady time in seconds.

        Raises:
            StoreUnavailableError: The store granted no lease.
        """
        if self._lease and now < self._usable_until:
            return self._lease
        lease = await self._store.grant_lease(MIN_LIFETIME_S + _SHARING_S)
        self._lease, self._usable_until = lease, now + _SHARING_S
        return lease

    def discard(self, lease: int) -> None:
        """Use a lease no longer, since the store has ended it."""
        if lease == self._lease:
            self._lease = 0

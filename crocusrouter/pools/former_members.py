"""Entries that are no longer registered and may still run.

The key of an entry expires while the store does not serve it. It may register
again and succeed an owner that hears nothing of either, so that owner has to go
on asking it (`attestations`).
"""

from collections.abc import Mapping

from crocusrouter.pools import lease_contract


class FormerMembers:
    """All former members that may still run.

    Every entry sends heartbeats to the owners of the pools, so an owner hears
    of a running entry each second. One that it has not heard for longer than
    worker leases last counts as ended. Other entries hear of some only.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}

    def note_heard(self, name: str, now: float) -> None:
        """Record a message of an entry, which may be a present member.

        Args:
            name: Name of the entry.
            now: Steady time in seconds.
        """
        self._heard_at[name] = max(now, self._heard_at.get(name, now))

    def note_removed(
        self, name: str, address: str, now: float, *, is_owner: bool
    ) -> None:
        """Record that a member's key is gone.

        Args:
            name: Name of the entry.
            address: "IP:port" of its mesh listener.
            now: Steady time in seconds.
            is_owner: Whether this entry owns a pool.
        """
        self._addresses[name] = address
        if not is_owner or name not in self._heard_at:
            self.note_heard(name, now)

    def note_registered(self, name: str) -> None:
        """Record that an entry is a member again."""
        self._addresses.pop(name, None)

    def is_empty(self) -> bool:
        """Return whether there is none."""
        return not self._addresses

    def list_addresses(self, now: float) -> Mapping[str, str]:
        """Return the addresses of those that may still run, by name.

        Args:
            now: Steady time in seconds.
        """
        for name in list(self._addresses):
            if lease_contract.have_unfenced_ended(self._heard_at[name], now):
                del self._addresses[name]
                del self._heard_at[name]
        return dict(self._addresses)

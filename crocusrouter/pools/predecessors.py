"""Decides when no earlier owner of a pool renews leases of workers any more.

An owner that the key-value service no longer answers goes on renewing while
members attest that they have not succeeded it. A successor that is one of these
members ends that by its own answers. Any other successor needs one of them to
confirm that it attests to the predecessor no more, and to go on running until
the predecessor's leases have ended.

This module does no I/O: `attester_record` loads what earlier owners have
recorded and asks the members.
"""

from collections.abc import Collection
import dataclasses

from crocusrouter.mesh import messages
from crocusrouter.pools import lease_contract


@dataclasses.dataclass(frozen=True)
class Attester:
    """An entry that attests to an owner.

    Attributes:
        name: Name of the entry.
        address: "IP:port" of its mesh listener.
    """

    name: str
    address: str


@dataclasses.dataclass(frozen=True)
class Predecessor:
    """An earlier owner and who has to attest to it.

    Attributes:
        epoch: Its epoch; 0 if unknown.
        attesters: The members that it asks, and itself; none if unknown.
    """

    epoch: int
    attesters: frozenset[Attester]


UNKNOWN = Predecessor(0, frozenset())


@dataclasses.dataclass(frozen=True)
class _Confirmation:
    """Answers of one process of a member.

    Attributes:
        process: Id of the process.
        since: When its first answer had arrived.
        asked_at: When its latest answer was requested.
    """

    process: str
    since: float
    asked_at: float


class Predecessors:
    """The earlier owners of a pool that may still renew leases."""

    def __init__(self, own: Attester, epoch: int, owned_since: float) -> None:
        """Start without knowledge of any; `set_recorded` follows.

        Args:
            own: The present owner.
            epoch: Its epoch.
            owned_since: Steady time at which it began, or later.
        """
        self._own = own
        self._epoch = epoch
        self._owned_since = owned_since
        self._unsettled: tuple[Predecessor, ...] = (UNKNOWN,)
        self._confirmations: dict[str, _Confirmation] = {}

    def set_recorded(self, recorded: Collection[Predecessor]) -> None:
        """Note the earlier owners that the record names.

        An owner that is not recorded never renews beyond its owner lease.
        """
        self._unsettled = tuple(recorded)

    def list_unsettled(self, now: float) -> tuple[Predecessor, ...]:
        """Return those that may still renew leases, or whose leases may last.

        Args:
            now: Steady time in seconds.
        """
        self._unsettled = tuple(
            predecessor
            for predecessor in self._unsettled
            if not self._is_settled(predecessor, now)
        )
        return self._unsettled

    def have_ended(self, now: float) -> bool:
        """Return whether all leases of earlier owners have ended.

        Args:
            now: Steady time in seconds.
        """
        return not self.list_unsettled(now)

    def list_askable(self, now: float) -> set[str]:
        """Return the names of the members whose confirmation is needed.

        Args:
            now: Steady time in seconds.
        """
        return {
            attester.name
            for predecessor in self.list_unsettled(now)
            if self._own not in predecessor.attesters
            for attester in predecessor.attesters
        }

    def note_confirmed(
        self,
        name: str,
        reply: messages.OwnerConfirmed,
        asked_at: float,
        now: float,
    ) -> None:
        """Record that a member attests to no earlier owner any more.

        A new process of the member knows nothing of earlier confirmations.

        Args:
            name: The member.
            reply: Its answer.
            asked_at: Steady time at which the answer was requested.
            now: Steady time in seconds.
        """
        if reply.epoch < self._epoch:
            return
        known = self._confirmations.get(name)
        since = now
        if known is not None and known.process == reply.process:
            since = known.since
            asked_at = max(asked_at, known.asked_at)
        self._confirmations[name] = _Confirmation(
            reply.process, since, asked_at
        )

    def _is_settled(self, predecessor: Predecessor, now: float) -> bool:
        if lease_contract.have_attested_ended(self._owned_since, now):
            return True
        if self._own in predecessor.attesters:
            return lease_contract.have_unfenced_ended(self._owned_since, now)
        confirmations = (
            self._confirmations.get(attester.name)
            for attester in predecessor.attesters
        )
        return any(
            lease_contract.have_unfenced_ended(
                confirmation.since, confirmation.asked_at
            )
            for confirmation in confirmations
            if confirmation is not None
        )

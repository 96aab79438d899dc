"""How long a worker's tasks can live without another renewal."""

import dataclasses

_SUSPECT_SHARE = 2 / 3
_LAPSE_FACTOR = 2
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(frozen=True)
class Lease:
    """The lease on everything that one worker runs for us.

    Attributes:
        lease_s: How long tasks live after a renewal.
        answered_at: When the last renewal was answered, on our own clock.
            Before the first answer, when this owner took over.
    """

    lease_s: float
    answered_at: float


def is_suspect(lease: Lease, now: float) -> bool:
    """Tell whether renewals have gone unanswered for most of a lease.

    Gangs end here rather than at the lapse: the other members are stopped
    while the silent one may still run, so none of them runs on after it.

    >>> is_suspect(Lease(6.0, answered_at=0.0), now=4.1)
    True
    """
    return now - lease.answered_at > _SUSPECT_SHARE * lease.lease_s


def has_lapsed(lease: Lease, now: float) -> bool:
    """Tell whether the worker's tasks have certainly stopped.

    At most one renewal is under way unanswered. It can arrive as late as the
    end of the lease before it and then extends that by one lease, so two
    leases after the last answer nothing can still run.

    >>> has_lapsed(Lease(6.0, answered_at=0.0), now=11.9)
    False
    >>> has_lapsed(Lease(6.0, answered_at=0.0), now=12.1)
    True
    """
    return now - lease.answered_at > _LAPSE_FACTOR * lease.lease_s

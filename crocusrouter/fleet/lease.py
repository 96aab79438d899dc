"""The lease of a worker's tasks, and when they have certainly ended."""

import dataclasses

_SUSPECT_AFTER_LEASES = 2 / 3
_LAPSE_AFTER_LEASES = 2
# Workers measure leases on steady clocks of their own, which run at this share
# of full speed at least.
_MIN_CLOCK_RATE = 0.98
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(frozen=True)
class Lease:
    """The lease on all tasks that one worker runs for this owner.

    Attributes:
        lease_s: How long tasks run on after a renewal, on the worker's clock.
        answered_at: When the last renewal was answered, on our own clock;
            before the first answer, when this owner took over.
    """

    lease_s: float
    answered_at: float


def is_suspect(lease: Lease, now: float) -> bool:
    """Tell whether renewals have gone unanswered for most of a lease.

    A gang with a member on a suspected worker is ended already now, not only
    when the lease lapses. Its other members are stopped while the silent one
    may still run, so none of them outlives it.

    >>> is_suspect(Lease(6.0, answered_at=0.0), now=4.1)
    True
    """
    return now - lease.answered_at > _SUSPECT_AFTER_LEASES * lease.lease_s


def has_lapsed(lease: Lease, now: float) -> bool:
    """Tell whether the worker's tasks have certainly stopped.

    At most one renewal is unanswered at a time. It may reach the worker as
    late as the end of the lease that was answered last, and then extends it by
    one more lease. Two leases on the slowest clock after the last answer, no
    task can still run.

    >>> has_lapsed(Lease(6.0, answered_at=0.0), now=12.2)
    False
    >>> has_lapsed(Lease(6.0, answered_at=0.0), now=12.3)
    True
    """
    longest_s = _LAPSE_AFTER_LEASES * lease.lease_s / _MIN_CLOCK_RATE
    return now - lease.answered_at > longest_s

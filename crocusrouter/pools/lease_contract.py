"""The contract of worker leases between an owner and its successors.

An owner that has lost touch with the key-value service can't tell whether
another entry has succeeded it, and a successor can't ask workers that it does
not reach. Both rely on these rules:

1.  Length: a lease ends at most `LEASE_S` after it was sent, on the worker's
    clock. That clock runs at `MIN_CLOCK_RATE` of full speed at least.
2.  Renewal: an owner sends leases until `RENEWAL_GRACE_S` after the latest time
    at which certainly no successor existed that still runs. Its own owner lease
    proves that while it is valid. Afterwards attestations of all other members
    do, for `MAX_ATTESTED_S` at most.
3.  Fencing: a worker that has answered a call of an owner takes no lease of an
    earlier owner. At that answer, leases of earlier owners end at most
    `LEASE_S` ahead on the worker's clock.
4.  End: an owner counts the leases of earlier owners as ended when rule 3 says
    so, or, on a worker that has not answered, when rules 1 and 2 do. An earlier
    owner that asks this one for attestations has none from then on. Any other
    earlier owner has none once a member that it asks has confirmed that; else
    its renewals end by `MAX_ATTESTED_S`.
5.  Late starts: a start without an answer is carried out within
    `MAX_START_DELAY_S`, if at all, maybe by the worker's next process. That
    process has another clock, but grants no lease of more than `MAX_GRANT_S`.

Times without a unit in their names are seconds of a steady clock.
"""

# How long tasks run without a renewal. The lease outlasts a takeover (about 2.5
# s) and a power loss of all entries (about 4.5 s). An unreachable worker delays
# the tasks that it had by no more than this and the grace time.
LEASE_S = 6.0
RENEWAL_GRACE_S = 1.5
# An outage of the key-value service of 20 s is borne.
MAX_ATTESTED_S = 18.0
MIN_CLOCK_RATE = 0.98
SAFETY_MARGIN_S = 0.05
MAX_START_DELAY_S = 15.0
MAX_GRANT_S = 10.0
# From when a start was sent to the end of its run, if it was carried out late
# and no lease was sent since.
MAX_LATE_RUN_S = (
    MAX_START_DELAY_S + MAX_GRANT_S / MIN_CLOCK_RATE + SAFETY_MARGIN_S
)
_LEASE_MS = LEASE_S * 1000
_SAFETY_MARGIN_MS = SAFETY_MARGIN_S * 1000


def estimate_earliest_clock(clock_ms: float, passed_s: float) -> float:
    """Return the least that a worker's clock can show by now.

    Args:
        clock_ms: An earlier reading, in milliseconds.
        passed_s: Seconds since that reading arrived.
    """
    return clock_ms + passed_s * 1000 * MIN_CLOCK_RATE


def compute_lease_end(earliest_clock_ms: float) -> float:
    """Return the end of a lease that is sent now, on the worker's clock.

    Args:
        earliest_clock_ms: The least that the worker's clock can show by now.
    """
    return earliest_clock_ms + _LEASE_MS


def compute_fenced_end(clock_ms: float) -> float:
    """Return when leases of earlier owners have ended, on the worker's clock.

    Args:
        clock_ms: Reading of the worker's clock in its first answer to the
            present owner.
    """
    return clock_ms + _LEASE_MS


def has_ended(end_ms: float, earliest_clock_ms: float) -> bool:
    """Return whether a lease has certainly ended.

    Args:
        end_ms: Its end on the worker's clock.
        earliest_clock_ms: The least that the worker's clock can show by now.
    """
    return earliest_clock_ms > end_ms + _SAFETY_MARGIN_MS


def may_renew(valid_until: float, unsucceeded_at: float, now: float) -> bool:
    """Return whether an owner may send leases.

    Args:
        valid_until: End of the owner lease.
        unsucceeded_at: Latest time at which certainly no successor existed.
        now: Present time.
    """
    return now < min(
        unsucceeded_at + RENEWAL_GRACE_S, valid_until + MAX_ATTESTED_S
    )


def have_unfenced_ended(owned_since: float, now: float) -> bool:
    """Return whether leases of earlier owners have ended without an answer.

    Args:
        owned_since: When the present owner began, or later.
        now: Present time.

    >>> have_unfenced_ended(0.0, 7.5), have_unfenced_ended(0.0, 7.8)
    (False, True)
    """
    longest_s = RENEWAL_GRACE_S + LEASE_S / MIN_CLOCK_RATE
    return now > owned_since + longest_s + SAFETY_MARGIN_S


def have_attested_ended(owned_since: float, now: float) -> bool:
    """Return whether no lease of an earlier owner can be left anywhere.

    This holds whatever members attest to that owner.

    Args:
        owned_since: When the present owner began, or later.
        now: Present time.

    >>> have_attested_ended(0.0, 24.1), have_attested_ended(0.0, 24.2)
    (False, True)
    """
    longest_s = MAX_ATTESTED_S + LEASE_S / MIN_CLOCK_RATE
    return now > owned_since + longest_s + SAFETY_MARGIN_S


def have_late_starts_ended(owned_since: float, now: float) -> bool:
    """Return whether nothing that an earlier owner has ordered can go on.

    That includes starts carried out late by processes of which neither owner
    knew at that time.

    Args:
        owned_since: When the present owner began, or later.
        now: Present time.

    >>> have_late_starts_ended(0.0, 26.7), have_late_starts_ended(0.0, 26.8)
    (False, True)
    """
    return have_attested_ended(owned_since, now) and (
        now > owned_since + RENEWAL_GRACE_S + MAX_LATE_RUN_S
    )

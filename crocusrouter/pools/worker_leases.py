"""Tracks a worker's clock and the end of the lease of its runs.

Times are in seconds of our steady clock unless a name says milliseconds. How
long leases may be, and when they count as ended, is in `lease_contract`.
"""

import dataclasses

from crocusrouter.pools import lease_contract

# A reading of this age shortens a lease by 1.2 s.
_MAX_READING_AGE_S = 60.0


@dataclasses.dataclass
class WorkerLease:
    """What the owner knows of one worker's clock and lease.

    Attributes:
        opened_at: When this owner began, or later.
        clock_ms: Latest reading of the worker's clock; None if there is none.
        heard_at: When that reading arrived.
        until_ms: Latest end of a lease that we have sent, on its clock; 0 if
            there is none.
        fenced_end_ms: When the leases of earlier owners have ended, on its
            clock; None until it has answered.
    """

    opened_at: float
    clock_ms: float | None = None
    heard_at: float = 0.0
    until_ms: float = 0.0
    fenced_end_ms: float | None = None

    def note(self, clock_ms: float | None, now: float) -> None:
        """Record the clock reading of an answer to this owner."""
        if not clock_ms:
            return
        if self.fenced_end_ms is None:
            self.fenced_end_ms = lease_contract.compute_fenced_end(clock_ms)
        if self.clock_ms is None or clock_ms >= self._estimate_earliest_ms(now):
            self.clock_ms = float(clock_ms)
            self.heard_at = now

    def extend(self, now: float) -> int | None:
        """Return the end of a new lease in the worker's milliseconds.

        It is at most `lease_contract.LEASE_S` ahead of the worker's clock, and
        less by the uncertainty of a reading that is not recent.
        """
        if self.clock_ms is None:
            return None
        until = lease_contract.compute_lease_end(
            self._estimate_earliest_ms(now)
        )
        self.until_ms = max(self.until_ms, until)
        return int(until)

    def has_old_reading(self, now: float) -> bool:
        """Return whether a lease would be clearly shorter than usual."""
        return (
            self.clock_ms is not None
            and now > self.heard_at + _MAX_READING_AGE_S
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether no run leased by us or an earlier owner can go on.

        >>> lease = WorkerLease(opened_at=0.0)
        >>> lease.has_lapsed(7.0), lease.has_lapsed(8.0)
        (False, True)
        """
        return self._has_own_lease_ended(now) and self._have_earlier_ended(now)

    def _has_own_lease_ended(self, now: float) -> bool:
        return not self.until_ms or lease_contract.has_ended(
            self.until_ms, self._estimate_earliest_ms(now)
        )

    def _have_earlier_ended(self, now: float) -> bool:
        """Return whether the leases of earlier owners have ended."""
        if lease_contract.have_unfenced_ended(self.opened_at, now):
            return True
        return self.fenced_end_ms is not None and lease_contract.has_ended(
            self.fenced_end_ms, self._estimate_earliest_ms(now)
        )

    def _estimate_earliest_ms(self, now: float) -> float:
        """Return the worker's time by now if its clock runs slow."""
        assert self.clock_ms is not None
        return lease_contract.estimate_earliest_clock(
            self.clock_ms, now - self.heard_at
        )

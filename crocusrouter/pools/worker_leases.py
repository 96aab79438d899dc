"""Tracks a worker's clock and the end of the lease of its runs.

A worker measures leases on its own clock, which may run 2% slow. Times are in
seconds of our steady clock unless a name says milliseconds.
"""

import dataclasses

# How long tasks run without a renewal. The lease outlasts a takeover (about 2.5
# s) and a power loss of all entries (about 4.5 s). An unreachable worker delays
# the tasks that it had by no more than this.
LEASE_S = 6.0
_MIN_CLOCK_RATE = 0.98
_SAFETY_MARGIN_MS = 50.0
# A reading of this age shortens a lease by 1.2 s.
_MAX_READING_AGE_S = 60.0
# An earlier owner may have renewed the lease for this long after its successor
# began, until a heartbeat or a fence informed it.
_PREDECESSOR_RENEWAL_S = 1.5


@dataclasses.dataclass
class WorkerLease:
    """What the owner knows of one worker's clock and lease.

    Attributes:
        opened_at: When this owner began.
        clock_ms: Latest reading of the worker's clock; None if there is none.
        heard_at: When that reading arrived.
        until_ms: Latest end of a lease that we have sent, on its clock.
    """

    opened_at: float
    clock_ms: float | None = None
    heard_at: float = 0.0
    until_ms: float = 0.0

    def note(self, clock_ms: float | None, now: float) -> None:
        """Record the clock reading of an answer."""
        if not clock_ms:
            return
        if self.clock_ms is None or clock_ms >= self._estimate_earliest_ms(now):
            self.clock_ms = float(clock_ms)
            self.heard_at = now

    def extend(self, now: float) -> int | None:
        """Return the end of a new lease in the worker's milliseconds.

        It is at most `LEASE_S` ahead of the worker's clock, and less by the
        uncertainty of a reading that is not recent.
        """
        if self.clock_ms is None:
            return None
        until = self._estimate_earliest_ms(now) + LEASE_S * 1000
        self.until_ms = max(self.until_ms, until)
        return int(until)

    def has_old_reading(self, now: float) -> bool:
        """Return whether a lease would be clearly shorter than `LEASE_S`."""
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
        if self.clock_ms is None or not self.until_ms:
            limit_s = (LEASE_S + _PREDECESSOR_RENEWAL_S) / _MIN_CLOCK_RATE
            return now > self.opened_at + limit_s
        return (
            self._estimate_earliest_ms(now) > self.until_ms + _SAFETY_MARGIN_MS
        )

    def _estimate_earliest_ms(self, now: float) -> float:
        """Return the worker's time by now if its clock runs slow."""
        assert self.clock_ms is not None
        passed_ms = (now - self.heard_at) * 1000
        return self.clock_ms + passed_ms * _MIN_CLOCK_RATE

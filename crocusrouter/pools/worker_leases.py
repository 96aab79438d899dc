"""Tracks a worker's clock and the end of the lease of its runs.

Times are in seconds of our steady clock unless a name says milliseconds. How
long leases may be, and when they count as ended, is in `lease_contract`.
"""

from collections.abc import Callable
import dataclasses

from crocusrouter.pools import lease_contract

# A reading of this age shortens a lease by 1.2 s.
_MAX_READING_AGE_S = 60.0


@dataclasses.dataclass
class WorkerLease:
    """What the owner knows of one worker's clock and lease.

    Attributes:
        opened_at: When this owner began, or later.
        have_predecessors_ended: Returns whether, at a steady time, no earlier
            owner can have leases left on workers that have not answered.
        clock_ms: Latest reading of the worker's clock; None if there is none.
        heard_at: When that reading arrived.
        latest_end_ms: Latest end of a lease of this owner or an earlier one, on
            the worker's clock; None until the worker has answered.
    """

    opened_at: float
    have_predecessors_ended: Callable[[float], bool]
    clock_ms: float | None = None
    heard_at: float = 0.0
    latest_end_ms: float | None = None

    def note(self, clock_ms: float | None, now: float) -> None:
        """Record the clock reading of an answer to this owner."""
        if not clock_ms:
            return
        if self.latest_end_ms is None:
            self.latest_end_ms = lease_contract.compute_fenced_end(clock_ms)
        if self.clock_ms is None or clock_ms >= self._estimate_earliest_ms(now):
            self.clock_ms = float(clock_ms)
            self.heard_at = now

    def extend(self, now: float) -> int | None:
        """Return the end of a new lease in the worker's milliseconds.

        It is at most `lease_contract.LEASE_S` ahead of the worker's clock, and
        less by the uncertainty of a reading that is not recent.
        """
        if self.clock_ms is None or self.latest_end_ms is None:
            return None
        until = lease_contract.compute_lease_end(
            self._estimate_earliest_ms(now)
        )
        self.latest_end_ms = max(self.latest_end_ms, until)
        return int(until)

    def has_old_reading(self, now: float) -> bool:
        """Return whether a lease would be clearly shorter than usual."""
        return (
            self.clock_ms is not None
            and now > self.heard_at + _MAX_READING_AGE_S
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether no run leased by us or an earlier owner can go on.

        >>> lease = WorkerLease(0.0, have_predecessors_ended=lambda now: True)
        >>> lease.has_lapsed(7.0), lease.has_lapsed(8.0)
        (False, True)
        """
        if self.latest_end_ms is None:
            return lease_contract.have_unfenced_ended(
                self.opened_at, now
            ) and self.have_predecessors_ended(now)
        return lease_contract.has_ended(
            self.latest_end_ms, self._estimate_earliest_ms(now)
        )

    def _estimate_earliest_ms(self, now: float) -> float:
        """Return the worker's time by now if its clock runs slow."""
        assert self.clock_ms is not None
        return lease_contract.estimate_earliest_clock(
            self.clock_ms, now - self.heard_at
        )

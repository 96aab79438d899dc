"""A worker's clock and the lease of all that runs there.

A worker measures leases on its own clock, which may run 2% slow. Times are
in seconds of our steady clock unless a name says milliseconds.
"""

import dataclasses

# How long tasks live without renewal. It outlasts a takeover (about 2.5 s)
# and all entries losing power (about 4.5 s); a worker that can't be reached
# delays the tasks it had by no more than this.
LEASE_S = 6.0
_SLOWEST_CLOCK = 0.98
_MARGIN_MS = 50.0
# An earlier owner may have renewed for this long after its successor began:
# until a heartbeat or a fence told it.
_PREDECESSOR_S = 1.5


@dataclasses.dataclass
class WorkerLease:
    """What is known of one worker's clock and lease.

    Attributes:
        opened_at: When this owner began.
        clock_ms: What the worker's clock said last; None if it never did.
        heard_at: When that arrived.
        until_ms: Latest end of a lease that we have sent, on its clock.
    """

    opened_at: float
    clock_ms: float | None = None
    heard_at: float = 0.0
    until_ms: float = 0.0

    def note(self, clock_ms: float | None, now: float) -> None:
        """Note what the worker's clock said in an answer."""
        if not clock_ms:
            return
        if self.clock_ms is None or clock_ms >= self._read_at_least(now):
            self.clock_ms = float(clock_ms)
            self.heard_at = now

    def extend(self, now: float) -> int | None:
        """Return the end of a fresh lease in the worker's milliseconds."""
        if self.clock_ms is None:
            return None
        until = self.clock_ms + (now - self.heard_at + LEASE_S) * 1000
        self.until_ms = max(self.until_ms, until)
        return int(until)

    def has_lapsed(self, now: float) -> bool:
        """Tell whether nothing that we or an earlier owner leased can run.

        >>> clock = WorkerLease(opened_at=0.0)
        >>> clock.has_lapsed(7.0), clock.has_lapsed(8.0)
        (False, True)
        """
        if self.clock_ms is None or not self.until_ms:
            limit_s = (LEASE_S + _PREDECESSOR_S) / _SLOWEST_CLOCK
            return now > self.opened_at + limit_s
        return self._read_at_least(now) > self.until_ms + _MARGIN_MS

    def _read_at_least(self, now: float) -> float:
        """Return what a slow clock has reached by now."""
        assert self.clock_ms is not None
        passed_ms = (now - self.heard_at) * 1000
        return self.clock_ms + passed_ms * _SLOWEST_CLOCK

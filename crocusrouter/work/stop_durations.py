"""Estimate of how long the workers of a pool take to stop a run."""

import dataclasses

# Estimate before the first stop was seen.
_INITIAL_ESTIMATE_S = 0.4
# Upper limit of a sample. A worker that is cut off ends its runs seconds later,
# which says nothing about the duration of a stop.
_MAX_SAMPLE_S = 3.0
# A slow stop raises the estimate at once; a faster one lowers it by this share
# of the difference.
_DECAY = 0.1


@dataclasses.dataclass
class StopDurations:
    """Seconds from the decision to stop a run until its end is listed.

    The estimate is not kept over a takeover; a new owner learns it from its
    first stops.

    Attributes:
        expected_s: Duration that stops rarely exceed.

    >>> times = StopDurations()
    >>> times.note(0.9)
    >>> times.note(0.4)
    >>> round(times.expected_s, 2)
    0.85
    """

    expected_s: float = _INITIAL_ESTIMATE_S

    def note(self, duration_s: float) -> None:
        """Update the estimate with the duration of one stop."""
        duration_s = min(duration_s, _MAX_SAMPLE_S)
        if duration_s > self.expected_s:
            self.expected_s = duration_s
        else:
            self.expected_s += _DECAY * (duration_s - self.expected_s)

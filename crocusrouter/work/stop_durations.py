"""How long stops take on the workers of a pool, as the owner sees them."""

import dataclasses

# What a stop is taken to need before the first one was seen.
_FIRST_GUESS_S = 0.4
# A worker that is cut off ends its runs seconds later; that is no stop.
_LONGEST_S = 3.0
# A slow stop counts at once; each faster one brings the figure down by this
# share of the difference.
_FADING = 0.1


@dataclasses.dataclass
class StopTimes:
    """Seconds from the decision to stop a run to its listed end.

    Not kept over a takeover: the first stops of a successor tell again.

    Attributes:
        expected_s: What stops hardly ever exceed.

    >>> times = StopTimes()
    >>> times.note(0.9)
    >>> times.note(0.4)
    >>> round(times.expected_s, 2)
    0.85
    """

    expected_s: float = _FIRST_GUESS_S

    def note(self, took_s: float) -> None:
        """Note how long one stop took."""
        took_s = min(took_s, _LONGEST_S)
        if took_s > self.expected_s:
            self.expected_s = took_s
        else:
            self.expected_s += _FADING * (took_s - self.expected_s)

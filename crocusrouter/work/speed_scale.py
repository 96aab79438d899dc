"""Scale of speeds: the median declared run time is right at speed 1."""

import collections
from collections.abc import Iterable
import math
import statistics

from crocusrouter.work import speed_fit

# Steps by which the declared run times are compared with the measured ones.
_MAX_SCALE_STEPS = 64
# Number of steps at which half of the measured factor is applied. Declared
# times are off by a factor of 1.9, so the median of a few says little.
_SCALE_PRIOR_STEPS = 10
# A smaller change of the scale would change all speeds for nothing.
_SCALE_STEP_LOG = math.log(1.1)


class SpeedScale:
    """Compares the declared run times of recent steps with measured ones.

    Attributes:
        log_scale: Logarithm of the fitted speed that is speed 1.
    """

    def __init__(self) -> None:
        self.log_scale = 0.0
        self._old_excesses: collections.deque[float] = collections.deque(
            maxlen=_MAX_SCALE_STEPS
        )

    def add_retired(self, step: speed_fit.StepRates) -> None:
        """Keep what is known of a step that is not fitted any more."""
        excess = step.log_excess
        if excess is not None:
            self._old_excesses.append(excess)

    def update(self, steps: Iterable[speed_fit.StepRates]) -> None:
        """Set the scale from the steps that are fitted and the kept ones."""
        excesses = [
            excess
            for excess in (step.log_excess for step in steps)
            if excess is not None
        ]
        excesses += self._old_excesses
        if not excesses:
            return
        log_scale = statistics.median(excesses) * (
            len(excesses) / (len(excesses) + _SCALE_PRIOR_STEPS)
        )
        if abs(log_scale - self.log_scale) > _SCALE_STEP_LOG:
            self.log_scale = log_scale

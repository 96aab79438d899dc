"""Settings of the stateful fuzzing: the same each time, unless asked."""

from collections.abc import Iterator
import contextlib
import os

import hypothesis
from hypothesis.internal import entropy

_VARIABLE = "CROCUSROUTER_FUZZ_EXAMPLES"


def build_settings(examples: int, steps: int = 50) -> hypothesis.settings:
    """Return settings for a state machine.

    CI runs the same examples each time. `make fuzz` sets the variable to run
    as many fresh ones as wanted. Shrinking is left to `make fuzz`, so that a
    red CI says so at once.
    """
    wanted = int(os.environ.get(_VARIABLE, "0"))
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    return hypothesis.settings(
        max_examples=wanted or examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not wanted,
        database=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@contextlib.contextmanager
def fix_schedule(seed: int = 0) -> Iterator[None]:
    """Let trio run tasks in the same order each time.

    Tasks that become ready together run in an order that trio draws anew in
    each process, so a day of one seed would end in one way here and in another
    there. Importing hypothesis makes the order depend on one generator; this
    seeds it.

    Args:
        seed: Another seed gives another order.
    """
    with entropy.deterministic_PRNG(seed):
        yield

"""Hypothesis settings and scheduling for reproducible stateful tests."""

from collections.abc import Iterator
import contextlib
import os
from unittest import mock

import hypothesis
from hypothesis.internal import entropy
from trio._core import _run as scheduling

_EXAMPLES_VARIABLE = "CROCUSROUTER_FUZZ_EXAMPLES"


def build_settings(examples: int, steps: int = 50) -> hypothesis.settings:
    """Return settings for a state machine.

    CI runs the same examples each time. `make fuzz` sets an environment
    variable to the number of new random examples to run. Shrinking is left to
    `make fuzz`, so that a failing CI run reports its failure at once.
    """
    requested_examples = int(os.environ.get(_EXAMPLES_VARIABLE, "0"))
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    return hypothesis.settings(
        max_examples=requested_examples or examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not requested_examples,
        database=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@contextlib.contextmanager
def fix_schedule(seed: int = 0) -> Iterator[None]:
    """Make trio run tasks in the same order each time.

    Trio runs the tasks that become ready together in random order, so runs of
    the same seed would differ. Importing hypothesis makes the order depend on
    one random generator, which this function seeds. Trio also takes these tasks
    from sets, whose order depends on addresses, unless told to sort them first.

    Args:
        seed: Determines the order.
    """
    with (
        mock.patch.object(scheduling, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        entropy.deterministic_PRNG(seed),
    ):
        yield

"""Checks that no task starts in a data centre that operators have closed."""

import collections
import dataclasses
import math

from crocusrouter import work
from standins.emulator import rules

# Rules that this oracle checks.
RULES = frozenset({rules.Rule.EVAC})

# `evacuate_ms` of the users' sites.
CLOSURE_APPLY_S = 5.0


@dataclasses.dataclass
class _Closure:
    since: float
    until: float = math.inf


@dataclasses.dataclass(frozen=True)
class ObservedStart:
    """A task that a worker has started, as the worker sees it.

    Attributes:
        key: The task.
        at: Time of the start, in seconds.
        worker: The worker.
        data_centre: Where the worker is.
        sender: Entry that sent the order; empty if unknown.
    """

    key: work.TaskKey
    at: float
    worker: str
    data_centre: str
    sender: str = ""


class ClosureOracle:
    """Collects the starts that came too long after a closure.

    Attributes:
        broken: The broken rules, each as one line.
        judged: How many starts came during a closure.
        excused: How many late starts were excused.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.judged = 0
        self.excused = 0
        self._closures: dict[str, list[_Closure]] = collections.defaultdict(
            list
        )

    def note_closed(self, data_centre: str, now: float) -> None:
        """Record that a data centre's closure was confirmed."""
        self._closures[data_centre].append(_Closure(now))

    def note_opened(self, data_centre: str, now: float) -> None:
        """Record that operators opened a data centre."""
        self._closures[data_centre][-1].until = now

    def check_start(
        self, start: ObservedStart, *, is_sender_calm: bool
    ) -> None:
        """Check one start.

        Args:
            start: The start.
            is_sender_calm: Whether neither the sender's process nor its order
                was held up. An entry that the store refuses, or that reaches no
                peer, must stop starting tasks by itself.
        """
        closure = next(
            (
                closure
                for closure in self._closures[start.data_centre]
                if closure.since <= start.at < closure.until
            ),
            None,
        )
        if closure is None:
            return
        self.judged += 1
        closed_s = start.at - closure.since
        if closed_s <= CLOSURE_APPLY_S:
            return
        if not is_sender_calm:
            self.excused += 1
            return
        self.broken.append(
            f"{start.at:.3f} evac: {start.key} on {start.worker}, "
            f"{closed_s:.3f} s after {start.data_centre} was closed"
        )

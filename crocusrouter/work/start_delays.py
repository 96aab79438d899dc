"""Steps that wait although there is room for them, and why.

The planner leaves a step waiting for many reasons: a better place may become
free, others go first, or its last start is not over yet. A job none of whose
tasks run makes no progress meanwhile, so each such wait is recorded with its
cause, and its time counts on when the cause changes.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import enum

from crocusrouter.work import model

# Shorter delays are not logged; most steps that wait at all start before.
_LOGGED_AFTER_S = 1.0
# After a takeover all jobs may wait at once; the lines of one decision, and the
# search for the causes, must not delay the next.
MAX_LINES = 8


class Cause(enum.StrEnum):
    """Why a step with room does not start."""

    RACK = "rack"  # the room is not in its rack, or not in one rack
    HELD_BACK = "held-back"  # free room is left to urgent work
    HELD_WORKERS = "held-workers"  # earlier steps hold the workers with room
    AVOIDED_WORKERS = "avoided-workers"  # the step failed on those with room
    RESERVED_ROOM = "reserved-room"  # or on workers that take no tasks now
    TICKETS = "tickets"  # it has no tickets for workers with room
    TRIAL = "trial"  # it may crash workers, and waits for its next trial
    UNREPORTED_WORKER = "unreported-worker"  # it may run on a silent worker
    UNSAVED_CRASH = "unsaved-crash"  # a crash under it is not journaled yet
    MOVE = "move"  # its job moves to another pool
    GANG_MEMBERS = "gang-members"  # members of its last start are not over
    OTHER = "other"
    UNKNOWN = "unknown"  # not searched for yet; never logged


@dataclasses.dataclass(frozen=True)
class Delay:
    """A step that waits although there is room for it.

    Attributes:
        since: Steady time since which there has been room.
        cause: The present cause.
        logged: The cause that has been logged; None if none has.
    """

    since: float
    cause: Cause
    logged: Cause | None = None

    def needs_cause(self, now: float) -> bool:
        """Tell whether its cause should be found, to be logged."""
        return self.logged is None and now >= self.since + _LOGGED_AFTER_S


class StartDelays:
    """The delays of one pool."""

    def __init__(self) -> None:
        self._delays: dict[model.StepKey, Delay] = {}

    def find(self, key: model.StepKey) -> Delay | None:
        """Return the delay of a step; None if it has none."""
        return self._delays.get(key)

    def measure(self, key: model.StepKey, now: float) -> float:
        """Return for how many seconds a step has waited beside room."""
        delay = self._delays.get(key)
        return now - delay.since if delay is not None else 0.0

    def drop(self, key: model.StepKey) -> None:
        """Forget the delay of a step, since one of its tasks runs."""
        self._delays.pop(key, None)

    def list_steps(self) -> list[model.StepKey]:
        """Return the delayed steps."""
        return list(self._delays)

    def update(
        self,
        causes: Mapping[model.StepKey, Cause],
        now: float,
        *,
        stood_since: Mapping[model.StepKey, float] | None = None,
        pending: Collection[model.StepKey] = (),
    ) -> list[tuple[model.StepKey, Delay]]:
        """Replace the delays by those of the present decision.

        Args:
            causes: The cause for each step that waits although it has room.
            now: Steady time in seconds.
            stood_since: Since when such a step has had no run, where that was
                known only later.
            pending: Steps whose start may still fail; their delays go on.

        Returns:
            The delays to log: those that last and have a new cause. If there
            are many, the next updates return the others.
        """
        delays = {
            key: delay for key, delay in self._delays.items() if key in pending
        }
        to_log: list[tuple[model.StepKey, Delay]] = []
        for key, cause in causes.items():
            delay = self._delays.get(key)
            if delay is None:
                delay = Delay((stood_since or {}).get(key, now), cause)
            else:
                delay = dataclasses.replace(delay, cause=cause)
            if (
                now >= delay.since + _LOGGED_AFTER_S
                and cause not in (delay.logged, Cause.UNKNOWN)
                and len(to_log) < MAX_LINES
            ):
                delay = dataclasses.replace(delay, logged=cause)
                to_log.append((key, delay))
            delays[key] = delay
        self._delays = delays
        return to_log

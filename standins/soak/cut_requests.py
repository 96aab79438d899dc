"""Checks that planned stops and reloads drop no request."""

import dataclasses

from standins.emulator import impairment_log as impairment_logs
from standins.emulator import rules

RULES = frozenset({rules.Rule.LOST_REQUESTS})

# A planned stop or reload lasts until one second after `grace_s`.
_PLANNED_EVENT_S = 7.0
# A connection that ends this soon after the request was sent is not judged: the
# entry may not have read the request.
_UNREAD_REQUEST_S = 0.2


@dataclasses.dataclass(frozen=True)
class CutRequest:
    """A request whose connection ended before the answer was complete.

    Attributes:
        entry: Name of the entry that was called.
        sent_at: When the request was sent, in seconds.
        ended_at: When the connection ended, in seconds.
    """

    entry: str
    sent_at: float
    ended_at: float


class CutRequestChecker:
    """Checks cut requests that coincide with planned stops and reloads.

    Attributes:
        broken: Violations, one line each.
        judged: How many cut requests coincided with a planned event.
        excused: How many of these also coincided with an unplanned impairment.
    """

    def __init__(
        self, unplanned_impairments: impairment_logs.ImpairmentLog
    ) -> None:
        """Create a checker without planned stops.

        Args:
            unplanned_impairments: When entries and the key-value service were
                impaired by anything but planned stops and reloads.
        """
        self.broken: list[str] = []
        self.judged = 0
        self.excused = 0
        self._unplanned_impairments = unplanned_impairments
        self._planned_events: list[tuple[str, float]] = []

    def record_planned_event(self, entry: str, now: float) -> None:
        """Record a planned stop or a reload."""
        self._planned_events.append((entry, now))

    def check_cut_request(self, request: CutRequest) -> None:
        """Check a request whose connection ended without an answer."""
        if request.ended_at - request.sent_at <= _UNREAD_REQUEST_S:
            return
        if not any(
            entry == request.entry
            and at <= request.ended_at <= at + _PLANNED_EVENT_S
            for entry, at in self._planned_events
        ):
            return
        self.judged += 1
        if self._unplanned_impairments.explain_impairment(
            request.entry, request.sent_at
        ):
            self.excused += 1
            return
        self.broken.append(
            f"{request.sent_at:.3f} lost: a request to {request.entry} was cut "
            f"{request.ended_at - request.sent_at:.2f} s later, during a "
            "planned stop or reload"
        )

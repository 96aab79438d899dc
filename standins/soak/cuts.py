"""Checks that planned stops and reloads cut no request."""

import dataclasses

from standins.emulator import impairment_log as impairment_logs
from standins.emulator import rules

RULES = frozenset({rules.Rule.LOST_REQUESTS})

# Planned work lasts until one second after `grace_s`; what ends this soon
# after its last byte may not have been read.
_PLANNED_S = 7.0
_SLACK_S = 0.2


@dataclasses.dataclass(frozen=True)
class Cut:
    """A connection that ended without a whole answer.

    Attributes:
        entry: Who was asked.
        sent_at: Seconds.
        ended_at: Seconds.
    """

    entry: str
    sent_at: float
    ended_at: float


class Cuts:
    """Collects cut requests and judges those beside planned work.

    Attributes:
        broken: Broken rules, a line each.
        judged: How many cut requests came beside planned work.
        excused: How many of these had something unplanned beside them.
    """

    def __init__(self, unplanned: impairment_logs.ImpairmentLog) -> None:
        """Begin with none.

        Args:
            unplanned: When entries and service were impaired by what was not
                planned.
        """
        self.broken: list[str] = []
        self.judged = 0
        self.excused = 0
        self._unplanned = unplanned
        self._planned: list[tuple[str, float]] = []

    def note_planned(self, entry: str, now: float) -> None:
        """Note a planned stop or a reload."""
        self._planned.append((entry, now))

    def note_cut(self, cut: Cut) -> None:
        """Judge a request whose connection has ended."""
        if cut.ended_at - cut.sent_at <= _SLACK_S:
            return
        if not any(
            entry == cut.entry and at <= cut.ended_at <= at + _PLANNED_S
            for entry, at in self._planned
        ):
            return
        self.judged += 1
        if self._unplanned.explain_impairment(cut.entry, cut.sent_at):
            self.excused += 1
            return
        self.broken.append(
            f"{cut.sent_at:.3f} lost: a request to {cut.entry} was cut "
            f"{cut.ended_at - cut.sent_at:.2f} s later, beside planned work"
        )

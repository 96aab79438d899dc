"""Tests for the age of the data that an owner schedules by."""

import eliot.testing
import pytest

from crocusrouter.pools import clocks
from crocusrouter.pools import freshness
from crocusrouter.telemetry import Metrics


class _ManualClock:
    """A clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


def _open_freshness():
    manual_clock = _ManualClock()
    woken_at = []
    view = freshness.Freshness(
        "a/",
        clocks.Clock(manual_clock.read, manual_clock.read),
        Metrics(),
        lambda: woken_at.append(manual_clock.now),
    )
    return view, manual_clock, woken_at


@pytest.mark.parametrize(
    ("age_s", "is_fresh"),
    [(0.0, True), (1.4, True), (1.9, False), (60.0, False)],
)
def test_tasks_may_start_only_by_recent_data(age_s, is_fresh):
    view, manual_clock, _ = _open_freshness()
    assert view.is_fresh(manual_clock.now + age_s) is is_fresh


def test_staleness_is_logged_once_and_its_end_wakes_the_owner():
    """A stale view is logged once, and the next answer wakes the owner.

    Decisions are made many times a second. An owner that holds back starts is
    woken only by the answer that it waits for.
    """
    view, manual_clock, woken_at = _open_freshness()
    logger = eliot.testing.MemoryLogger()
    previous_logger = eliot.testing.swap_logger(logger)
    try:
        view.note_answer()
        assert woken_at == []
        manual_clock.now += 2.0
        for _ in range(5):
            assert not view.is_fresh(manual_clock.now)
        view.note_answer()
        assert woken_at == [102.0]
        assert view.is_fresh(manual_clock.now)
    finally:
        eliot.testing.swap_logger(previous_logger)
    assert [line["message_type"] for line in logger.messages] == [
        "view:stale",
        "view:fresh",
    ]
    assert logger.messages[0]["age_s"] == 2.0
    assert (view.last_gap_s, view.previous_answer_at) == (2.0, 100.0)

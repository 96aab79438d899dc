"""The age of what an owner decides by."""

import eliot.testing
import pytest

from crocusrouter.pools import clocks
from crocusrouter.pools import freshness
from crocusrouter.telemetry import Metrics


class _Times:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


def _open_freshness():
    clock = _Times()
    woken = []
    view = freshness.Freshness(
        "a/",
        clocks.Clock(clock.read, clock.read),
        Metrics(),
        lambda: woken.append(clock.now),
    )
    return view, clock, woken


@pytest.mark.parametrize(
    ("age_s", "fresh"), [(0.0, True), (1.4, True), (1.9, False), (60.0, False)]
)
def test_age_by_which_tasks_may_start(age_s, fresh):
    view, clock, _ = _open_freshness()
    assert view.is_fresh(clock.now + age_s) is fresh


def test_change_of_age_is_told_once_and_wakes_the_owner():
    """Decisions come many times a second. The owner that holds starts back
    has nothing to wake it but the answer for which it waits.
    """
    view, clock, woken = _open_freshness()
    logger = eliot.testing.MemoryLogger()
    before = eliot.testing.swap_logger(logger)
    try:
        view.note_answer()
        assert woken == []
        clock.now += 2.0
        for _ in range(5):
            assert not view.is_fresh(clock.now)
        view.note_answer()
        assert woken == [102.0]
        assert view.is_fresh(clock.now)
    finally:
        eliot.testing.swap_logger(before)
    assert [line["message_type"] for line in logger.messages] == [
        "view:stale",
        "view:fresh",
    ]
    assert logger.messages[0]["age_s"] == 2.0
    assert (view.unheard_s, view.heard_before) == (2.0, 100.0)

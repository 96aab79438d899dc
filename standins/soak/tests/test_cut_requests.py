"""Tests for requests that are cut during planned stops and reloads."""

import pytest

from standins.emulator import impairment_log as impairment_logs
from standins.soak import cut_requests


# A connection ends without an answer around a planned stop that begins at 10 s.
# An unplanned impairment at about that time excuses it.
@pytest.mark.parametrize(
    ("sent_at", "ended_at", "impaired_at", "broken"),
    [
        (10.5, 11.0, None, True),
        (9.0, 10.1, None, True),
        (10.5, 10.6, None, False),
        (8.0, 9.0, None, False),
        (16.0, 17.5, None, False),
        (10.5, 11.0, 7.4, True),
        (10.5, 11.0, 7.6, False),
        (10.5, 11.0, 10.8, False),
    ],
)
def test_cut_request_during_planned_stop(
    sent_at, ended_at, impaired_at, broken
):
    unplanned_impairments = impairment_logs.ImpairmentLog()
    if impaired_at is not None:
        unplanned_impairments.note_impaired("e0", impaired_at)
    checker = cut_requests.CutRequestChecker(unplanned_impairments)
    checker.record_planned_event("e0", 10.0)
    checker.check_cut_request(cut_requests.CutRequest("e0", sent_at, ended_at))
    checker.check_cut_request(cut_requests.CutRequest("e1", sent_at, ended_at))
    assert bool(checker.broken) is broken

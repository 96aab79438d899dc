"""Requests that end without an answer beside planned work."""

import pytest

from standins.emulator import impairment_log as impairment_logs
from standins.soak import cuts


# A caller's connection ends without an answer while its entry is being stopped
# as planned. The stop was at 10 s; something unplanned at another time.
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
def test_request_that_is_cut(sent_at, ended_at, impaired_at, broken):
    unplanned = impairment_logs.ImpairmentLog()
    if impaired_at is not None:
        unplanned.note_impaired("e0", impaired_at)
    held = cuts.Cuts(unplanned)
    held.note_planned("e0", 10.0)
    held.note_cut(cuts.Cut("e0", sent_at, ended_at))
    held.note_cut(cuts.Cut("e1", sent_at, ended_at))
    assert bool(held.broken) is broken

"""Tests that the checkers find the violations in faulty histories."""

import pytest

from standins import history


def _build_record(at, worker, what, attempt=1, size=1, job_id="dc.1"):
    return {
        "at": at,
        "worker": worker,
        "job_id": job_id,
        "attempt": attempt,
        "size": size,
        "what": what,
    }


_VALID_HISTORY = [
    _build_record(0.0, "a", "reserved"),
    _build_record(0.1, "b", "reserved"),
    _build_record(0.2, "a", "started"),
    _build_record(0.2, "b", "started"),
    _build_record(5.0, "a", "succeeded"),
    _build_record(5.0, "b", "succeeded"),
]


@pytest.mark.parametrize(
    ("records", "early_jobs"),
    [
        (_VALID_HISTORY, []),
        (_VALID_HISTORY[:1] + _VALID_HISTORY[2:], ["dc.1"]),
        (
            [
                *_VALID_HISTORY[:1],
                _VALID_HISTORY[2],
                _VALID_HISTORY[1],
                *_VALID_HISTORY[3:],
            ],
            [],
        ),
        (
            [
                _VALID_HISTORY[0],
                _build_record(0.05, "a", "started"),
                *_VALID_HISTORY[1:],
            ],
            ["dc.1"],
        ),
    ],
)
def test_early_starts(records, early_jobs):
    assert history.find_early_starts(records, {"dc.1": 2}) == early_jobs


@pytest.mark.parametrize(
    ("second_start", "overlapping_jobs"), [(5.0, []), (4.9, ["dc.1"])]
)
def test_overlaps(second_start, overlapping_jobs):
    records = [
        *_VALID_HISTORY,
        _build_record(second_start, "c", "started", attempt=2),
        _build_record(9.0, "c", "succeeded", attempt=2),
    ]
    attempts = history.collect_attempts(records, {})
    assert history.find_overlaps(attempts) == overlapping_jobs


@pytest.mark.parametrize(
    ("records", "killed_at", "partial_s"),
    [
        (_VALID_HISTORY, {}, 0.0),
        ([*_VALID_HISTORY[:5], _build_record(7.5, "b", "stopped")], {}, 2.5),
        (_VALID_HISTORY[:4] + _VALID_HISTORY[5:], {"a": 1.0}, 4.0),
        (_VALID_HISTORY[:4] + _VALID_HISTORY[5:], {"a": 5.0}, 0.0),
    ],
)
def test_partial_runs(records, killed_at, partial_s):
    attempts = history.collect_attempts(records, killed_at)
    runs = attempts[("dc.1", 1)]
    assert history.measure_longest_partial_run(runs, 2, now=10.0) == partial_s

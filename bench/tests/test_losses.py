import orjson
import pytest

from bench import losses


def _build_lines(*events):
    return [
        b"  3.1 e1 " + orjson.dumps({"timestamp": at, "message_type": kind} | f)
        for at, kind, f in events
    ]


_ACCEPT = (100.0, "job:accept", {"job": "aa", "outcome": "stored"})
_SEEN = (
    100.1,
    "job:seen",
    {
        "job": "aa",
        "priority": 0,
        "cancelled": False,
        "objective_s": 4.0,
        "expected_s": 2.0,
    },
)


def _start(at):
    return at, "step:start", {"step": "aa.0.0"}


def _final(at):
    return at, "job:final", {"job": "aa", "state": "done"}


def _shown(at):
    return at, "jobs:shown", {"jobs": ["aa", "bb"]}


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([_start(100.2), _final(103.0)], (losses.Reason.IN_TIME, 0.0)),
        ([_start(100.2), _final(106.0)], (losses.Reason.SLOW, 2.0)),
        ([_start(104.0), _final(106.0)], (losses.Reason.WAITED, 2.0)),
        ([_start(100.2)], (losses.Reason.NOT_ENDED, 0.0)),
        # Ended in time, but the store was away.
        (
            [_start(100.2), _final(103.0), _shown(107.0)],
            (losses.Reason.NOT_SHOWN, 3.0),
        ),
        (
            [
                _start(100.2),
                (
                    101.0,
                    "run:stop",
                    {"task": "aa.0.0.1", "why": "its room is guaranteed to x"},
                ),
                _start(104.0),
                _final(106.0),
            ],
            (losses.Reason.STOPPED, 2.0),
        ),
        (
            [
                _start(100.2),
                (102.0, "run:ended", {"task": "aa.0.0.1", "how": "failed"}),
                _start(103.0),
                _final(105.0),
            ],
            (losses.Reason.FAILED, 1.0),
        ),
        (
            [(101.0, "job:seen", _SEEN[2] | {"cancelled": True})],
            (losses.Reason.CANCELLED, 0.0),
        ),
    ],
)
def test_reason_and_length_of_a_delay(events, expected):
    histories = losses.read_histories(_build_lines(_ACCEPT, _SEEN, *events))
    assert losses.explain_delay(histories["aa"]) == pytest.approx(expected)


def test_lines_of_other_programs_are_skipped():
    lines = [b"", b"day  worth", b'{"half": ', b"[1]", b'{"job": "bb"}']
    assert losses.read_histories(lines) == {}


def test_table_has_a_line_for_each_priority_and_reason():
    lines = _build_lines(_ACCEPT, _SEEN, _start(104.0), _final(106.0))
    [row] = losses.build_table(losses.read_histories(lines).values())
    assert row.split(None, 3) == ["0", "1", "2.0", "waited for room"]


def test_window_table_counts_late_jobs_by_acceptance():
    lines = _build_lines(_ACCEPT, _SEEN, _start(104.0), _final(106.0))
    other = {"job": "cc", "outcome": "stored"}
    lines += _build_lines((104.5, "job:accept", other))
    rows = losses.build_window_table(losses.read_histories(lines).values())
    assert [row.split(None, 3) for row in rows] == [
        ["0", "1", "1", "waited for room"],
        ["4", "1", "1", "not ended in these logs"],
    ]

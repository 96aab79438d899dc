"""Tests for the list of closed data centres that an entry knows."""

import pytest

from crocusrouter import platform
from crocusrouter.pools import clocks
from crocusrouter.pools import closures
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics

_APPLY_S = 5.0


class _Clock:
    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now


def _open_closures():
    clock = _Clock()
    metrics = Metrics()
    source = closures.ClosureSource(platform.find_closed_data_centre, _APPLY_S)
    known = closures.Closures(
        source, clocks.Clock(clock.read, clock.read), metrics
    )
    return known, clock, metrics


def _close(name, revision):
    return records.Changed(
        records.Record(f"op/evacuate/{name}", b"{}", revision)
    )


def _open(name, revision):
    return records.Removed(f"op/evacuate/{name}", revision)


def _read(revision, *names):
    found = tuple(
        records.Record(f"op/evacuate/{name}", b"{}", 1) for name in names
    )
    return records.Snapshot(
        (*found, records.Record("op/config", b"{}", 1)), revision
    )


def _tell(revision, *names, confirmed_at=None):
    return closures.ClosureList(frozenset(names), revision, confirmed_at)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        # A watch reports a closure, then its end.
        ([(_close("a", 3),)], {"a"}),
        ([(_close("a", 3),), (_open("a", 4),)], set()),
        # Closed and opened within one answer.
        ([(_close("a", 3), _open("a", 4))], set()),
        ([(_close("a", 3), _open("a", 4), _close("a", 5))], {"a"}),
        # A read brings what a watch has missed, and outlives its late events.
        ([_read(9, "a"), (_close("b", 4),)], {"a"}),
        ([(_close("a", 3),), _read(9)], set()),
        ([_read(9, "a"), (_open("a", 5),)], {"a"}),
        ([_read(9, "a"), (_open("a", 10),)], set()),
        # A read is answered after a later change was heard.
        ([(_close("a", 9),), _read(5)], {"a"}),
        # Reads are answered in the wrong order.
        ([_read(9, "a"), _read(5)], {"a"}),
        # A read at the same revision is complete, an earlier list may not be.
        ([_tell(9, "a"), _read(9)], set()),
        # Peers tell of later changes only.
        ([_tell(9, "a")], {"a"}),
        ([_read(9, "a"), _tell(5)], {"a"}),
        ([_read(9, "a"), _tell(9)], {"a"}),
        ([_read(9, "a"), _tell(12, "b")], {"b"}),
        # All at once, and many.
        ([_read(9, *"abcdefghij")], set("abcdefghij")),
        # Keys that name no data centre change nothing.
        ([_read(9, "a", "", " ", "b/c")], {"a"}),
        ([(_close("", 3), _close("a", 4), _open("", 5))], {"a"}),
        # Other keys of the operators.
        ([(_close("a", 3), records.Removed("op/wave/1", 4))], {"a"}),
    ],
)
def test_latest_list_is_kept(steps, expected):
    known, _, _ = _open_closures()
    for step in steps:
        match step:
            case records.Snapshot():
                known.apply_snapshot(step, 0.0)
            case closures.ClosureList():
                known.apply_peer_list(step, "e1")
            case _:
                known.apply_events(step)
    assert known.data_centres == expected


# Guards against starts by a list that may lack a closure: its age counts from
# the question, not from the answer's arrival, and a watch's events don't renew
# it.
def test_age_counts_from_the_question():
    known, clock, metrics = _open_closures()
    assert not known.is_fresh(0.0)
    clock.now = 3.0
    known.apply_snapshot(_read(9), 1.0)
    assert known.measure_age(3.0) == 2.0
    known.apply_events((_close("a", 10),))
    assert known.measure_age(4.0) == 3.0
    assert known.is_fresh(1.0 + 0.8 * _APPLY_S)
    assert not known.is_fresh(1.1 + 0.8 * _APPLY_S)
    assert metrics.counts["event:closures-stale"] == 2


# Guards against an owner that waits although its peers know all closures, and
# against one that trusts a list of unknown age.
@pytest.mark.parametrize(
    ("told", "expected_age"),
    [
        (_tell(12, confirmed_at=4.0), 1.0),
        (_tell(5, confirmed_at=4.0), 1.0),
        (_tell(12, confirmed_at=0.5), 4.0),
        (_tell(12), 4.0),
    ],
)
def test_answers_of_peers_confirm_the_list(told, expected_age):
    known, _, _ = _open_closures()
    known.apply_snapshot(_read(9), 1.0)
    known.apply_peer_list(told, "e1")
    assert known.measure_age(5.0) == expected_age


def test_changes_are_told_once():
    known, _, _ = _open_closures()
    told = []
    known.listeners.append(told.append)
    known.apply_events((_close("a", 3),))
    known.apply_snapshot(_read(9, "a"), 0.0)
    known.apply_events((_open("a", 10),))
    assert told == [{"a"}, set()]


def test_malformed_key_is_counted_once():
    known, _, metrics = _open_closures()
    for revision in (9, 10, 11):
        known.apply_snapshot(_read(revision, ""), 0.0)
    assert metrics.counts["event:closure-malformed"] == 1

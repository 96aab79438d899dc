"""Tests for what operators are told of the speeds of workers."""

import pytest

from crocusrouter.work import speed_monitor
from crocusrouter.work import speeds
from crocusrouter.work.tests import build
from crocusrouter.work.tests import fake_speeds

_SPLIT = fake_speeds.make_split("w0", slow=("w1",))
_ALIKE = speeds.SpeedGroups()


def _make_pool_state(groups=_ALIKE):
    pool_state = build.make_pool_state(workers=("w0", "w1", "w2"))
    pool_state.speeds = fake_speeds.FakeSpeeds(groups=groups)
    pool_state.events.clear()
    return pool_state


def _take_events(pool_state):
    events = list(pool_state.events)
    pool_state.events.clear()
    return events


@pytest.mark.parametrize(
    ("before", "expected_before"), [(None, None), (0.9996, 1.0)]
)
def test_change_of_a_speed_is_noted_once_with_unix_seconds(
    before, expected_before
):
    """Operators can't place a steady time among other lines of the log."""
    pool_state = _make_pool_state()
    pool_state.speeds.changes = [
        speeds.SpeedChange("w0", before, 1.6987, 3, since=40.0)
    ]
    monitor = speed_monitor.SpeedMonitor()
    monitor.note_changes(pool_state, 100.0, 5_000.0)
    monitor.note_changes(pool_state, 100.1, 5_000.1)
    assert _take_events(pool_state) == [
        (
            "worker:speed",
            {
                "worker": "w0",
                "before": expected_before,
                "after": 1.7,
                "runs": 3,
                "since": 4_940,
            },
        )
    ]


@pytest.mark.parametrize(
    ("groups_in_turn", "expected"),
    [
        ([_ALIKE, _ALIKE], []),
        ([_SPLIT, _SPLIT], ["speeds:split"]),
        ([_SPLIT, _ALIKE, _ALIKE], ["speeds:split", "speeds:alike"]),
        # A worker that changes its group is told by its `worker:speed`.
        ([_SPLIT, fake_speeds.make_split("w0", "w2")], ["speeds:split"]),
    ],
)
def test_only_transitions_between_split_and_alike_are_noted(
    groups_in_turn, expected
):
    """One line for each decision would hide all other lines."""
    pool_state = _make_pool_state()
    monitor = speed_monitor.SpeedMonitor()
    for number, groups in enumerate(groups_in_turn):
        pool_state.speeds.groups = groups
        monitor.note_changes(pool_state, number * 0.1, 5_000.0)
    events = _take_events(pool_state)
    assert [event for event, _ in events] == expected
    for event, fields in events:
        if event == "speeds:split":
            assert fields == {
                "fast": 1,
                "slow": 1,
                "unknown": 1,
                "fast_speed": 1.7,
                "slow_speed": 0.7,
            }


def test_slowed_worker_is_noted_at_its_begin_and_its_end():
    pool_state = _make_pool_state()
    pool_state.speeds.restore([speeds.SpeedEstimate("w1", 0.7, 2, 0.0)])
    monitor = speed_monitor.SpeedMonitor()
    pool_state.speeds.slowed = {"w1"}
    for tenths in range(21):
        monitor.note_changes(pool_state, tenths / 10, 5_000.0)
    pool_state.speeds.slowed = set()
    monitor.note_changes(pool_state, 3.0, 5_000.0)
    assert _take_events(pool_state) == [
        ("worker:slowed", {"worker": "w1", "speed": 0.7, "runs": 0}),
        ("worker:not-slowed", {"worker": "w1", "slowed_s": 3.0}),
    ]


def test_slowed_worker_that_is_gone_ends_without_a_note():
    """A worker that is gone has not become faster."""
    pool_state = _make_pool_state()
    monitor = speed_monitor.SpeedMonitor()
    pool_state.speeds.slowed = {"w1"}
    monitor.note_changes(pool_state, 0.0, 5_000.0)
    _take_events(pool_state)
    pool_state.forget_worker("w1")
    monitor.note_changes(pool_state, 2.0, 5_000.0)
    assert _take_events(pool_state) == []


def test_workers_are_checked_once_a_second():
    """A pass over all workers in each decision costs more than it tells."""
    pool_state = _make_pool_state()
    monitor = speed_monitor.SpeedMonitor()
    for hundredths in range(200):
        monitor.note_changes(pool_state, hundredths / 100, 5_000.0)
    assert pool_state.speeds.slowed_checks == 2 * len(pool_state.workers)


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        (_ALIKE, {"fast": 0, "slow": 0, "unknown": 3}),
        (_SPLIT, {"fast": 1, "slow": 1, "unknown": 1}),
        # Groups may name a worker that has just been forgotten.
        (
            fake_speeds.make_split("w0", "gone", slow=("w1",)),
            {"fast": 1, "slow": 1, "unknown": 1},
        ),
    ],
)
def test_each_worker_is_counted_in_one_group(groups, expected):
    pool_state = _make_pool_state(groups)
    assert speed_monitor.count_workers_by_speed(pool_state) == expected

"""Tests of gauges whose value is read at each scrape."""

import contextlib

import pytest

from crocusrouter.telemetry import Metrics

_GAUGE_NAME = "crocusrouter_follower_silent_seconds"


def _read_silences(metrics):
    lines = metrics.expose().decode().splitlines()
    return [line for line in lines if line.startswith(_GAUGE_NAME)]


@pytest.mark.parametrize(
    ("silences", "expected"),
    [
        ([], []),
        ([("a/", 1.5)], [f'{_GAUGE_NAME}{{prefix="a/"}} 1.5']),
        ([("a/", 1.5), ("a/", 9.0)], [f'{_GAUGE_NAME}{{prefix="a/"}} 9.0']),
        (
            [("a/", 1.5), ("b/", 2.0)],
            [
                f'{_GAUGE_NAME}{{prefix="a/"}} 1.5',
                f'{_GAUGE_NAME}{{prefix="b/"}} 2.0',
            ],
        ),
    ],
)
def test_gauge_shows_longest_silence_by_prefix(silences, expected):
    """Regression: an owner received nothing from the store for 12 s, and no
    metric showed the outage until it had ended. Owners of two pools in one
    process follow the same prefix, so the longest outage counts.
    """
    metrics = Metrics()
    with contextlib.ExitStack() as followers:
        for prefix, seconds in silences:
            gauge_context = metrics.export_silence(prefix, lambda s=seconds: s)
            followers.enter_context(gauge_context)
        assert _read_silences(metrics) == expected
    assert _read_silences(metrics) == []
    metrics.close()


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ({}, []),
        (
            {"fast": 2, "slow": 0},
            ['g{group="fast"} 2.0', 'g{group="slow"} 0.0'],
        ),
    ],
)
def test_labelled_gauge_is_read_at_each_scrape(values, expected):
    """A value that was kept from an earlier scrape would show old workers."""
    metrics = Metrics()
    current_values = {"fast": 7, "slow": 7}
    metrics.register_labelled_gauge("g", "group", lambda: current_values)
    metrics.expose()
    current_values = values
    lines = metrics.expose().decode().splitlines()
    assert [line for line in lines if line.startswith("g{")] == expected
    metrics.close()

"""Gauges that are read when they are asked for."""

import contextlib

import pytest

from crocusrouter.telemetry import Metrics

_NAME = "crocusrouter_follower_silent_seconds"


def _read_silences(metrics):
    lines = metrics.expose().decode().splitlines()
    return [line for line in lines if line.startswith(_NAME)]


@pytest.mark.parametrize(
    ("silences", "shown"),
    [
        ([], []),
        ([("a/", 1.5)], [f'{_NAME}{{prefix="a/"}} 1.5']),
        ([("a/", 1.5), ("a/", 9.0)], [f'{_NAME}{{prefix="a/"}} 9.0']),
        (
            [("a/", 1.5), ("b/", 2.0)],
            [f'{_NAME}{{prefix="a/"}} 1.5', f'{_NAME}{{prefix="b/"}} 2.0'],
        ),
    ],
)
def test_silences_of_followers(silences, shown):
    """An owner was deaf for 12 s and nothing showed it until it had an answer
    again. Owners of two pools follow the same prefix in one process.
    """
    metrics = Metrics()
    with contextlib.ExitStack() as followers:
        for prefix, seconds in silences:
            shown_here = metrics.show_silence(prefix, lambda s=seconds: s)
            followers.enter_context(shown_here)
        assert _read_silences(metrics) == shown
    assert _read_silences(metrics) == []
    metrics.close()

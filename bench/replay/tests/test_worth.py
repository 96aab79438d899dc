import pytest

from bench import replay
from bench.replay import worth


@pytest.mark.parametrize(
    ("ended_s", "earned"),
    [(1.0, 4.0), (3.0, 4.0), (3.1, 0.8), (9.0, 0.8), (9.1, 0.0), (None, 0.0)],
)
def test_what_a_job_earns(ended_s, earned):
    assert worth.earn(ended_s, 3.0, 4.0, 0.8) == earned


def _serve(at, kind, customer, earned):
    return worth.Served(at, kind, customer, 1.0, earned)


def test_worst_parts_count():
    rows = [
        _serve(0.5, "a", "x", 1.0),
        _serve(2.5, "a", "x", 0.0),
        _serve(4.5, "b", "y", 0.5),
        _serve(6.5, "b", "y", 1.0),
    ]
    day = replay.measure_worth(rows, 7.0)
    assert day.whole == 0.625
    assert day.windows == 0.25
    assert day.kinds == {"a": 0.5, "b": 0.75}
    assert day.customers == {"x": 0.5, "y": 0.75}
    assert day.wasted == 7.0


def test_day_without_jobs_is_whole():
    assert replay.measure_worth([], 0.0).mark == 1.0

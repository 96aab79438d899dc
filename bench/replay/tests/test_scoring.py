import pytest

from bench import replay
from bench.replay import scoring


@pytest.mark.parametrize(
    ("ended_s", "earned"),
    [(1.0, 4.0), (3.0, 4.0), (3.1, 0.8), (9.0, 0.8), (9.1, 0.0), (None, 0.0)],
)
def test_value_of_a_job(ended_s, earned):
    assert scoring.compute_value(ended_s, 3.0, 4.0, 0.8) == earned


def _build_result(at, kind, customer, earned):
    return scoring.JobResult(at, kind, customer, 1.0, earned)


def test_shares_of_a_day():
    results = [
        _build_result(0.5, "a", "x", 1.0),
        _build_result(2.5, "a", "x", 0.0),
        _build_result(4.5, "b", "y", 0.5),
        _build_result(6.5, "b", "y", 1.0),
    ]
    score = replay.score_day(results, 7.0)
    assert score.whole_day == 0.625
    assert score.worst_windows == 0.25
    assert score.kinds == {"a": 0.5, "b": 0.75}
    assert score.customers == {"x": 0.5, "y": 0.75}
    assert score.wasted == 7.0


def test_score_of_a_day_without_jobs_is_1():
    assert replay.score_day([], 0.0).combined_score == 1.0

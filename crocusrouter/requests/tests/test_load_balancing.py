"""Choice between two runners by their loads."""

import random

import pytest

from crocusrouter.requests import load_balancing

_QUICK = load_balancing.Load(
    "quick", 8, in_flight=2, concurrency_limit=8.0, service_time_s=0.2
)


def _choose(*loads, now=10.0, tried_runners=frozenset()):
    chosen_load = load_balancing.choose_runner(
        loads, tried_runners, random.Random(1), now
    )
    return chosen_load.name if chosen_load is not None else None


def _build_load(**fields):
    defaults = {
        "in_flight": 0,
        "concurrency_limit": 8.0,
        "service_time_s": 0.2,
    }
    return load_balancing.Load("other", 8, **(defaults | fields))


@pytest.mark.parametrize(
    ("other", "expected_name"),
    [
        (_build_load(), "other"),
        (_build_load(in_flight=5), "quick"),
        (_build_load(service_time_s=2.0), "quick"),
        # Regression: one slow runner made callers' 99th percentile latency
        # 8.6 times as long. Its first answers were still outstanding, so its
        # load looked good and more and more requests were sent to it.
        (_build_load(in_flight=1, oldest_sent_at=9.9), "other"),
        (_build_load(in_flight=1, oldest_sent_at=8.5), "quick"),
        (_build_load(leaving=True), "quick"),
        (_build_load(backoff_until=11.0), "quick"),
        (_build_load(backoff_until=9.0), "other"),
        (_build_load(in_flight=8), "quick"),
    ],
)
def test_better_of_two_runners_is_chosen(other, expected_name):
    assert _choose(_QUICK, other) == expected_name


def test_untried_runners_are_preferred():
    assert (
        _choose(_QUICK, _build_load(), tried_runners=frozenset({"other"}))
        == "quick"
    )
    assert _choose(_build_load(), tried_runners=frozenset({"other"})) == "other"
    assert _choose() is None


def test_slow_answer_has_more_weight_than_quick_answer():
    after_slow = load_balancing.record_answer(_build_load(), 2.0)
    after_quick = load_balancing.record_answer(after_slow, 0.2)
    assert after_slow.service_time_s == pytest.approx(1.1)
    assert after_quick.service_time_s > 0.9

import random

import pytest

from crocusrouter.requests import choice

_QUICK = choice.Load("quick", 8, in_flight=2, limit=8.0, service_s=0.2)


def _choose(*loads, now=10.0, avoided=frozenset()):
    chosen = choice.choose_runner(loads, avoided, random.Random(1), now)
    return chosen.name if chosen is not None else None


def _load(**fields):
    base = {"in_flight": 0, "limit": 8.0, "service_s": 0.2}
    return choice.Load("other", 8, **(base | fields))


@pytest.mark.parametrize(
    ("other", "chosen"),
    [
        (_load(), "other"),
        (_load(in_flight=5), "quick"),
        (_load(service_s=2.0), "quick"),
        # Regression: the caller's 99th percentile was 8.6 times as long with
        # one slow runner. Its first answers were still out, so nothing spoke
        # against it, and more and more requests joined them.
        (_load(in_flight=1, oldest_at=9.9), "other"),
        (_load(in_flight=1, oldest_at=8.5), "quick"),
        (_load(leaving=True), "quick"),
        (_load(shunned_until=11.0), "quick"),
        (_load(shunned_until=9.0), "other"),
        (_load(in_flight=8), "quick"),
    ],
)
def test_better_of_two(other, chosen):
    assert _choose(_QUICK, other) == chosen


def test_runners_tried_before_come_last():
    assert _choose(_QUICK, _load(), avoided=frozenset({"other"})) == "quick"
    assert _choose(_load(), avoided=frozenset({"other"})) == "other"
    assert _choose() is None


def test_one_slow_answer_weighs_more_than_one_quick():
    slow = choice.note_answer(_load(), 2.0)
    again = choice.note_answer(slow, 0.2)
    assert slow.service_s == pytest.approx(1.1)
    assert again.service_s > 0.9

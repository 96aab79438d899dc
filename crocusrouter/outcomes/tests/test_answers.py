import orjson
import pytest

from crocusrouter import outcomes

_REFUSAL = outcomes.Refusal(outcomes.RefusalReason.NO_ENDPOINT, "none", 0.2)


@pytest.mark.parametrize(
    ("answer", "status", "outcome"),
    [
        (outcomes.Done(200, b"{}"), 200, "done"),
        (outcomes.Done(404, b"{}"), 404, "done"),
        (outcomes.NotRun(_REFUSAL), 503, "not-run"),
        (outcomes.Unknown(_REFUSAL), 503, "unknown"),
    ],
)
def test_outcome_is_in_header(answer, status, outcome):
    rendered = outcomes.render(answer)
    assert rendered.status == status
    assert rendered.headers["Crocusrouter-Outcome"] == outcome


def test_refusal_is_a_problem_document():
    rendered = outcomes.render(outcomes.NotRun(_REFUSAL))
    problem = orjson.loads(rendered.body)
    assert rendered.headers["Content-Type"] == "application/problem+json"
    assert rendered.headers["Retry-After"] == "1"
    assert problem["reason"] == "no-endpoint"
    assert problem["outcome"] == "not-run"
    assert problem["retry_after_s"] == 0.2


def test_repeated_answer_has_repeat_header():
    rendered = outcomes.render(outcomes.Done(200, b"{}", repeat=True))
    assert rendered.headers["Idempotency-Repeat"] == "true"

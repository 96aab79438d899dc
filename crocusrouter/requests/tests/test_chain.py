"""Number of attempts for a request whose answers are lost."""

import random

import pytest
import trio

from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason
from crocusrouter.outcomes import Unknown
from crocusrouter.requests import chain
from crocusrouter.requests import model
from crocusrouter.telemetry import Metrics
from crocusrouter.templates import RequestKind
from crocusrouter.templates import Template

_LOST = model.AttemptResult(
    Unknown(Refusal(RefusalReason.ANSWER_LOST)), RetryReason.ANSWER_LOST, "w"
)
_UNREACHABLE = model.AttemptResult(
    NotRun(Refusal(RefusalReason.NO_ENDPOINT)),
    RetryReason.ENDPOINT_UNREACHABLE,
    "w",
)
_DONE = model.AttemptResult(Done(200, b""), None, "w")


class _ScriptedDispatcher:
    """Returns prepared results in order and repeats the last one."""

    def __init__(self, results):
        self.results = list(results)
        self.count = 0

    async def dispatch(self, request, tried_runners):
        self.count += 1
        index = min(self.count, len(self.results)) - 1
        return self.results[index]


@pytest.mark.parametrize(
    ("results", "count", "answer_type"),
    [
        ([_LOST], 3, Unknown),
        ([_LOST, _DONE], 2, Done),
        ([_LOST, _UNREACHABLE, _LOST, _DONE], 4, Done),
        ([_UNREACHABLE] * 6 + [_DONE], 7, Done),
    ],
    ids=["always-lost", "lost-once", "mixed", "unreachable"],
)
async def test_request_stops_after_three_lost_answers(
    results, count, answer_type, autojump_clock
):
    """A request that crashes every endpoint isn't retried on all of them.

    Such a request was tried on eleven endpoints, until its customer's retry
    budget was spent. Three lost answers now end the retries, and the outcome
    is unknown. An endpoint that can't be reached doesn't count, since the
    request can't have crashed it.
    """
    dispatcher = _ScriptedDispatcher(results)
    retrier = chain.Retrier(dispatcher, Metrics(), random.Random(1))
    request_kind = RequestKind(service="s", idempotent=True)
    template = Template("c", "0" * 64)
    deadline = trio.current_time() + 60.0
    request = model.ValidatedRequest(
        "id", template, "k", request_kind, b"", "", None, deadline
    )
    answer = await retrier.run(request)
    assert isinstance(answer, answer_type)
    assert dispatcher.count == count

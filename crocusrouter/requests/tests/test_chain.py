"""How often a request that gets no answer is tried again."""

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

_LOST = model.Tried(
    Unknown(Refusal(RefusalReason.ANSWER_LOST)), RetryReason.ANSWER_LOST, "w"
)
_UNREACHABLE = model.Tried(
    NotRun(Refusal(RefusalReason.NO_ENDPOINT)),
    RetryReason.ENDPOINT_UNREACHABLE,
    "w",
)
_DONE = model.Tried(Done(200, b""), None, "w")


class _Scripted:
    """A dispatcher that gives prepared outcomes, the last one for ever."""

    def __init__(self, tries):
        self.tries = list(tries)
        self.count = 0

    async def dispatch(self, call, avoided):
        self.count += 1
        index = min(self.count, len(self.tries)) - 1
        return self.tries[index]


@pytest.mark.parametrize(
    ("tries", "count", "kind"),
    [
        ([_LOST], 3, Unknown),
        ([_LOST, _DONE], 2, Done),
        ([_LOST, _UNREACHABLE, _LOST, _DONE], 4, Done),
        ([_UNREACHABLE] * 6 + [_DONE], 7, Done),
    ],
    ids=["always-lost", "lost-once", "mixed", "unreachable"],
)
async def test_request_that_loses_its_answers_ends(
    tries, count, kind, autojump_clock
):
    """A request that ends each endpoint which takes it was tried on eleven of
    them, until its customer's retries were used up.

    An endpoint that breaks off may have been ended by the request; the third
    one tells, and the caller hears that nobody knows whether it ran. One that
    could not be reached was not ended by it.
    """
    dispatcher = _Scripted(tries)
    retrier = chain.Retrier(dispatcher, Metrics(), random.Random(1))
    rules = RequestKind(service="s", idempotent=True)
    template = Template("c", "0" * 64)
    deadline = trio.current_time() + 60.0
    call = model.Call("id", template, "k", rules, b"", "", None, deadline)
    answer = await retrier.run(call)
    assert isinstance(answer, kind)
    assert dispatcher.count == count

"""The filter chain that a small request passes through."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
from typing import Protocol

import trio

from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason
from crocusrouter.outcomes import Unknown
from crocusrouter.requests import budget
from crocusrouter.requests import claims
from crocusrouter.requests import dispatch
from crocusrouter.requests import model
from crocusrouter.telemetry import Metrics

Next = Callable[[model.Call], Awaitable[Answer]]

_FIRST_PAUSE_S = 0.01
_LONGEST_PAUSE_S = 0.5
_LIMIT_RETRY_S = 0.2
# Endpoints that may break off under one request. It may be what ends them, and
# each further try would take along whatever runs on one more.
_MOST_LOST = 3

# A retry of one of these can't run the request a second time.
_SURELY_NOT_RUN = frozenset(
    {RetryReason.ENDPOINT_UNREACHABLE, RetryReason.ENDPOINT_REFUSED}
)


class Filter(Protocol):
    """One step of the chain: answers itself or asks the next."""

    async def __call__(self, call: model.Call, ask_next: Next) -> Answer:
        """Handle a request."""
        ...


def build_chain(filters: Sequence[Filter], last: Next) -> Next:
    """Connect filters in order, `last` at the end."""
    chained = last
    for one in reversed(filters):
        chained = functools.partial(one, ask_next=chained)
    return chained


class LimitFilter:
    """Bounds each customer's requests in flight at this entry."""

    def __init__(self) -> None:
        self._in_flight: collections.Counter[str] = collections.Counter()

    async def __call__(self, call: model.Call, ask_next: Next) -> Answer:
        """Refuse at once what goes beyond the customer's share."""
        customer = call.customer
        limit = call.template.max_in_flight
        if self._in_flight[customer] >= limit:
            detail = f"{limit} requests of {customer} in flight"
            return NotRun(
                Refusal(RefusalReason.CUSTOMER_LIMIT, detail, _LIMIT_RETRY_S)
            )
        self._in_flight[customer] += 1
        try:
            return await ask_next(call)
        finally:
            self._in_flight[customer] -= 1


class ClaimFilter:
    """Lets a non-idempotent request with a key run at most once."""

    def __init__(self, held: claims.Claims) -> None:
        self._claims = held

    async def __call__(self, call: model.Call, ask_next: Next) -> Answer:
        """Take the claim, run, and remember what came of it."""
        if call.rules.idempotent or call.key is None:
            return await ask_next(call)
        granted = await self._claims.take(call)
        if not isinstance(granted, claims.Granted):
            return granted
        # A request that is cancelled here may have been dispatched; nobody
        # may take it for one that did not run.
        answer: Answer = Unknown(Refusal(RefusalReason.ANSWER_LOST))
        try:
            answer = await ask_next(call)
            return answer
        finally:
            self._claims.settle(granted, answer)


class Retrier:
    """Ends the chain: dispatches, within deadline and retry budget.

    A non-idempotent request is tried again only while it certainly has not
    run anywhere.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._rng = rng
        self._budgets: dict[str, budget.RetryBudget] = {}

    async def run(self, call: model.Call) -> Answer:
        """Dispatch until there is an answer to give."""
        self._earn(call)
        avoided: frozenset[str] = frozenset()
        pause_s = _FIRST_PAUSE_S
        lost = 0
        while True:
            tried = await self._dispatcher.dispatch(call, avoided)
            if tried.retry is None or isinstance(tried.answer, Done):
                return tried.answer
            lost += tried.retry is RetryReason.ANSWER_LOST
            if lost >= _MOST_LOST or not _may_retry(call, tried.retry):
                return tried.answer
            pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)
            delay_s = self._rng.uniform(0.0, pause_s)
            if trio.current_time() + delay_s >= call.deadline:
                return tried.answer
            if not self._spend(call):
                return _refuse_spent(tried.answer)
            self._metrics.count_retry(tried.retry)
            avoided |= {tried.endpoint}
            await trio.sleep(delay_s)

    def _earn(self, call: model.Call) -> None:
        share = call.template.retry_share
        held = self._budgets.get(call.customer) or budget.open_budget(share)
        self._budgets[call.customer] = budget.earn(held, share)

    def _spend(self, call: model.Call) -> bool:
        paid = budget.spend(self._budgets[call.customer])
        if paid is not None:
            self._budgets[call.customer] = paid
        return paid is not None


def _may_retry(call: model.Call, reason: RetryReason) -> bool:
    return call.rules.idempotent or reason in _SURELY_NOT_RUN


def _refuse_spent(answer: Answer) -> Answer:
    """Say that the budget is spent, unless the request may have run."""
    if not isinstance(answer, NotRun):
        return answer
    cause = answer.refusal
    return NotRun(
        Refusal(
            RefusalReason.RETRY_BUDGET_SPENT,
            f"last: {cause.reason} {cause.detail}",
            cause.retry_after_s,
        )
    )

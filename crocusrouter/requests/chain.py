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
from crocusrouter.requests import claims
from crocusrouter.requests import dispatch
from crocusrouter.requests import model
from crocusrouter.requests import retry_budget
from crocusrouter.telemetry import Metrics

Handler = Callable[[model.ValidatedRequest], Awaitable[Answer]]

_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.5
_LIMIT_RETRY_AFTER_S = 0.2
# The request itself may crash the endpoints that lose its answer, and each
# further attempt would interrupt all other requests on another endpoint.
_MAX_LOST_ANSWERS = 3

# After a failure for one of these reasons, a retry can't run the request a
# second time.
_NOT_RUN_REASONS = frozenset(
    {RetryReason.ENDPOINT_UNREACHABLE, RetryReason.ENDPOINT_REFUSED}
)


class Filter(Protocol):
    """One step of the chain: answers or passes the request on."""

    async def __call__(
        self, request: model.ValidatedRequest, next_handler: Handler
    ) -> Answer:
        """Handle a request."""
        ...


def build_chain(filters: Sequence[Filter], final_handler: Handler) -> Handler:
    """Connect filters in order, with `final_handler` at the end."""
    handler = final_handler
    for request_filter in reversed(filters):
        handler = functools.partial(request_filter, next_handler=handler)
    return handler


class LimitFilter:
    """Limits each customer's requests in flight at this entry."""

    def __init__(self) -> None:
        self._in_flight: collections.Counter[str] = collections.Counter()

    async def __call__(
        self, request: model.ValidatedRequest, next_handler: Handler
    ) -> Answer:
        """Refuse a request at once if the customer is at its limit."""
        customer = request.customer
        limit = request.template.max_in_flight
        if self._in_flight[customer] >= limit:
            detail = f"{limit} requests of {customer} in flight"
            return NotRun(
                Refusal(
                    RefusalReason.CUSTOMER_LIMIT, detail, _LIMIT_RETRY_AFTER_S
                )
            )
        self._in_flight[customer] += 1
        try:
            return await next_handler(request)
        finally:
            self._in_flight[customer] -= 1


class ClaimFilter:
    """Runs a non-idempotent request with a key at most once."""

    def __init__(self, claim_registry: claims.ClaimRegistry) -> None:
        self._claims = claim_registry

    async def __call__(
        self, request: model.ValidatedRequest, next_handler: Handler
    ) -> Answer:
        """Claim the key, run the request and record its outcome."""
        if request.request_kind.idempotent or request.idempotency_key is None:
            return await next_handler(request)
        grant = await self._claims.acquire(request)
        if not isinstance(grant, claims.ClaimGrant):
            return grant
        # If this task is cancelled, the request may have been dispatched, so
        # the outcome recorded then must not be "not run".
        answer: Answer = Unknown(Refusal(RefusalReason.ANSWER_LOST))
        try:
            answer = await next_handler(request)
            return answer
        finally:
            self._claims.record_outcome(grant, answer)


class Retrier:
    """Ends the chain: dispatches within the deadline and the retry budget.

    A non-idempotent request is retried only while it certainly has not run
    anywhere.
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
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    async def run(self, request: model.ValidatedRequest) -> Answer:
        """Dispatch a request, with retries, until there is a final answer."""
        self._deposit(request)
        tried_runners: frozenset[str] = frozenset()
        backoff_s = _INITIAL_BACKOFF_S
        lost_answers = 0
        while True:
            attempt = await self._dispatcher.dispatch(request, tried_runners)
            if attempt.retry_reason is None or isinstance(attempt.answer, Done):
                return attempt.answer
            lost_answers += attempt.retry_reason is RetryReason.ANSWER_LOST
            if lost_answers >= _MAX_LOST_ANSWERS or not _may_retry(
                request, attempt.retry_reason
            ):
                return attempt.answer
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
            delay_s = self._rng.uniform(0.0, backoff_s)
            if trio.current_time() + delay_s >= request.deadline:
                return attempt.answer
            if not self._withdraw(request):
                return _refuse_budget_spent(attempt.answer)
            self._metrics.count_retry(attempt.retry_reason)
            tried_runners |= {attempt.endpoint}
            await trio.sleep(delay_s)

    def _deposit(self, request: model.ValidatedRequest) -> None:
        """Credit a request to its customer's retry budget."""
        retry_share = request.template.retry_share
        budget = self._budgets.get(
            request.customer
        ) or retry_budget.open_budget(retry_share)
        self._budgets[request.customer] = retry_budget.deposit(
            budget, retry_share
        )

    def _withdraw(self, request: model.ValidatedRequest) -> bool:
        """Pay for a retry; return False if the customer's budget is spent."""
        budget = retry_budget.withdraw(self._budgets[request.customer])
        if budget is not None:
            self._budgets[request.customer] = budget
        return budget is not None


def _may_retry(request: model.ValidatedRequest, reason: RetryReason) -> bool:
    return request.request_kind.idempotent or reason in _NOT_RUN_REASONS


def _refuse_budget_spent(answer: Answer) -> Answer:
    """Report that the budget is spent, unless the request may have run."""
    if not isinstance(answer, NotRun):
        return answer
    cause = answer.refusal
    return NotRun(
        Refusal(
            RefusalReason.RETRY_BUDGET_SPENT,
            f"last attempt: {cause.reason} {cause.detail}",
            cause.retry_after_s,
        )
    )

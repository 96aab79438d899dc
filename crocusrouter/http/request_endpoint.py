"""HTTP endpoint that routes small requests."""

import eliot
from starlette import requests as starlette_requests

from crocusrouter import controllers
from crocusrouter import requests
from crocusrouter.http import request_parsing
from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import Unknown
from crocusrouter.outcomes import render

_NOT_READY_RETRY_S = 1.0

# Refusals whose outcome doesn't depend on an earlier try with the same key.
_INDEPENDENT_OF_EARLIER_TRIES = frozenset(
    {
        RefusalReason.MALFORMED_JSON,
        RefusalReason.MALFORMED_HEADER,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.UNKNOWN_KIND,
    }
)


class RequestEndpoint:
    """Serves `POST /v1/requests/{kind}`."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def handle(self, request: starlette_requests.Request) -> Rendered:
        """Answer one request and count its outcome."""
        kind = request.path_params["kind"]
        answer = await self._answer(request, kind)
        metrics = self._entry.metrics
        if isinstance(answer, Done):
            metrics.count_answer("done", kind)
            return render(answer)
        # Kinds that no template defines are counted under one label; otherwise
        # callers could add metric labels without limit.
        has_known_kind = answer.refusal.reason not in (
            RefusalReason.UNKNOWN_KIND,
            RefusalReason.UNAUTHENTICATED,
        )
        outcome = "not-run" if isinstance(answer, NotRun) else "unknown"
        metrics.count_answer(outcome, kind if has_known_kind else "unknown")
        metrics.count_refusal(answer.refusal.reason)
        return render(answer)

    async def _answer(
        self, request: starlette_requests.Request, kind: str
    ) -> Answer:
        key = request.headers.get("Idempotency-Key")
        try:
            if not self._entry.configuration.is_confirmed:
                raise RefusedError(_build_not_ready_refusal())
            body = await request_parsing.read_body(
                request, self._entry.settings.max_body
            )
            call = self._entry.identify(
                requests.IncomingRequest(
                    kind,
                    request.headers.get("Authorization"),
                    request.headers.get("Request-Timeout"),
                    key,
                    body,
                )
            )
        except RefusedError as error:
            return _classify_early_refusal(error.refusal, key)
        with eliot.start_action(
            action_type="request",
            request=call.id,
            customer=call.customer,
            kind=kind,
        ) as action:
            answer = await self._entry.answer(call)
            action.add_success_fields(outcome=type(answer).__name__)
            return answer


def _build_not_ready_refusal() -> Refusal:
    return Refusal(RefusalReason.NOT_READY, "", _NOT_READY_RETRY_S)


def _classify_early_refusal(refusal: Refusal, key: str | None) -> Answer:
    """Return the outcome for a refusal before the claim was looked up.

    If the request has an idempotency key, an earlier try at another entry may
    have run, so the outcome is unknown rather than "not run".
    """
    if key is None or refusal.reason in _INDEPENDENT_OF_EARLIER_TRIES:
        return NotRun(refusal)
    return Unknown(refusal)

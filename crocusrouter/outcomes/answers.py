"""Outcomes of a small request (done, not-run, unknown) as HTTP responses."""

import dataclasses
import functools
import math

import orjson

from crocusrouter.outcomes import reasons

OUTCOME_HEADER = "Crocusrouter-Outcome"
REPEAT_HEADER = "Idempotency-Repeat"
PROBLEM_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True)
class Done:
    """The complete answer of an endpoint that ran the request.

    Attributes:
        status: HTTP status of the endpoint.
        body: Body of its answer.
        content_type: Type of the body.
        repeat: Whether this is the stored answer to an earlier request with
            the same idempotency key.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    repeat: bool = False


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request is known not to have run at any endpoint."""

    refusal: reasons.Refusal


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request was sent to an endpoint, and may have run or not."""

    refusal: reasons.Refusal


Answer = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True)
class Rendered:
    """An HTTP response, independent of any HTTP library."""

    status: int
    headers: dict[str, str]
    body: bytes


@functools.singledispatch
def render(answer: object) -> Rendered:
    """Render an answer as an HTTP response.

    Refusals follow RFC 9457 (problem details). The outcome is also in a header
    for callers that don't read bodies.

    >>> refusal = reasons.Refusal(reasons.RefusalReason.NO_ENDPOINT, "", 0.2)
    >>> rendered = render(NotRun(refusal))
    >>> rendered.status, rendered.headers["Retry-After"]
    (503, '1')
    >>> rendered.headers[OUTCOME_HEADER]
    'not-run'
    """
    raise TypeError(f"no rendering for {type(answer).__name__}")


@render.register
def _(answer: Done) -> Rendered:
    headers = {OUTCOME_HEADER: "done", "Content-Type": answer.content_type}
    if answer.repeat:
        headers[REPEAT_HEADER] = "true"
    return Rendered(answer.status, headers, answer.body)


@render.register
def _(answer: NotRun) -> Rendered:
    return render_refusal(answer.refusal, "not-run")


@render.register
def _(answer: Unknown) -> Rendered:
    return render_refusal(answer.refusal, "unknown")


def render_refusal(
    refusal: reasons.Refusal, outcome: str | None = None
) -> Rendered:
    """Render a refusal as problem details, with the outcome if there is one.

    Args:
        refusal: The refusal.
        outcome: "not-run" or "unknown" for small requests, else None.

    Returns:
        The response; `Retry-After` is rounded up to whole seconds, at least 1.
    """
    problem: dict[str, object] = {
        "type": f"urn:crocusrouter:refusal:{refusal.reason}",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": str(refusal.reason),
        "remedy": refusal.remedy,
    }
    headers = {"Content-Type": PROBLEM_TYPE}
    if outcome is not None:
        problem["outcome"] = outcome
        headers[OUTCOME_HEADER] = outcome
    if refusal.retry_after_s is not None:
        problem["retry_after_s"] = round(refusal.retry_after_s, 3)
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Rendered(refusal.status, headers, orjson.dumps(problem))

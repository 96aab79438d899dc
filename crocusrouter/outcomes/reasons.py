"""Reasons of refusals and retries, and refusals as values and exceptions."""

import dataclasses
import enum


class RefusalReason(enum.StrEnum):
    """Why a request, a job or an edit of a template was refused."""

    MALFORMED_HTTP = "malformed-http"
    MALFORMED_JSON = "malformed-json"
    MALFORMED_HEADER = "malformed-header"
    INVALID_DOCUMENT = "invalid-document"
    BODY_TOO_LARGE = "body-too-large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_CUSTOMER = "unknown-customer"
    UNKNOWN_JOB = "unknown-job"
    UNKNOWN_DATA_CENTRE = "unknown-data-centre"
    DEADLINE_PASSED = "deadline-passed"
    DEADLINE_UNMEETABLE = "deadline-unmeetable"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    CUSTOMER_LIMIT = "customer-limit"
    NO_ENDPOINT = "no-endpoint"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    NOT_READY = "not-ready"
    STORE_UNAVAILABLE = "store-unavailable"
    OWNER_UNAVAILABLE = "owner-unavailable"
    NEVER_FITS = "never-fits"
    QUEUE_FULL = "queue-full"
    DATA_CENTRE_CLOSED = "data-centre-closed"
    NO_ROOM_LEFT = "no-room-left"
    REVISION_CONFLICT = "revision-conflict"
    GUARANTEES_DO_NOT_FIT = "guarantees-do-not-fit"
    ANSWER_LOST = "answer-lost"
    ANSWER_MISMATCHED = "answer-mismatched"
    EARLIER_TRY_UNKNOWN = "earlier-try-unknown"
    COMMIT_UNKNOWN = "commit-unknown"


class RetryReason(enum.StrEnum):
    """Why a request, a store call or a task was retried."""

    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    ENDPOINT_REFUSED = "endpoint-refused"
    ANSWER_LOST = "answer-lost"
    ANSWER_MISMATCHED = "answer-mismatched"
    STORE_ANSWER_LOST = "store-answer-lost"
    WORKER_LOST = "worker-lost"
    WORKER_DECLINED = "worker-declined"
    TASK_FAILED = "task-failed"
    DATA_CENTRE_CLOSED = "data-centre-closed"


@dataclasses.dataclass(frozen=True)
class _ReasonDetails:
    """Status and texts that all refusals of one reason share."""

    status: int
    title: str
    remedy: str


_REASON_DETAILS: dict[RefusalReason, _ReasonDetails] = {
    RefusalReason.MALFORMED_HTTP: _ReasonDetails(
        400,
        "The bytes are not one valid HTTP/1.1 message",
        "Send one Content-Length or one Transfer-Encoding, not both.",
    ),
    RefusalReason.MALFORMED_JSON: _ReasonDetails(
        400, "The body is not JSON", "Send one JSON value encoded as UTF-8."
    ),
    RefusalReason.MALFORMED_HEADER: _ReasonDetails(
        400, "A header has a wrong value", "Correct the header that is named."
    ),
    RefusalReason.INVALID_DOCUMENT: _ReasonDetails(
        422, "The document fails its checks", "Correct the fields named here."
    ),
    RefusalReason.BODY_TOO_LARGE: _ReasonDetails(
        413, "The body exceeds the limit", "Send a smaller body."
    ),
    RefusalReason.UNAUTHENTICATED: _ReasonDetails(
        401,
        "The bearer key is missing or wrong",
        "Send 'Authorization: Bearer <key>' with the key of the template.",
    ),
    RefusalReason.UNKNOWN_KIND: _ReasonDetails(
        404, "The template has no such kind", "Use a kind of the template."
    ),
    RefusalReason.UNKNOWN_QUEUE: _ReasonDetails(
        404,
        "No queue takes this host and path",
        "Use the host and prefix of a queue in the configuration.",
    ),
    RefusalReason.UNKNOWN_CUSTOMER: _ReasonDetails(
        404,
        "There is no such customer",
        "List them: crocusrouter template list",
    ),
    RefusalReason.UNKNOWN_JOB: _ReasonDetails(
        404, "There is no such job", "List them: crocusrouter job list"
    ),
    RefusalReason.UNKNOWN_DATA_CENTRE: _ReasonDetails(
        404,
        "There is no such data centre",
        "List them: crocusrouter data-centre list",
    ),
    RefusalReason.DEADLINE_PASSED: _ReasonDetails(
        408,
        "The deadline passed before the request was dispatched",
        "Send Request-Timeout as seconds from now, above zero.",
    ),
    RefusalReason.DEADLINE_UNMEETABLE: _ReasonDetails(
        503,
        "The deadline can't be met under the present load",
        "Come back after Retry-After, or allow a longer Request-Timeout.",
    ),
    RefusalReason.KEY_REUSED: _ReasonDetails(
        422,
        "The Idempotency-Key was used with another body",
        "Take a fresh key for a different request.",
    ),
    RefusalReason.KEY_IN_PROGRESS: _ReasonDetails(
        409,
        "A request with this Idempotency-Key is in progress",
        "Ask again with the same key after Retry-After.",
    ),
    RefusalReason.CUSTOMER_LIMIT: _ReasonDetails(
        429,
        "The customer has as many requests in flight as its share allows",
        "Come back after Retry-After, or raise 'max_in_flight'.",
    ),
    RefusalReason.NO_ENDPOINT: _ReasonDetails(
        503, "No endpoint can take the request", "Come back after Retry-After."
    ),
    RefusalReason.RETRY_BUDGET_SPENT: _ReasonDetails(
        503,
        "The customer's retry budget is spent",
        "Come back after Retry-After.",
    ),
    RefusalReason.NOT_READY: _ReasonDetails(
        503,
        "This entry can't vouch for the configuration, or is stopping",
        "Ask another entry, or come back after Retry-After.",
    ),
    RefusalReason.STORE_UNAVAILABLE: _ReasonDetails(
        503,
        "The key-value service can't be reached",
        "Come back after Retry-After; nothing was recorded.",
    ),
    RefusalReason.OWNER_UNAVAILABLE: _ReasonDetails(
        503,
        "No owner of the data centre answers",
        "Ask again with the same Idempotency-Key after Retry-After.",
    ),
    RefusalReason.NEVER_FITS: _ReasonDetails(
        422,
        "The job can never run in this fleet",
        "Ask for a smaller gang or a wider adjacency.",
    ),
    RefusalReason.DATA_CENTRE_CLOSED: _ReasonDetails(
        503,
        "The data centre is closed to new work",
        "Come back after Retry-After, or submit it as a new job with "
        "'data_centre' set to an open one.",
    ),
    RefusalReason.NO_ROOM_LEFT: _ReasonDetails(
        409,
        "No other open data centre has workers",
        "Open another one first, or close this one with --force.",
    ),
    RefusalReason.QUEUE_FULL: _ReasonDetails(
        429,
        "The customer has too many unfinished jobs",
        "Come back after Retry-After, or raise 'max_jobs'.",
    ),
    RefusalReason.REVISION_CONFLICT: _ReasonDetails(
        412,
        "The template changed since it was read",
        "Read it again and send its ETag in If-Match.",
    ),
    RefusalReason.GUARANTEES_DO_NOT_FIT: _ReasonDetails(
        422,
        "The guarantees don't embed together in the fleet",
        "Shrink the cell named here, or add workers. If workers were just "
        "added, apply it again once all are counted by: "
        "crocusrouter data-centre list",
    ),
    RefusalReason.ANSWER_LOST: _ReasonDetails(
        504,
        "The endpoint took the request and gave no whole answer",
        "Find out at the service whether it ran before asking again.",
    ),
    RefusalReason.ANSWER_MISMATCHED: _ReasonDetails(
        502,
        "The endpoint answered another request",
        "Find out at the service whether it ran before asking again.",
    ),
    RefusalReason.EARLIER_TRY_UNKNOWN: _ReasonDetails(
        502,
        "An earlier try of this Idempotency-Key may have run",
        "Find out at the service whether it ran before taking a fresh key.",
    ),
    RefusalReason.COMMIT_UNKNOWN: _ReasonDetails(
        503,
        "The key-value service didn't confirm the record in time",
        "Ask again with the same Idempotency-Key after Retry-After.",
    ),
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refusal as the caller receives it.

    Attributes:
        reason: The reason, which is also counted in the metrics.
        detail: What is wrong in this case.
        retry_after_s: Seconds after which a retry may succeed, or None if a
            retry can't succeed.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return _REASON_DETAILS[self.reason].status

    @property
    def title(self) -> str:
        """The summary shared by all refusals of this reason."""
        return _REASON_DETAILS[self.reason].title

    @property
    def remedy(self) -> str:
        """What the caller or operator can do."""
        return _REASON_DETAILS[self.reason].remedy

    def __str__(self) -> str:
        """Return title, detail and remedy as one text.

        >>> print(Refusal(RefusalReason.UNKNOWN_JOB, "job lg.1"))
        There is no such job: job lg.1. List them: crocusrouter job list
        """
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.title}{detail}. {self.remedy}"


class RefusedError(Exception):
    """Carries a refusal to the code that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


def refuse(
    reason: RefusalReason, detail: str = "", retry_after_s: float | None = None
) -> RefusedError:
    """Build the exception for a refusal; the caller raises it.

    >>> refuse(RefusalReason.NO_ENDPOINT, retry_after_s=1.0).refusal.status
    503
    """
    return RefusedError(Refusal(reason, detail, retry_after_s))

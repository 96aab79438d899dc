"""Data of a small request on its way through the filter chain."""

import dataclasses

from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import RetryReason
from crocusrouter.templates import RequestKind
from crocusrouter.templates import Template


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """A request as the HTTP server receives it, before any check.

    Attributes:
        kind: Name of the request kind in the path.
        authorization: Value of the Authorization header, or None.
        timeout: Value of the Request-Timeout header, or None.
        idempotency_key: Value of the Idempotency-Key header, or None.
        body: The whole body.
        content_type: Media type of the body.
    """

    kind: str
    authorization: str | None
    timeout: str | None
    idempotency_key: str | None
    body: bytes
    content_type: str = "application/json"


@dataclasses.dataclass(frozen=True)
class ValidatedRequest:
    """An authenticated and validated request.

    Attributes:
        id: Unique id, sent to endpoints and written to the logs.
        template: Template of the customer that sent the request.
        kind: Name of the request kind.
        request_kind: The template's settings for that kind.
        body: The whole body.
        digest: Hash of kind and body. It tells a repeated request from
            another request with the same idempotency key.
        idempotency_key: The caller's idempotency key, or None.
        deadline: When the caller stops waiting, on this process's clock.
    """

    id: str
    template: Template
    kind: str
    request_kind: RequestKind
    body: bytes
    digest: str
    idempotency_key: str | None
    deadline: float

    @property
    def customer(self) -> str:
        """Name of the customer that sent the request."""
        return self.template.customer


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """Result of one attempt to dispatch a request.

    Attributes:
        answer: The answer to the caller if there is no further attempt.
        retry_reason: Why another attempt could succeed, or None.
        endpoint: Name of the runner that was tried; empty if none was chosen.
    """

    answer: Answer
    retry_reason: RetryReason | None = None
    endpoint: str = ""

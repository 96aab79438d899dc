"""A small request on its way through the filter chain."""

import dataclasses

from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import RetryReason
from crocusrouter.templates import RequestKind
from crocusrouter.templates import Template


@dataclasses.dataclass(frozen=True)
class Incoming:
    """A request as the HTTP server delivers it.

    Attributes:
        kind: Kind named in the path.
        bearer: Value of the Authorization header, or None.
        timeout: Value of the Request-Timeout header, or None.
        key: Value of the Idempotency-Key header, or None.
        body: The whole body.
        content_type: Its media type.
    """

    kind: str
    bearer: str | None
    timeout: str | None
    key: str | None
    body: bytes
    content_type: str = "application/json"


@dataclasses.dataclass(frozen=True)
class Call:
    """An identified request.

    Attributes:
        id: Unique id, sent to endpoints and found in the logs.
        template: Template of the customer who asks.
        kind: Name of the kind.
        rules: What the template says of the kind.
        body: The whole body.
        digest: Hash of kind and body, to tell a repeat from a reused key.
        key: The caller's idempotency key, or None.
        deadline: When the caller stops waiting, on our own clock.
    """

    id: str
    template: Template
    kind: str
    rules: RequestKind
    body: bytes
    digest: str
    key: str | None
    deadline: float

    @property
    def customer(self) -> str:
        """Who asks."""
        return self.template.customer


@dataclasses.dataclass(frozen=True)
class Tried:
    """What one dispatch came to.

    Attributes:
        answer: The answer if nothing more is tried.
        retry: Why trying again could help, or None.
        endpoint: The endpoint tried, if one was chosen.
    """

    answer: Answer
    retry: RetryReason | None = None
    endpoint: str = ""

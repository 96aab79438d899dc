"""Authentication and validation of incoming requests."""

import hashlib
import hmac
import math
import re

import orjson

from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import refuse
from crocusrouter.requests import model
from crocusrouter.templates import Catalog
from crocusrouter.templates import Template

_BEARER_PREFIX = "Bearer "
_MAX_TIMEOUT_S = 3600.0
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")


def authenticate_customer(
    catalog: Catalog, authorization: str | None
) -> Template:
    """Return the template of the customer with the given bearer key.

    Args:
        catalog: The templates in force.
        authorization: Value of the Authorization header, or None.

    Raises:
        RefusedError: The header names no key, or the key of no customer.
    """
    if authorization is None or not authorization.startswith(_BEARER_PREFIX):
        raise refuse(RefusalReason.UNAUTHENTICATED, "no bearer key")
    digest = hashlib.sha256(
        authorization.removeprefix(_BEARER_PREFIX).encode()
    ).hexdigest()
    for versioned in catalog.templates.values():
        if hmac.compare_digest(versioned.template.key_sha256, digest):
            return versioned.template
    raise refuse(RefusalReason.UNAUTHENTICATED, "wrong bearer key")


def validate_request(
    incoming: model.IncomingRequest,
    catalog: Catalog,
    request_id: str,
    now: float,
) -> model.ValidatedRequest:
    """Authenticate a request and check its kind, key, deadline and body.

    Args:
        incoming: The request as received.
        catalog: The templates in force.
        request_id: Unique id for the request.
        now: Seconds on the process's own clock.

    Raises:
        RefusedError: A check failed; the refusal says which and how to
            correct the request.
    """
    template = authenticate_customer(catalog, incoming.authorization)
    request_kind = template.request_kinds.get(incoming.kind)
    if request_kind is None:
        detail = f"kind {incoming.kind!r} of customer {template.customer}"
        raise refuse(RefusalReason.UNKNOWN_KIND, detail)
    if len(incoming.body) > request_kind.max_body:
        detail = f"{len(incoming.body)} bytes; at most {request_kind.max_body}"
        raise refuse(RefusalReason.BODY_TOO_LARGE, detail)
    check_json(incoming.body)
    digest = hashlib.blake2b(incoming.body, digest_size=16)
    digest.update(incoming.kind.encode())
    return model.ValidatedRequest(
        id=request_id,
        template=template,
        kind=incoming.kind,
        request_kind=request_kind,
        body=incoming.body,
        digest=digest.hexdigest(),
        idempotency_key=check_idempotency_key(incoming.idempotency_key),
        deadline=now + parse_timeout(incoming.timeout, request_kind.timeout_s),
    )


def check_json(body: bytes) -> None:
    """Check that a body is one JSON value.

    Raises:
        RefusedError: The body is malformed JSON.
    """
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise refuse(RefusalReason.MALFORMED_JSON, str(error)) from error


def check_idempotency_key(key: str | None) -> str | None:
    """Check that an idempotency key is printable and not too long.

    Raises:
        RefusedError: The header is malformed.
    """
    if key is None or _IDEMPOTENCY_KEY.fullmatch(key):
        return key
    raise refuse(
        RefusalReason.MALFORMED_HEADER,
        "Idempotency-Key must be 1 to 255 visible ASCII characters",
    )


def parse_timeout(text: str | None, default_s: float) -> float:
    """Return the seconds that the caller is willing to wait.

    >>> parse_timeout("2.5", 10.0)
    2.5
    >>> parse_timeout(None, 10.0)
    10.0

    Raises:
        RefusedError: The value is not a number or not above zero.
    """
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds):
        detail = f"Request-Timeout {text!r} is not a number of seconds"
        raise refuse(RefusalReason.MALFORMED_HEADER, detail)
    if seconds <= 0:
        detail = f"Request-Timeout {text!r} is not above zero"
        raise refuse(RefusalReason.DEADLINE_PASSED, detail)
    return min(seconds, _MAX_TIMEOUT_S)

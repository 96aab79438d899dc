"""Identification: whose request it is, of which kind, until when."""

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

_BEARER = "Bearer "
_LONGEST_TIMEOUT_S = 3600.0
_KEY = re.compile(r"[\x21-\x7e]{1,255}")


def find_customer(catalog: Catalog, bearer: str | None) -> Template:
    """Return the template whose key is presented.

    Raises:
        RefusedError: No key, or one that belongs to nobody.
    """
    if bearer is None or not bearer.startswith(_BEARER):
        raise refuse(RefusalReason.UNAUTHENTICATED, "no bearer key")
    digest = hashlib.sha256(bearer.removeprefix(_BEARER).encode()).hexdigest()
    for held in catalog.templates.values():
        if hmac.compare_digest(held.template.key_sha256, digest):
            return held.template
    raise refuse(RefusalReason.UNAUTHENTICATED, "wrong bearer key")


def identify(
    incoming: model.Incoming, catalog: Catalog, request_id: str, now: float
) -> model.Call:
    """Check a request's key, kind, deadline and body.

    Args:
        incoming: The request as delivered.
        catalog: The templates in force.
        request_id: Id for the request.
        now: Seconds on the process's own clock.

    Raises:
        RefusedError: What is wrong and how to mend it.
    """
    template = find_customer(catalog, incoming.bearer)
    rules = template.request_kinds.get(incoming.kind)
    if rules is None:
        detail = f"kind {incoming.kind!r} of customer {template.customer}"
        raise refuse(RefusalReason.UNKNOWN_KIND, detail)
    if len(incoming.body) > rules.max_body:
        detail = f"{len(incoming.body)} bytes of at most {rules.max_body}"
        raise refuse(RefusalReason.BODY_TOO_LARGE, detail)
    check_json(incoming.body)
    digest = hashlib.blake2b(incoming.body, digest_size=16)
    digest.update(incoming.kind.encode())
    return model.Call(
        id=request_id,
        template=template,
        kind=incoming.kind,
        rules=rules,
        body=incoming.body,
        digest=digest.hexdigest(),
        key=check_key(incoming.key),
        deadline=now + parse_timeout(incoming.timeout, rules.timeout_s),
    )


def check_json(body: bytes) -> None:
    """Refuse a body that isn't one JSON value.

    Raises:
        RefusedError: Malformed JSON.
    """
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise refuse(RefusalReason.MALFORMED_JSON, str(error)) from error


def check_key(key: str | None) -> str | None:
    """Refuse an idempotency key that is too long or not printable.

    Raises:
        RefusedError: The header is malformed.
    """
    if key is None or _KEY.fullmatch(key):
        return key
    raise refuse(
        RefusalReason.MALFORMED_HEADER,
        "Idempotency-Key must be 1 to 255 visible ASCII characters",
    )


def parse_timeout(text: str | None, default_s: float) -> float:
    """Return the seconds that the caller still waits.

    >>> parse_timeout("2.5", 10.0)
    2.5
    >>> parse_timeout(None, 10.0)
    10.0

    Raises:
        RefusedError: Not a number, or not above zero.
    """
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds):
        detail = f"Request-Timeout {text!r} is no number of seconds"
        raise refuse(RefusalReason.MALFORMED_HEADER, detail)
    if seconds <= 0:
        detail = f"Request-Timeout {text!r} has run out"
        raise refuse(RefusalReason.DEADLINE_PASSED, detail)
    return min(seconds, _LONGEST_TIMEOUT_S)

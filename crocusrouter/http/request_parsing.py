"""Reads and checks the bodies and headers of HTTP requests."""

import hmac

from starlette import requests as starlette_requests

from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import refuse


async def read_body(
    request: starlette_requests.Request, max_bytes: int
) -> bytes:
    """Read a body of at most `max_bytes` bytes.

    Raises:
        RefusedError: The body is larger; the rest of it isn't read.
    """
    declared_size = request.headers.get("Content-Length", "0")
    if declared_size.isdigit() and int(declared_size) > max_bytes:
        raise refuse(
            RefusalReason.BODY_TOO_LARGE,
            f"{declared_size} bytes; the limit is {max_bytes}",
        )
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > max_bytes:
            raise refuse(
                RefusalReason.BODY_TOO_LARGE, f"more than {max_bytes} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def check_operator(
    request: starlette_requests.Request, operator_key: str
) -> None:
    """Check that a request carries the operators' key.

    Raises:
        RefusedError: The key is missing or wrong.
    """
    received = request.headers.get("Authorization", "")
    expected = f"Bearer {operator_key}"
    if not hmac.compare_digest(received.encode(), expected.encode()):
        raise refuse(
            RefusalReason.UNAUTHENTICATED, "the operators' key is required"
        )


def parse_if_match(value: str | None) -> int | None:
    """Return the revision that an If-Match header names.

    >>> parse_if_match('"7"')
    7
    >>> parse_if_match("*") is None
    True

    Raises:
        RefusedError: The value isn't an ETag of a template.
    """
    if value is None or value.strip() == "*":
        return None
    revision_text = value.strip().removeprefix('"').removesuffix('"')
    if not revision_text.isdigit():
        raise refuse(
            RefusalReason.MALFORMED_HEADER,
            f'If-Match {value!r} is not an ETag such as "7"',
        )
    return int(revision_text)

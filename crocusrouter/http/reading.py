"""Reading of HTTP requests within limits."""

import hmac

from starlette import requests as starlette_requests

from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import refuse


async def read_body(request: starlette_requests.Request, limit: int) -> bytes:
    """Read a body of at most `limit` bytes.

    Raises:
        RefusedError: The body is larger; what is left of it isn't read.
    """
    declared = request.headers.get("Content-Length", "0")
    if declared.isdigit() and int(declared) > limit:
        raise refuse(
            RefusalReason.BODY_TOO_LARGE, f"{declared} bytes of at most {limit}"
        )
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise refuse(
                RefusalReason.BODY_TOO_LARGE, f"more than {limit} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def check_operator(
    request: starlette_requests.Request, operator_key: str
) -> None:
    """Refuse a request that doesn't carry the operators' key.

    Raises:
        RefusedError: No key or a wrong one.
    """
    given = request.headers.get("Authorization", "")
    expected = f"Bearer {operator_key}"
    if not hmac.compare_digest(given.encode(), expected.encode()):
        raise refuse(RefusalReason.UNAUTHENTICATED, "operators' key wanted")


def parse_if_match(value: str | None) -> int | None:
    """Return the revision that an If-Match header names.

    >>> parse_if_match('"7"')
    7
    >>> parse_if_match("*") is None
    True

    Raises:
        RefusedError: Not an ETag of ours.
    """
    if value is None or value.strip() == "*":
        return None
    text = value.strip().removeprefix('"').removesuffix('"')
    if not text.isdigit():
        raise refuse(
            RefusalReason.MALFORMED_HEADER,
            f'If-Match {value!r} is no ETag such as "7"',
        )
    return int(text)

"""Token bucket that limits an entry's calls to the key-value service."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TokenBucket:
    """State of a token bucket at one moment.

    Attributes:
        rate: Tokens added per second.
        burst: Largest number of tokens.
        tokens: Number of tokens at `updated_at`; negative while callers wait.
        updated_at: Seconds on the process's own clock.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float


def open_bucket(rate: float, burst: float, now: float) -> TokenBucket:
    """Return a full bucket."""
    return TokenBucket(rate, burst, burst, now)


def take_token(bucket: TokenBucket, now: float) -> tuple[TokenBucket, float]:
    """Take one token; return the bucket and the seconds to wait before use.

    A caller that must wait reserves its token, so that waiting callers are
    spread evenly at `rate` and don't all try again at once.

    >>> bucket = open_bucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket, wait = take_token(bucket, now=0.0)
    >>> wait
    0.0
    >>> take_token(bucket, now=0.0)[1]
    0.5
    """
    gained = (now - bucket.updated_at) * bucket.rate
    tokens = min(bucket.burst, bucket.tokens + gained) - 1.0
    wait_s = max(0.0, -tokens / bucket.rate)
    return dataclasses.replace(bucket, tokens=tokens, updated_at=now), wait_s

"""Sends small requests and retries each at the next entry if needed."""

import collections
import dataclasses
from typing import Any

import httpcore
import orjson
import trio

_ATTEMPTS = 12
_RETRY_PAUSE_S = 0.25
_TIMEOUT_S = 5.0
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass
class Outcome:
    """Final result of the request for one item.

    Attributes:
        item: Number of the item.
        kind: Kind of the request.
        outcome: Outcome that the entry reported, or "unanswered".
        reason: Reason that the entry gave, if any.
        matches: Whether a successful answer was for this item.
    """

    item: int
    kind: str
    outcome: str
    reason: str = ""
    matches: bool = True


@dataclasses.dataclass
class Callers:
    """Sends requests to the entries in turn and records their outcomes.

    Attributes:
        urls: URLs of the entries.
        key: Bearer key of the customer.
        outcomes: Final outcomes of the requests.
        retried: Number of retries by reason.
    """

    urls: list[str]
    key: str
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    retried: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def run(self, items: range, concurrency: int) -> None:
        """Send a request for each item; odd items send a "reserve" request."""
        limiter = trio.CapacityLimiter(concurrency)
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            for item in items:
                nursery.start_soon(self._send_with_retries, pool, limiter, item)

    async def _send_with_retries(
        self,
        pool: httpcore.AsyncConnectionPool,
        limiter: trio.CapacityLimiter,
        item: int,
    ) -> None:
        kind = "reserve" if item % 2 else "match"
        async with limiter:
            outcome = Outcome(item, kind, "unanswered")
            for attempt in range(_ATTEMPTS):
                url = self.urls[(item + attempt) % len(self.urls)]
                retry_reason = await self._send_once(pool, url, outcome)
                if not retry_reason:
                    break
                self.retried[retry_reason] += 1
                await trio.sleep(_RETRY_PAUSE_S)
            self.outcomes.append(outcome)

    async def _send_once(
        self,
        pool: httpcore.AsyncConnectionPool,
        url: str,
        outcome: Outcome,
    ) -> str:
        """Send the request once; return the reason to retry, or ""."""
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Request-Timeout": "4",
        }
        if outcome.kind == "reserve":
            headers["Idempotency-Key"] = f"item-{outcome.item}"
        body = {"item": outcome.item, "work_s": 0.02}
        timeout_phases = ("connect", "read", "write", "pool")
        try:
            response = await pool.request(
                "POST",
                f"{url}/v1/requests/{outcome.kind}",
                headers=list(headers.items()),
                content=orjson.dumps(body),
                extensions={
                    "timeout": dict.fromkeys(timeout_phases, _TIMEOUT_S)
                },
            )
        except _FAILURES as error:
            outcome.outcome = "unanswered"
            return f"caller: {type(error).__name__}"
        return _record_response(response, outcome)


def _record_response(response: httpcore.Response, outcome: Outcome) -> str:
    headers = {k.lower(): v for k, v in response.headers}
    document: dict[str, Any] = orjson.loads(response.content)
    outcome.outcome = headers[b"crocusrouter-outcome"].decode()
    outcome.reason = document.get("reason", "")
    if outcome.outcome == "done":
        outcome.matches = document["item"] == outcome.item
        return ""
    if b"retry-after" in headers:
        return f"caller: {outcome.reason}"
    return ""

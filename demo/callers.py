"""Callers of small requests, which try again at another entry."""

import collections
import dataclasses
from typing import Any

import httpcore
import orjson
import trio

_ATTEMPTS = 12
_PAUSE_S = 0.25
_TIMEOUT_S = 5.0
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass
class Outcome:
    """What a caller got in the end for one item."""

    item: int
    kind: str
    outcome: str
    reason: str = ""
    matches: bool = True


@dataclasses.dataclass
class Callers:
    """Sends requests to all entries in turn and keeps what came back."""

    urls: list[str]
    key: str
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    retried: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    async def run(self, items: range, concurrency: int) -> None:
        """Send one request for each item; every second one reserves."""
        limit = trio.CapacityLimiter(concurrency)
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            for item in items:
                nursery.start_soon(self._call, pool, limit, item)

    async def _call(
        self,
        pool: httpcore.AsyncConnectionPool,
        limit: trio.CapacityLimiter,
        item: int,
    ) -> None:
        kind = "reserve" if item % 2 else "match"
        async with limit:
            outcome = Outcome(item, kind, "unanswered")
            for attempt in range(_ATTEMPTS):
                url = self.urls[(item + attempt) % len(self.urls)]
                again = await self._try(pool, url, outcome)
                if not again:
                    break
                self.retried[again] += 1
                await trio.sleep(_PAUSE_S)
            self.outcomes.append(outcome)

    async def _try(
        self,
        pool: httpcore.AsyncConnectionPool,
        url: str,
        outcome: Outcome,
    ) -> str:
        """Try once; return why to try again, or ""."""
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Request-Timeout": "4",
        }
        if outcome.kind == "reserve":
            headers["Idempotency-Key"] = f"item-{outcome.item}"
        body = {"item": outcome.item, "work_s": 0.02}
        names = ("connect", "read", "write", "pool")
        try:
            response = await pool.request(
                "POST",
                f"{url}/v1/requests/{outcome.kind}",
                headers=list(headers.items()),
                content=orjson.dumps(body),
                extensions={"timeout": dict.fromkeys(names, _TIMEOUT_S)},
            )
        except _FAILURES as error:
            outcome.outcome = "unanswered"
            return f"caller: {type(error).__name__}"
        return _judge(response, outcome)


def _judge(response: httpcore.Response, outcome: Outcome) -> str:
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

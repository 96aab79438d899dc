"""HTTP client of the commands that call an entry."""

import dataclasses
from typing import Any

import httpcore
import orjson

_TIMEOUT_S = 10.0
_FIRST_ERROR_STATUS = 400


class UnreachableError(Exception):
    """The entry didn't answer; the message names the remedy."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """The HTTP response of an entry.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        document: The JSON body.
    """

    status: int
    headers: dict[str, str]
    document: Any

    @property
    def is_refusal(self) -> bool:
        """Whether the entry refused the request."""
        return self.status >= _FIRST_ERROR_STATUS


class Client:
    """Sends requests to one entry, or to the balancer of all entries."""

    def __init__(self, entry: str, key: str) -> None:
        self._entry = entry.rstrip("/")
        self._key = key

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request and return the answer.

        Raises:
            UnreachableError: The entry didn't answer.
        """
        all_headers = {"Authorization": f"Bearer {self._key}"} | (headers or {})
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        phases = ("connect", "read", "write", "pool")
        try:
            response = httpcore.request(
                method,
                self._entry + path,
                headers=list(all_headers.items()),
                content=body,
                extensions={"timeout": dict.fromkeys(phases, _TIMEOUT_S)},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise UnreachableError(
                f"{self._entry} didn't answer ({type(error).__name__}). "
                "Check --entry or CROCUSROUTER_ENTRY."
            ) from error
        return Reply(
            response.status,
            {
                name.decode().lower(): value.decode("latin1")
                for name, value in response.headers
            },
            orjson.loads(response.content) if response.content else None,
        )

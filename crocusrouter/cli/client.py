"""HTTP client of the command line."""

import dataclasses
from typing import Any

import httpcore
import orjson

_TIMEOUT_S = 10.0
_FIRST_ERROR = 400


class UnreachableError(Exception):
    """The entry gave no answer; the message names the remedy."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer of an entry.

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
        """Whether the entry refused."""
        return self.status >= _FIRST_ERROR


class Client:
    """Asks one entry, or the balancer before all of them."""

    def __init__(self, entry: str, key: str) -> None:
        self._entry = entry.rstrip("/")
        self._key = key

    def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request and return the answer.

        Raises:
            UnreachableError: No answer.
        """
        sent = {"Authorization": f"Bearer {self._key}"} | (headers or {})
        if body is not None:
            sent["Content-Type"] = "application/json"
        names = ("connect", "read", "write", "pool")
        try:
            response = httpcore.request(
                method,
                self._entry + path,
                headers=list(sent.items()),
                content=body,
                extensions={"timeout": dict.fromkeys(names, _TIMEOUT_S)},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise UnreachableError(
                f"{self._entry} gave no answer ({type(error).__name__}). "
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

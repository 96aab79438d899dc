"""What the pools' controllers ask of the key-value service."""

import dataclasses
from typing import Protocol

from crocusrouter.store import records


@dataclasses.dataclass(frozen=True)
class Guard:
    """A condition of a write.

    Attributes:
        key: The whole key.
        revision: Revision of its last change; 0 if it must not exist.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """One key to write.

    Attributes:
        key: The whole key.
        value: The new body.
        lease: Lease under which the key lives, or 0.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Written:
    """All writes took effect at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Mismatched:
    """A guard failed and nothing was written.

    Attributes:
        current: The guarded keys that exist, as they are now.
    """

    current: dict[str, records.Record]


@dataclasses.dataclass(frozen=True)
class LeaseEnded:
    """The lease that a write names has ended; nothing was written."""


@dataclasses.dataclass(frozen=True)
class NotWritten:
    """The service refused or wasn't reached; nothing was written."""

    cause: str


@dataclasses.dataclass(frozen=True)
class MaybeWritten:
    """No answer: the writes may have taken effect, or may still do so."""

    cause: str


WriteOutcome = Written | Mismatched | LeaseEnded | NotWritten | MaybeWritten


@dataclasses.dataclass(frozen=True)
class Changes:
    """What a watch saw, and the revision up to which it saw everything."""

    events: tuple[records.Event, ...]
    revision: int


class HistoryGoneError(Exception):
    """The service no longer knows the changes since the given revision."""


class KeyValueStore(Protocol):
    """The key-value service, whatever its wire."""

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record; raises StoreUnavailableError."""
        ...

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix, at least as of its revision.

        Pages are read one after another. The revision is the first page's,
        so a watch from there misses nothing.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        ...

    async def write(
        self,
        guards: tuple[Guard, ...],
        writes: tuple[Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = 1.0,
    ) -> WriteOutcome:
        """Write all or nothing, if every guard holds."""
        ...

    async def watch(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after `revision`.

        Raises:
            HistoryGoneError: Read the prefix again.
            StoreUnavailableError: No usable answer.
        """
        ...

    async def grant(self, ttl_s: float) -> int:
        """Open a lease; raises StoreUnavailableError."""
        ...

    async def keep(self, lease: int) -> bool:
        """Renew a lease; False if it has ended.

        Raises:
            StoreUnavailableError: Nobody knows whether it was renewed.
        """
        ...

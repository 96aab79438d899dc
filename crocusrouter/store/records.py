"""Records of the key-value service and the outcomes of calls to it."""

import dataclasses
import os

import cbor2

REMEMBERED_WRITES = 8
_WRITE_ID_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Record:
    """One key's value at one revision.

    Attributes:
        key: The whole key.
        value: The body, without the envelope.
        revision: The service's revision of the last change of this key.
        write_ids: Identities of the latest writes, newest first. They let a
            writer whose answer was lost find out that its write took effect.
    """

    key: str
    value: bytes
    revision: int
    write_ids: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True)
class Committed:
    """The write took effect as this record."""

    record: Record


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The key was at another revision; nothing was written by this call."""

    current: Record | None


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The write took effect and another writer has replaced it since.

    To an operator that is a success. To a writer that should be alone on its
    key it means that it has been fenced.
    """

    current: Record


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The service gave no usable answer in time.

    Attributes:
        cause: What went wrong last.
        maybe_written: Whether the write may have taken effect or still may.
        write_id: The identity under which it would have.
    """

    cause: str
    maybe_written: bool = False
    write_id: bytes = b""


SwapOutcome = Committed | Conflict | Superseded | Unavailable


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All records under a prefix, as of one revision of the service."""

    records: tuple[Record, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changed:
    """A watched key has a new value."""

    record: Record


@dataclasses.dataclass(frozen=True)
class Removed:
    """A watched key is gone."""

    key: str
    revision: int


Event = Changed | Removed


def find_revision(event: Event) -> int:
    """Return the revision at which a change was made."""
    if isinstance(event, Removed):
        return event.revision
    return event.record.revision


def new_write_id() -> bytes:
    """Return a fresh random write identity of 8 bytes."""
    return os.urandom(_WRITE_ID_BYTES)


def wrap(value: bytes, write_id: bytes, earlier: tuple[bytes, ...]) -> bytes:
    """Put a value into its envelope.

    The envelope remembers the last eight writes, so that a lost answer can
    be settled even when others have written since.

    >>> unwrap("k", wrap(b"v", b"2", (b"1",)), 7)
    Record(key='k', value=b'v', revision=7, write_ids=(b'2', b'1'))
    """
    ids = (write_id, *earlier)[:REMEMBERED_WRITES]
    return cbor2.dumps([list(ids), value])


def unwrap(key: str, data: bytes, revision: int) -> Record:
    """Take a value out of its envelope.

    Raises:
        ValueError: `data` isn't an envelope; something else writes our keys.
    """
    try:
        ids, value = cbor2.loads(data)
        return Record(key, bytes(value), revision, tuple(map(bytes, ids)))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ValueError(
            f"the value of {key!r} isn't in crocusrouter's envelope; give the "
            "system a key prefix of its own"
        ) from error

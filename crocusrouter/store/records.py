"""Records and events of the key-value service, and outcomes of swaps."""

import dataclasses
import os

import cbor2

MAX_WRITE_IDS = 8
_WRITE_ID_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Record:
    """Value of a key at one revision.

    Attributes:
        key: The whole key.
        value: The value without its envelope.
        revision: The service's revision of the last change of this key.
        write_ids: Ids of the latest writes, newest first. They let a writer
            whose answer was lost find out that its write took effect.
    """

    key: str
    value: bytes
    revision: int
    write_ids: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True)
class Committed:
    """The write took effect and created this record."""

    record: Record


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The key was at another revision; this call wrote nothing."""

    current: Record | None


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The write took effect, and another writer has replaced its value since.

    For an operator's edit this is a success. A writer that should be the only
    writer of its key learns that it has been fenced.
    """

    current: Record


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The service gave no usable answer in time.

    Attributes:
        cause: The last error.
        maybe_written: Whether the write may have taken effect or still may.
        write_id: Id of the write.
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


def get_event_revision(event: Event) -> int:
    """Return the revision of the change that an event reports."""
    if isinstance(event, Removed):
        return event.revision
    return event.record.revision


def new_write_id() -> bytes:
    """Return a new random write id of 8 bytes."""
    return os.urandom(_WRITE_ID_BYTES)


def wrap(
    value: bytes, write_id: bytes, earlier_write_ids: tuple[bytes, ...]
) -> bytes:
    """Encode a value and its write ids as an envelope.

    The envelope holds the ids of the last eight writes, so that a writer whose
    answer was lost finds its write even if others have written since.

    >>> unwrap("k", wrap(b"v", b"2", (b"1",)), 7)
    Record(key='k', value=b'v', revision=7, write_ids=(b'2', b'1'))
    """
    write_ids = (write_id, *earlier_write_ids)[:MAX_WRITE_IDS]
    return cbor2.dumps([list(write_ids), value])


def unwrap(key: str, data: bytes, revision: int) -> Record:
    """Decode the envelope of a value.

    Raises:
        ValueError: `data` isn't an envelope, so another system writes to
            these keys.
    """
    try:
        write_ids, value = cbor2.loads(data)
        return Record(key, bytes(value), revision, tuple(map(bytes, write_ids)))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ValueError(
            f"the value of {key!r} isn't in crocusrouter's envelope; give the "
            "system a key prefix of its own"
        ) from error

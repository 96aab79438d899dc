"""CBOR codec for dataclasses: stored records and typed messages."""

import dataclasses
import enum
import functools
from typing import Any

import cbor2
import pydantic
import pydantic_core


class BadMessageError(Exception):
    """The data can't be decoded as a known message type."""


@functools.cache
def _build_adapter(message_type: Any) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(message_type)


def pack(value: object) -> bytes:
    """Encode a dataclass as a CBOR map with its field names.

    The names take space, but fields can be added later: stored records
    outlive the version that wrote them.
    """
    value_type: Any = type(value)
    return cbor2.dumps(
        _build_adapter(value_type).dump_python(value, mode="json")
    )


def unpack(value_type: type, data: bytes) -> Any:
    """Decode and validate a dataclass that was encoded by `pack`.

    Raises:
        BadMessageError: The bytes aren't CBOR or don't fit `value_type`.
    """
    try:
        return _build_adapter(value_type).validate_python(cbor2.loads(data))
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as error:
        raise BadMessageError(f"{value_type.__name__}: {error}") from error


def _encode_nested(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode a dataclass or an enum inside a message."""
    if isinstance(value, enum.Enum):
        encoder.encode(value.value)
    else:
        encoder.encode(vars(value))


class Registry:
    """Maps message types to integer tags and encodes their fields by position.

    A message is the CBOR array [tag, field, field, ...]. Field names are left
    out because they would take more space than the values of these frequent
    messages.
    """

    def __init__(self, *types: type) -> None:
        self._types = dict(enumerate(types))
        self._tags = {
            message_type: tag for tag, message_type in self._types.items()
        }

    def encode(self, message: object) -> bytes:
        """Encode a message of a registered dataclass type."""
        fields = (
            getattr(message, field.name)
            for field in dataclasses.fields(message)  # type: ignore[arg-type]
        )
        tag = self._tags[type(message)]
        return cbor2.dumps([tag, *fields], default=_encode_nested)

    def decode(self, data: bytes | str) -> Any:
        """Decode and validate a message.

        Raises:
            BadMessageError: The data isn't CBOR, the tag is unknown or a field
                is invalid.
        """
        if isinstance(data, str):
            raise BadMessageError("received a text frame; messages are binary")
        try:
            tag, *fields = cbor2.loads(data)
            message_type = self._types[tag]
            arguments = pydantic_core.ArgsKwargs(tuple(fields))
            return _build_adapter(message_type).validate_python(arguments)
        except (
            cbor2.CBORDecodeError,
            pydantic.ValidationError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise BadMessageError(str(error)) from error

"""CBOR codec of typed messages."""

import dataclasses
import enum
import functools
from typing import Any

import cbor2
import pydantic
import pydantic_core


class BadMessageError(Exception):
    """The bytes are no message of this registry."""


@functools.cache
def _find_adapter(message_type: Any) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(message_type)


def pack(value: object) -> bytes:
    """Encode a dataclass as CBOR, with its field names.

    Names cost bytes but let a field be added later: records outlive the
    version that wrote them.
    """
    value_type: Any = type(value)
    return cbor2.dumps(
        _find_adapter(value_type).dump_python(value, mode="json")
    )


def unpack(value_type: type, data: bytes) -> Any:
    """Decode and check what `pack` encoded.

    Raises:
        BadMessageError: The bytes aren't CBOR or don't fit `value_type`.
    """
    try:
        return _find_adapter(value_type).validate_python(cbor2.loads(data))
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as error:
        raise BadMessageError(f"{value_type.__name__}: {error}") from error


def _encode_nested(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode a dataclass or an enum inside a message."""
    if isinstance(value, enum.Enum):
        encoder.encode(value.value)
    else:
        encoder.encode(vars(value))


class Registry:
    """Maps message types to small tags and encodes them by position.

    A message is the CBOR array [tag, field, field, ...]: for the messages
    that flow all the time, names would cost more than the values.
    """

    def __init__(self, *types: type) -> None:
        self._types = dict(enumerate(types))
        self._tags = {kind: tag for tag, kind in self._types.items()}

    def encode(self, message: object) -> bytes:
        """Encode a message of a registered dataclass type."""
        fields = (
            getattr(message, field.name)
            for field in dataclasses.fields(message)  # type: ignore[arg-type]
        )
        tag = self._tags[type(message)]
        return cbor2.dumps([tag, *fields], default=_encode_nested)

    def decode(self, data: bytes | str) -> Any:
        """Decode and check a message.

        Raises:
            BadMessageError: Not CBOR, an unknown tag, or wrong fields.
        """
        if isinstance(data, str):
            raise BadMessageError("a text frame; messages are binary")
        try:
            tag, *fields = cbor2.loads(data)
            kind = self._types[tag]
            arguments = pydantic_core.ArgsKwargs(tuple(fields))
            return _find_adapter(kind).validate_python(arguments)
        except (
            cbor2.CBORDecodeError,
            pydantic.ValidationError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise BadMessageError(str(error)) from error

"""Structured logs: eliot messages as JSON lines."""

import sys
from typing import TextIO

import eliot
from eliot import json as eliot_json


def open_log(entry: str, stream: TextIO | None = None) -> None:
    """Send every eliot message of this process to `stream` as JSON lines.

    Args:
        entry: Name of the entry, added to each line.
        stream: Where lines go; standard error if None.
    """
    eliot.add_global_fields(entry=entry)
    eliot.to_file(
        stream if stream is not None else sys.stderr, json_default=_render
    )


def _render(value: object) -> object:
    """Return a value that JSON has no form for as something that it has.

    Named tuples are written as their own text, so that what a line says of a
    task reads as it does on the wire.
    """
    if isinstance(value, tuple):
        return str(value)
    return eliot_json.json_default(value)


def log(message_type: str, **fields: object) -> None:
    """Write one log line outside or inside the current action."""
    eliot.log_message(message_type=message_type, **fields)

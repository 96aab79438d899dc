"""Structured logs: eliot messages written as JSON lines."""

import sys
from typing import TextIO

import eliot
from eliot import json as eliot_json


def open_log(entry: str, stream: TextIO | None = None) -> None:
    """Write every eliot message of this process to `stream` as JSON lines.

    Args:
        entry: Name of the entry, added to each line.
        stream: Destination of the lines; standard error if None.
    """
    eliot.add_global_fields(entry=entry)
    eliot.to_file(
        stream if stream is not None else sys.stderr,
        json_default=_to_json_value,
    )


def _to_json_value(value: object) -> object:
    """Convert a value that JSON doesn't support into one that it does.

    Tuples are converted by `str`, so that keys of tasks and steps look the
    same in log lines as on the wire.
    """
    if isinstance(value, tuple):
        return str(value)
    return eliot_json.json_default(value)


def log(message_type: str, **fields: object) -> None:
    """Write one log line, within the current eliot action if there is one."""
    eliot.log_message(message_type=message_type, **fields)

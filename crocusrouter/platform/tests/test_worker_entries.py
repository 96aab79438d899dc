"""Tests of decoding worker entries, also those of other writers."""

import re

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from crocusrouter import platform
from crocusrouter import work
from crocusrouter.work import worker_port


def test_worker_entry_is_decoded():
    value = {
        "service": "s",
        "address": "10.0.0.9:8080",
        "zone": "liege",
        "state": "draining",
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
        "labels": ["a", "r1-3"],
        "seq": 4,
    }
    entry = platform.parse_worker_entry("servers/i-1", orjson.dumps(value))
    assert entry == worker_port.WorkerEntry(
        "i-1",
        "s",
        "10.0.0.9:8080",
        "liege",
        True,
        work.Room(16000, 32768, 8),
        frozenset({"a", "r1-3"}),
    )


@pytest.mark.parametrize(
    ("born", "incarnation"),
    [({"born": 5}, "i-1@5"), ({"born": None}, "i-1"), ({}, "i-1")],
)
def test_incarnation_includes_start_time(born, incarnation):
    entry = platform.parse_worker_entry(
        "servers/i-1", orjson.dumps(_ENTRY | born)
    )
    assert entry.id == incarnation
    assert entry.worker == "i-1"


@pytest.mark.parametrize("data", [b"", b"[]", b'{"service": 1}'])
def test_invalid_entry_is_none(data):
    assert platform.parse_worker_entry("servers/i-1", data) is None


_ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "liege",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
}


@pytest.mark.parametrize(
    "invalid_field",
    [
        {"state": None},
        {"state": "upgrading"},
        {"state": 1},
        {"service": ["s"]},
        {"address": "10.0.0.9"},
        {"address": "nowhere"},
        {"address": ""},
        {"address": 8080},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:99999"},
        {"address": "999.0.0.9:8080"},
        {"address": "10.0.0.9:8080\n"},
        {"capacity": None},
        {"capacity": "16000"},
        {"capacity": {"cpu": "16000", "mem_mb": 32768, "gpu": 8}},
        {"capacity": {"cpu": -1, "mem_mb": 32768, "gpu": 8}},
        {"capacity": {}},
        {"capacity": {"cpu": 1e308, "mem_mb": 32768, "gpu": 8}},
        {"capacity": {"cpu": 16000, "mem_mb": 2.0**41, "gpu": 8}},
        {"capacity": [[[[]]]]},
        {"labels": "a"},
        {"labels": [1]},
        {"labels": None},
        {"remaining_ms": "soon"},
        {"born": "1700000000000"},
        {"born": 1700000000000.5},
        {"born": 0},
        {"born": -1},
        {"born": True},
    ],
)
def test_entry_with_an_invalid_field_is_none(invalid_field):
    """Regression: values of other types were converted, and an entry without
    a state was taken for a ready worker. So tasks were sent to processes that
    can't run them.
    """
    assert (
        platform.parse_worker_entry("servers/i", orjson.dumps(_ENTRY))
        is not None
    )
    value = orjson.dumps(_ENTRY | invalid_field)
    assert platform.parse_worker_entry("servers/i", value) is None


@pytest.mark.parametrize(
    "field", ["service", "address", "state", "capacity", "labels"]
)
def test_entry_without_a_required_field_is_none(field):
    value = {name: value for name, value in _ENTRY.items() if name != field}
    assert platform.parse_worker_entry("servers/i", orjson.dumps(value)) is None


# Guards against a reader of the list that ends, or stops following it, because
# of one odd entry.
@pytest.mark.parametrize(
    "data",
    [
        b"[" * 200_000,
        b'{"a":' * 200_000,
        b"[" * 200_000 + b"]" * 200_000,
        b'{"capacity": {"cpu": 1e400}}',
        b'{"born": ' + b"9" * 5_000 + b"}",
        b'{"service": "\xff"}',
        b'{"service": "\\ud800"}',
        b"\x00",
        b'"' + b"x" * 900_000 + b'"',
    ],
)
def test_odd_entry_is_none(data):
    assert platform.parse_worker_entry("servers/i-1", data) is None


# Guards against numbers that decode but are out of range for what uses them.
@pytest.mark.parametrize("number", [b"1e400", b"-1e400", b"9" * 5_000])
@pytest.mark.parametrize("field", [b"cpu", b"remaining_ms", b"born"])
def test_entry_with_a_number_too_large_is_none(field, number):
    value = orjson.dumps(_ENTRY | {"remaining_ms": 0, "born": 1})
    odd_value = re.sub(b'("%b":)[0-9]+' % field, rb"\g<1>" + number, value)
    assert odd_value != value
    assert platform.parse_worker_entry("servers/i-1", odd_value) is None


# Guards against calls that fail because a header can't hold the worker's id.
@pytest.mark.parametrize(
    "worker", ["", "\u00e9", "a b", "a\n", "a\x00", "\ud800", " "]
)
def test_entry_of_an_unusable_id_is_none(worker):
    value = orjson.dumps(_ENTRY)
    assert platform.parse_worker_entry(f"servers/{worker}", value) is None


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@hypothesis.given(
    changed=strategies.dictionaries(
        strategies.sampled_from([*_ENTRY, "remaining_ms", "cpu", "born"]), _JSON
    ),
    key=strategies.text(max_size=12),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_any_entry_is_a_sound_worker_or_none(changed, key):
    """Decoding raises no errors and converts no values, whatever the input."""
    entry = platform.parse_worker_entry(
        f"servers/{key}", _dump(_ENTRY | changed)
    )
    if entry is None:
        return
    host, _, port = entry.address.partition(":")
    assert host.count(".") == 3
    assert port.isdecimal()
    assert min(entry.room) >= 0
    assert all(isinstance(label, str) for label in entry.labels)


@hypothesis.given(value=strategies.binary(max_size=60))
@hypothesis.settings(derandomize=True, deadline=None)
def test_bytes_that_are_no_entry(value):
    assert platform.parse_worker_entry("servers/i", value) is None


def _dump(document):
    try:
        return orjson.dumps(document)
    except orjson.JSONEncodeError:
        return b"{"  # lone surrogates and integers beyond 64 bits


# Guards against an owner that ends with an error, as would each successor,
# because one listed worker has an address that no connection accepts.
@pytest.mark.parametrize(
    "address",
    ["10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:\u0668\u0660"],
)
def test_entry_with_an_impossible_port_is_none(address):
    value = orjson.dumps(_ENTRY | {"address": address})
    assert platform.parse_worker_entry("servers/i-1", value) is None

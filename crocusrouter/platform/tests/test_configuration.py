"""Tests of decoding the operators' configuration."""

import copy

import orjson
import pytest

from crocusrouter import platform
from crocusrouter import queues

_CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Nony24.example",
            "prefix": "/lohu930/",
            "kind": "unsafe",
            "target_duration_ms": 1000,
            "priority": 1,
            "service": "s",
            "max_attempts": 3,
            "slack_factor": 3.0,
            "public": True,
        }
    ],
    "services": [{"name": "s", "admission_check": True, "standby": False}],
    "limits": {"max_body_bytes": 1000, "surprise": 1},
    "tenants": [
        {"name": "t", "api_keys": ["k1", "k2"], "guaranteed": {"gpu": 32}}
    ],
}


def test_configuration_is_decoded():
    config = platform.parse_config(orjson.dumps(_CONFIG))
    assert config.version == 7
    assert config.limits.max_body_bytes == 1000
    assert config.queues[0] == queues.Queue(
        "r1", "nony24.example", "/lohu930/", "s", 1, 3, 3.0, 1.0, True
    )
    customer = queues.find_customer(config, "k2")
    assert customer is not None
    assert customer.guaranteed_accelerators == 32


# Regression: changes of the configuration never took effect because an empty
# field was null or an unused field had another form.
@pytest.mark.parametrize(
    ("part", "field", "value"),
    [
        ("routes", "advice", None),
        ("routes", "advice", {"decide_ms": "fast"}),
        ("routes", "priority", None),
        ("tenants", "api_keys", None),
        ("tenants", "guaranteed", None),
        ("services", "standby", None),
        (None, "routes", None),
        (None, "limits", None),
        (None, "surprise", None),
    ],
)
def test_null_or_unknown_fields_are_accepted(part, field, value):
    document = copy.deepcopy(_CONFIG)
    section = document if part is None else document[part][0]
    section[field] = value
    assert platform.parse_config(orjson.dumps(document)).version == 7


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b'{"version": "x"}',
        b'{"version": "7"}',
        b'{"version": 0}',
        b'{"version": null}',
        b'{"version": 7, "routes": [null]}',
        b'{"version": 7, "routes": [{"name": "r"}]}',
    ],
)
def test_invalid_configuration_raises_value_error(data):
    with pytest.raises(ValueError):
        platform.parse_config(data)

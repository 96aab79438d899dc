"""Tests for control records that another writer has overwritten."""

import pytest

from crocusrouter import codec
from crocusrouter.controllers import configuration as configurations
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics


# Guards against an entry that ends with an error because the owner record of
# one data centre can't be read.
@pytest.mark.parametrize("value", [b"", b"\xff", b"\x05"])
def test_unreadable_owner_record_changes_nothing(value):
    configuration = configurations.Configuration("c/", Metrics())
    key = f"{configuration.owners_prefix}liege"
    configuration.apply_record(records.Record(key, value, 7), 0.0)
    assert configuration.find_owner_name("liege") == ""


# Guards against a data centre without a known owner because a later version
# of its record can't be read, and against one that is never known again.
def test_unreadable_owner_record_keeps_the_earlier_owner():
    configuration = configurations.Configuration("c/", Metrics())
    key = f"{configuration.owners_prefix}liege"
    for revision, value, expected in [
        (7, codec.pack(configurations.OwnerRecord("e1", 1, 0)), "e1"),
        (8, b"\xff", "e1"),
        (9, codec.pack(configurations.OwnerRecord("e2", 2, 0)), "e2"),
    ]:
        configuration.apply_record(records.Record(key, value, revision), 0.0)
        assert configuration.find_owner_name("liege") == expected

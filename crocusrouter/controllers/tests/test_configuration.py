"""Tests for control records that another writer has overwritten."""

import pytest

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

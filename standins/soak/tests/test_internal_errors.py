"""Tests for the search for errors in the logs of entries."""

import pytest

from standins.soak import world as worlds

_FAILED = '{"error":"RuntimeError","message_type":"owner:failed"}\n'
_USUAL = '{"message_type":"owner:began"}\n'


# Guards against soaks that pass while owners end with errors, of which callers
# see little because other entries take over.
@pytest.mark.parametrize(
    ("file", "text", "count"),
    [
        ("e0.out", _USUAL, 0),
        ("e0.out", _USUAL + _FAILED + _FAILED, 1),
        ("e0-1.out", _FAILED, 1),
        ("e0.err", "", 0),
        ("e0.err", "Traceback (most recent call last):\n", 1),
    ],
)
def test_errors_of_entries_are_found(file, text, count, tmp_path):
    world = worlds.World(1, 1, 1, tmp_path)
    (tmp_path / file).write_text(text)
    assert len(world.list_internal_errors()) == count

"""Fixtures of all tests of the emulator."""

from collections.abc import Iterator

import pytest

from standins import fuzzing


@pytest.fixture(autouse=True)
def same_schedule() -> Iterator[None]:
    """Fix the order of ready tasks, so that a seed plays the same day."""
    with fuzzing.fix_schedule():
        yield

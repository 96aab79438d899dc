"""Settings that all tests of the emulator share."""

from collections.abc import Iterator

import pytest

from standins import fuzzing


@pytest.fixture(autouse=True)
def same_schedule() -> Iterator[None]:
    """Play each day alike in every run."""
    with fuzzing.fix_schedule():
        yield

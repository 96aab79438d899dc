"""Defines the steady and the wall clock that the controllers read."""

from collections.abc import Callable
import dataclasses
import time


def read_steady() -> float:
    """Return steady seconds that include time in suspension.

    The usual monotonic clock stops while the process is suspended. An owner
    that resumes after its lease has ended would consider it valid and send
    orders alongside its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class Clock:
    """Source of the current time.

    Attributes:
        steady: Returns seconds for intervals and leases.
        wall: Returns Unix time in seconds.
    """

    steady: Callable[[], float] = read_steady
    wall: Callable[[], float] = time.time

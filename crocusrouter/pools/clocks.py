"""The clocks that the pools' controllers read."""

from collections.abc import Callable
import dataclasses
import time


def read_steady() -> float:
    """Return steady seconds that go on while the process is suspended.

    The usual steady clock stands still then. An owner that wakes after its
    lease has ended would find it still good and give orders beside its
    successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class Clock:
    """Where the present time comes from.

    Attributes:
        steady: Returns seconds for intervals and leases.
        wall: Returns Unix time in seconds.
    """

    steady: Callable[[], float] = read_steady
    wall: Callable[[], float] = time.time

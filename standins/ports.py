"""Finds free loopback ports for listeners of tests."""

import atexit
import collections
import os
import socket

_FIRST_PORT = 12_000
_LAST_PORT = 32_000
# Distance between the first ports of processes with consecutive ids.
_PROCESS_OFFSET = 397
# Number of reservations that are kept; a test needs some dozens.
_MAX_RESERVATIONS = 400

_reservations: collections.deque[socket.socket] = collections.deque()


class PortAllocator:
    """Allocates ports in sequence, starting at an offset per process.

    The ports lie below the kernel's ephemeral range. When ports came from that
    range, two listeners got the same port, and a caller of one entry received
    the empty "ready" answer of another.
    """

    def __init__(self) -> None:
        self._next = _FIRST_PORT + os.getpid() * _PROCESS_OFFSET % (
            _LAST_PORT - _FIRST_PORT
        )

    def allocate_ports(self, count: int) -> list[int]:
        """Return `count` ports that no socket listens on at this moment."""
        free_ports: list[int] = []
        while len(free_ports) < count:
            self._next += 1
            if self._next >= _LAST_PORT:
                self._next = _FIRST_PORT
            if _is_free(self._next):
                free_ports.append(self._next)
        return free_ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # Listeners set this option too. It allows ports whose previous
        # connections are in TIME_WAIT.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def reserve_ports(count: int) -> list[int]:
    """Return loopback ports chosen by the kernel and reserved for listeners.

    A socket stays bound to each port, so that the kernel doesn't assign the
    port to a connection before the listener starts. Without the reservation,
    one of two full test runs failed with "address already in use".
    """
    reservations = [_reserve_port() for _ in range(count)]
    _reservations.extend(reservations)
    while len(_reservations) > _MAX_RESERVATIONS:
        _reservations.popleft().close()
    return [reservation.getsockname()[1] for reservation in reservations]


def _reserve_port() -> socket.socket:
    reservation = socket.socket()
    reservation.bind(("127.0.0.1", 0))
    # Set only after binding, so that the kernel chose an unused port. Listeners
    # set the option too and may then bind to the port beside this socket.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation


@atexit.register
def _release_reservations() -> None:
    while _reservations:
        _reservations.pop().close()

"""Free loopback ports, each handed out once by a process.

They lie below those that the kernel gives to sockets without one of their own.
A port drawn from these and bound later had been given to a connection of the
same test meanwhile ("address already in use"), or to two listeners: a caller of
one entry then heard another one.
"""

import os
import socket

_FIRST = 12_000
_LAST = 32_000
# Processes that run beside each other begin this far apart.
_APART = 397


class Ports:
    """Hands out ports in turn, from a place that depends on the process."""

    def __init__(self) -> None:
        self._next = _FIRST + os.getpid() * _APART % (_LAST - _FIRST)

    def take(self, count: int) -> list[int]:
        """Return `count` ports that nobody listens on at this moment."""
        found: list[int] = []
        while len(found) < count:
            self._next += 1
            if self._next >= _LAST:
                self._next = _FIRST
            if _is_free(self._next):
                found.append(self._next)
        return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # As the listeners set it: a port whose last connections are still
        # being forgotten can be used.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_PORTS = Ports()


def find_ports(count: int) -> list[int]:
    """Return loopback ports that are free now and were not returned before."""
    return _PORTS.take(count)

"""Free loopback ports."""

import atexit
import collections
import os
import socket

_FIRST = 12_000
_LAST = 32_000
# Processes that run beside each other begin this far apart.
_APART = 397
# Reservations that are kept; a test needs some dozens.
_MOST_RESERVED = 400

_reserved: collections.deque[socket.socket] = collections.deque()


class Ports:
    """Hands out ports in turn, each once, from a place of its process.

    They lie below those that the kernel gives to sockets without one of their
    own. Drawn from these, a port was given to two listeners: a caller of one
    entry then heard the empty "ready" of another.
    """

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


def find_ports(count: int) -> list[int]:
    """Return loopback ports of the kernel's choice, kept for listeners.

    A socket stays bound to each, so that the kernel gives it to no connection
    before the listener comes: let go at once, one was taken in one of two
    whole runs of the tests ("address already in use").
    """
    kept = [_reserve() for _ in range(count)]
    _reserved.extend(kept)
    while len(_reserved) > _MOST_RESERVED:
        _reserved.popleft().close()
    return [one.getsockname()[1] for one in kept]


def _reserve() -> socket.socket:
    one = socket.socket()
    one.bind(("127.0.0.1", 0))
    # Set after binding: the kernel chose a port that nobody shares, and
    # listeners, which set it too, may bind to it beside this socket.
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return one


@atexit.register
def _release() -> None:
    while _reserved:
        _reserved.pop().close()

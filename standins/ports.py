"""Free loopback ports."""

import contextlib
import socket


def find_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]

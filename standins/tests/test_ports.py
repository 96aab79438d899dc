"""Tests of the ports for listeners of tests."""

import socket

import pytest

from standins import ports


def test_ports_are_below_ephemeral_range():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        lowest = min(32_768, probe.getsockname()[1])
    assert all(
        port < lowest for port in ports.PortAllocator().allocate_ports(50)
    )


# Guards against two entries that get the same port because neither listens yet:
# a caller of one entry received the empty "ready" answer of the other.
def test_ports_in_use_are_skipped():
    allocator = ports.PortAllocator()
    taken = allocator.allocate_ports(4) + allocator.allocate_ports(4)
    assert len(set(taken)) == 8
    with socket.create_server(("127.0.0.1", taken[-1] + 1)):
        assert taken[-1] + 1 not in allocator.allocate_ports(4)


def test_found_port_is_reserved_for_listener():
    """Guards against a connection that takes a port before its listener starts;
    the listener then fails with "address already in use".
    """
    [port] = ports.reserve_ports(1)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    with (
        socket.create_server(("127.0.0.1", port)) as listener,
        socket.create_connection(("127.0.0.1", port)),
    ):
        listener.accept()[0].close()

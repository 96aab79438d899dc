"""Stops a listening socket from accepting new connections at shutdown.

Closing a listening socket resets the connections that wait in its queue.
Their callers already see an established connection, may have sent a request,
and can't tell that it was never read.
"""

import ctypes
import socket
import struct

from crocusrouter.telemetry import log

# Linux socket option; the socket module doesn't define it.
_SO_ATTACH_FILTER = 26
# A BPF socket filter of one instruction, "return 0", which drops the packet.
_BPF_RETURN = 0x06
_DROP_ALL_INSTRUCTION = struct.pack("HBBI", _BPF_RETURN, 0, 0, 0)


def drop_new_connections(listener: socket.socket) -> None:
    """Drop new connection attempts; keep the connections in the queue.

    The SYN packet of a later caller is dropped. The caller's kernel sends it
    again after a second; by then the socket is closed, so that the connection
    is refused before the caller has sent a request.

    Args:
        listener: A listening TCP socket.
    """
    instructions = ctypes.create_string_buffer(_DROP_ALL_INSTRUCTION)
    filter_program = struct.pack("HP", 1, ctypes.addressof(instructions))
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_program
        )
    except OSError as error:
        # Without the filter, only callers that connect at the moment of the
        # close can have their connection reset.
        log("http:no-filter", error=str(error))

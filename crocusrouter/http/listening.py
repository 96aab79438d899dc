"""Listening sockets that can stop taking connections without cutting one.

Closing a listening socket resets the connections that wait in its queue.
Their callers have been told that they are connected, may have sent a request,
and can't know that nobody has read it.
"""

import ctypes
import socket
import struct

from crocusrouter.telemetry import log

# Linux's number; the socket module has no name for it.
_SO_ATTACH_FILTER = 26
# A socket filter of one instruction, "return 0": drop the packet.
_RETURN = 0x06
_DROP_ALL = struct.pack("HBBI", _RETURN, 0, 0, 0)


def refuse_connections(listener: socket.socket) -> None:
    """Let no further connection come to be; those in the queue stay.

    A caller that connects from now on has its opening packet dropped. Its
    kernel sends it again after a second, when the socket is closed and the
    caller is told so before it has sent anything.

    Args:
        listener: A listening TCP socket.
    """
    code = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        # Without the filter only callers that connect in the moment of the
        # close can be cut.
        log("http:no-filter", error=str(error))

"""Tells whether the peer of a TCP connection ended it in good order.

An event loop may not tell: uvloop reports a reset that it finds behind unread bytes as the end of
the stream. The kernel still knows then, until the socket is closed.
"""

import asyncio
import enum
import socket

CLOSE_WAIT = 8
"""State of a connection whose peer has sent its FIN, and nothing since (Linux, tcp_states.h)."""


class ConnectionEnd(enum.Enum):
    """How a connection ended."""

    ORDERLY = "in good order"
    """The peer's FIN was received, and no reset."""

    RESET = "reset"

    UNKNOWN = "in unknown order"
    """The kernel doesn't tell; what the end delimits mustn't be taken as whole."""


def end_of_stream(transport: asyncio.BaseTransport | None) -> ConnectionEnd:
    """Return how the peer ended its stream; call it from ``eof_received``.

    This end must not have closed or half-closed the connection.
    """
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None:
        return ConnectionEnd.UNKNOWN
    try:
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return ConnectionEnd.UNKNOWN
    # A failed write takes the error away, so that only the state is left to tell of the reset.
    is_orderly = not error and state == CLOSE_WAIT
    return ConnectionEnd.ORDERLY if is_orderly else ConnectionEnd.RESET

"""What a connection may bring and how long it may take; the configuration may change it."""

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of all connections of a listener; may change while they are open.

    Attributes
    ----------
    max_head_bytes
        Longest request line with headers.
    idle_seconds
        A connection without a request for this long is closed.
    read_seconds
        A request of which nothing has come in for this long is given up.
    write_seconds
        An answer of which nothing was taken for this long is given up.
    """

    max_head_bytes: int = 65_536
    idle_seconds: float = 75.0
    read_seconds: float = 30.0
    write_seconds: float = 60.0

"""Size and time limits of HTTP connections."""

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of all connections of a server; mutable, and changes apply to open connections.

    Attributes
    ----------
    max_head_bytes
        Maximum size of the request line and headers.
    idle_seconds
        Time after which a connection without a request is closed.
    read_seconds
        Time without progress after which a partially received request is dropped.
    write_seconds
        Time without progress after which an unsent response is dropped; 16 KiB read count as
        progress.
    max_connections
        Maximum number of open connections.
    """

    max_head_bytes: int = 65_536
    idle_seconds: float = 75.0
    read_seconds: float = 30.0
    write_seconds: float = 60.0
    max_connections: int = 65_536

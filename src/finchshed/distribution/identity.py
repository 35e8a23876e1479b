"""Who a daemon is, as told to control nodes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """Who the daemon is. ``endpoint`` is empty on an edge."""

    node: str
    incarnation: str
    service: str
    zone: str
    endpoint: str = ""

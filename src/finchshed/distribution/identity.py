"""Identity of a daemon, as sent to control nodes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """Identity of a daemon process; ``endpoint`` is empty on an edge."""

    node: str
    incarnation: str
    service: str
    zone: str
    endpoint: str = ""

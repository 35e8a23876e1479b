"""Identity of this daemon's endpoint as sent to other daemons.

A declared endpoint has a fixed name. With a registering back end, name and service follow the
current instance.
"""

import secrets
from dataclasses import dataclass, field

from finchshed.directory.registration import Registration

INCARNATION_BYTES = 8
"""Random bytes in an incarnation ID; enough to make collisions negligible."""


def new_incarnation() -> str:
    """Return a unique ID for an incarnation of an endpoint."""
    return secrets.token_hex(INCARNATION_BYTES)


@dataclass(slots=True)
class EndpointIdentity:
    """Identity sent with each Hello; name and service are empty on an edge.

    ``registration`` is that of a back end that registers itself, once there was one.
    """

    name: str
    service: str
    incarnation: str = field(default_factory=new_incarnation)
    registration: Registration | None = None

    def renew_incarnation(self) -> None:
        """Start a new incarnation; peers reset their state of the endpoint on the next Hello."""
        self.incarnation = new_incarnation()

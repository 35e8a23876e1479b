"""Who the endpoint of this daemon is to other daemons, and which life of it they talk to.

Owns name, service and incarnation of the endpoint. A declared endpoint keeps its name; one whose
back end registers is named by the instance that is there, so name and service follow it.
"""

import secrets
from dataclasses import dataclass, field

INCARNATION_BYTES = 8
"""Random bytes of an incarnation: equal ones in one deployment are out of the question."""


def new_incarnation() -> str:
    """Return what tells one life of an endpoint from all others."""
    return secrets.token_hex(INCARNATION_BYTES)


@dataclass(slots=True)
class EndpointIdentity:
    """Name, service and incarnation as they are sent with each Hello; empty names on an edge."""

    name: str
    service: str
    incarnation: str = field(default_factory=new_incarnation)

    def renew_incarnation(self) -> None:
        """Begin a new life: peers treat the endpoint as another one from their next Hello on."""
        self.incarnation = new_incarnation()

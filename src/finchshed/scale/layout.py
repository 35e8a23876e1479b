"""What a scale run stands for: regions, zones, services and endpoints, and their declarations.

Pure. A hollow daemon stands beside no back end, but it is declared like any other endpoint.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from finchshed.common.importance import Importance
from finchshed.configuration.resources import (
    Endpoint,
    Operator,
    Policy,
    Resource,
    Route,
    Service,
)

ZONES_OF_REGIONS = {
    "region-1": ("zone-1a", "zone-1b", "zone-1c"),
    "region-2": ("zone-2a", "zone-2b"),
    "region-3": ("zone-3a", "zone-3b"),
}
CONTROL_ZONES = ("zone-1a", "zone-1b", "zone-2a", "zone-2b", "zone-3a", "zone-3b")
"""Zones of the six control nodes; the last is a standby, the others vote."""

VOTERS = 5
REAL_SERVICE = "service-00"
"""The service of the real daemons; no hollow one belongs to it."""

OPERATOR = "scale-operator"
FIRST_HOLLOW_PORT = 10_000
FIRST_REAL_PORT = 20_000
HOSTS_PER_ZONE = 200
CONTROL_HOST_NUMBER = 240
REAL_HOST_NUMBER = 242
SLOTS = 8


class ScaleSize(msgspec.Struct, frozen=True, kw_only=True):
    """How large a run is.

    Attributes
    ----------
    daemons
        Hollow daemons; each is a declared endpoint.
    services
        Declared services, the one of the real daemons included.
    real_daemons
        Real daemons, each with a back end, beside one edge.
    daemons_per_process
        Most hollow daemons that share one process.
    peer_links
        Links to daemons of other zones that each hollow daemon keeps open.
    extra_routes
        Routes added to each service, to make declarations larger.
    """

    daemons: int = 1_100
    services: int = 52
    real_daemons: int = 6
    daemons_per_process: int = 40
    peer_links: int = 2
    extra_routes: int = 0


@dataclass(frozen=True, slots=True)
class Place:
    """A zone, its region, and its number from 1."""

    zone: str
    region: str
    number: int


def places() -> tuple[Place, ...]:
    """Return all zones in order."""
    pairs = [(zone, region) for region, zones in ZONES_OF_REGIONS.items() for zone in zones]
    return tuple(Place(zone, region, number) for number, (zone, region) in enumerate(pairs, 1))


def place_of(zone: str) -> Place:
    """Return the place of a zone."""
    return next(place for place in places() if place.zone == zone)


def control_host(prefix: str, zone: str) -> str:
    """Return the address of the control node in a zone; ``prefix`` is ``127.N.``."""
    return f"{prefix}{place_of(zone).number}.{CONTROL_HOST_NUMBER}"


def hollow_endpoints(size: ScaleSize, prefix: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of the hollow daemons, spread evenly over services and zones."""
    hollow_services = max(1, size.services - 1)
    return tuple(
        _endpoint(f"hollow-{number:04d}", 1 + number % hollow_services, number, prefix)
        for number in range(size.daemons)
    )


def real_endpoints(size: ScaleSize, prefix: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of the real daemons, all in the first zone: their links aren't cut."""
    place = places()[0]
    return tuple(
        Endpoint(
            name=f"real-{number:02d}",
            service=REAL_SERVICE,
            region=place.region,
            zone=place.zone,
            address=f"{prefix}{place.number}.{REAL_HOST_NUMBER}:{FIRST_REAL_PORT + number}",
            slots=SLOTS,
        )
        for number in range(size.real_daemons)
    )


def declarations(size: ScaleSize, prefix: str, token: str) -> tuple[Resource, ...]:
    """Return every resource of the run."""
    operator = Operator(OPERATOR, hashlib.sha256(token.encode()).hexdigest())
    return (
        operator,
        Policy(),
        *_services(size),
        *real_endpoints(size, prefix),
        *hollow_endpoints(size, prefix),
    )


def changes(endpoints: tuple[Endpoint, ...]) -> Iterator[Endpoint]:
    """Yield one changed endpoint after another without end, each unlike it was before."""
    slots = [endpoint.slots for endpoint in endpoints]
    while True:
        for number, endpoint in enumerate(endpoints):
            slots[number] = 1 + slots[number] % 60
            yield msgspec.structs.replace(endpoint, slots=slots[number])


def _services(size: ScaleSize) -> tuple[Service, ...]:
    routes = (
        Route("/", Importance.NORMAL),
        Route("/bulk", Importance.SHEDDABLE),
        *(Route(f"/extra/{number:04d}") for number in range(size.extra_routes)),
    )
    return tuple(Service(f"service-{number:02d}", routes) for number in range(size.services))


def _endpoint(name: str, service: int, number: int, prefix: str) -> Endpoint:
    all_places = places()
    place = all_places[number % len(all_places)]
    host = 1 + (number // len(all_places)) % HOSTS_PER_ZONE
    return Endpoint(
        name=name,
        service=f"service-{service:02d}",
        region=place.region,
        zone=place.zone,
        address=f"{prefix}{place.number}.{host}:{FIRST_HOLLOW_PORT + number}",
        slots=SLOTS,
    )

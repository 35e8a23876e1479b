"""A deployment with fan-out: a root calls three branches, and each of them three leaves."""

from typing import Final

from finchshed.common.importance import Importance
from finchshed.emulator.deployment import Deployment, Hop, RequestKind, ServiceModel

_LEAF: Final = Hop(service="leaf", seconds=0.005)
_BRANCH: Final = Hop(service="branch", seconds=0.002, calls=(_LEAF, _LEAF, _LEAF))

FAN_OUT: Final = Deployment(
    name="fan-out",
    zones=("zone-1", "zone-2", "zone-3"),
    zone_delay_seconds=0.001,
    client_delay_seconds=0.003,
    services=(
        ServiceModel(name="root", back_ends=3, slots=24),
        ServiceModel(name="branch", back_ends=3, slots=24),
        ServiceModel(name="leaf", back_ends=4, slots=16),
    ),
    kinds=(
        RequestKind(
            name="critical-tree",
            importance=Importance.CRITICAL,
            share=0.2,
            hop=Hop(service="root", seconds=0.002, calls=(_BRANCH, _BRANCH, _BRANCH)),
        ),
        RequestKind(
            name="browse-tree",
            importance=Importance.SHEDDABLE,
            share=0.8,
            hop=Hop(service="root", seconds=0.002, calls=(_BRANCH, _BRANCH, _BRANCH)),
        ),
    ),
    arrivals_per_second=60.0,
    deep_service="leaf",
)

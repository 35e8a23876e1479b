"""Deployments that ship with the emulator.

Zones, back ends, slots, connections and delays are those of real deployments. Service times, the
mix of requests and the call graphs are assumptions. The arrival rate is half the capacity of the
deep service.
"""

from typing import Final

from finchshed.common.importance import Importance
from finchshed.emulator.deployment import Deployment, Hop, RequestKind, ServiceModel

_REGULATIONS: Final = Hop(service="regulations", seconds=0.050)
_LICENCE: Final = Hop(service="licence-sales", seconds=0.010, calls=(_REGULATIONS,))

BRAZOS_RIDGE: Final = Deployment(
    name="brazos-ridge",
    zones=("zone-1", "zone-2", "zone-3", "zone-4"),
    zone_delay_seconds=0.0005,
    client_delay_seconds=0.008,
    services=(
        ServiceModel(name="regulations", back_ends=5, slots=6),
        ServiceModel(name="licence-sales", back_ends=4, slots=8),
        ServiceModel(name="booklet", back_ends=4, slots=9),
        ServiceModel(name="officer", back_ends=4, slots=10),
    ),
    kinds=(
        RequestKind(
            name="officer-check",
            importance=Importance.CRITICAL,
            share=0.04,
            hop=Hop(service="officer", seconds=0.010, calls=(_LICENCE,)),
        ),
        RequestKind(
            name="purchase",
            importance=Importance.HIGH,
            share=0.16,
            repeatable=False,
            hop=_LICENCE,
        ),
        RequestKind(
            name="tag-check",
            importance=Importance.NORMAL,
            share=0.10,
            session=True,
            hop=_LICENCE,
        ),
        RequestKind(
            name="season-rules",
            importance=Importance.NORMAL,
            share=0.30,
            hop=_REGULATIONS,
        ),
        RequestKind(
            name="booklet-page",
            importance=Importance.SHEDDABLE,
            share=0.40,
            hop=Hop(service="booklet", seconds=0.010, calls=(_REGULATIONS,)),
        ),
    ),
    arrivals_per_second=300.0,
    deep_service="regulations",
)

_NOTICES: Final = Hop(service="notices", seconds=0.100)
_TILES: Final = Hop(service="chart-tiles", seconds=0.020, calls=(_NOTICES,))

MANILA: Final = Deployment(
    name="manila",
    zones=("zone-1", "zone-2", "zone-3"),
    zone_delay_seconds=0.001,
    client_delay_seconds=0.003,
    services=(
        ServiceModel(name="chart-tiles", back_ends=6, slots=13, connections=130),
        ServiceModel(name="notices", back_ends=4, slots=16, connections=130),
        ServiceModel(name="chart-distribution", back_ends=3, slots=20, connections=130),
        ServiceModel(name="tide-prediction", back_ends=3, slots=23, connections=130),
    ),
    kinds=(
        RequestKind(
            name="tide-table",
            importance=Importance.CRITICAL,
            share=0.04,
            hop=Hop(service="tide-prediction", seconds=0.020, calls=(_NOTICES,)),
        ),
        RequestKind(
            name="publish-notice",
            importance=Importance.HIGH,
            share=0.06,
            repeatable=False,
            hop=_NOTICES,
        ),
        RequestKind(
            name="chart-download",
            importance=Importance.NORMAL,
            share=0.30,
            session=True,
            hop=Hop(service="chart-distribution", seconds=0.010, calls=(_TILES,)),
        ),
        RequestKind(
            name="tile-browse",
            importance=Importance.SHEDDABLE,
            share=0.60,
            hop=_TILES,
        ),
    ),
    arrivals_per_second=320.0,
    deep_service="notices",
)

PRESETS: Final = {deployment.name: deployment for deployment in (BRAZOS_RIDGE, MANILA)}

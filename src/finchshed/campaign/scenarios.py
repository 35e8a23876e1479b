"""Campaign scenarios, and how a scenario and a seed determine a run."""

import random
from collections.abc import Mapping
from typing import Final

import msgspec

from finchshed.campaign import disturbances as kinds
from finchshed.campaign.disturbances import Disturbance, Kind
from finchshed.campaign.sampler import CONTROL_NODES, FaultSampler
from finchshed.emulator.callers import ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment, Hop
from finchshed.emulator.presets import BRAZOS_RIDGE, MANILA
from finchshed.emulator.run import RunSpecification

BEGIN_SECONDS: Final = 2.5
"""Time of the first arrival, after the control group has formed."""

FAULTS_FROM_SECONDS: Final = 3.0
"""Earliest start time of a fault."""
FAULTS_UNTIL_SECONDS: Final = 6.0
"""Latest start time of a fault."""
END_SECONDS: Final = 7.5
"""Time of the last arrival."""
SETTLE_SECONDS: Final = 6.0
"""Time after the last arrival, long enough for faults to end and checked deadlines to expire."""

_SLOTS_DIVISOR: Final = 3
_TIME_FACTOR: Final = 2.0
"""Fewer slots and longer service times keep utilization at its usual level with fewer requests."""


class CampaignScenario(msgspec.Struct, frozen=True, kw_only=True):
    """Kinds of faults that are drawn for the runs of a scenario.

    Attributes
    ----------
    kinds
        Kinds to draw from, with replacement.
    always
        Kinds that every run includes.
    min_draws, max_draws
        Bounds of the number of draws from ``kinds``.
    """

    description: str
    kinds: tuple[Kind, ...]
    always: tuple[Kind, ...] = ()
    min_draws: int = 1
    max_draws: int = 3


_OVERLOAD: Final = (kinds.surge, kinds.slow_deep_service, kinds.surge_with_slow_service)
_PARTITION: Final = (
    kinds.zone_partition,
    kinds.zone_pair_partition,
    kinds.daemon_isolation,
    kinds.slow_link,
)
_CONTROL: Final = (kinds.leader_isolation, kinds.control_crash, kinds.control_freeze)
_DISKS: Final = (kinds.control_disk_loss, kinds.second_crash_during_recovery)
_DAEMONS: Final = (kinds.daemon_crash, kinds.daemon_freeze)
_BACK_ENDS: Final = (
    kinds.back_end_crash,
    kinds.back_end_freeze,
    kinds.back_end_drain,
    kinds.misreported_load,
    kinds.slow_back_end,
)
_PLANNED: Final = (kinds.graceful_restart, kinds.rolling_restart)

SCENARIOS: Final[Mapping[str, CampaignScenario]] = {
    "overload": CampaignScenario(
        description="the deep service slows and demand surges, clients repeat hard",
        kinds=_OVERLOAD,
        always=(kinds.surge_with_slow_service,),
        min_draws=0,
        max_draws=2,
    ),
    "partition": CampaignScenario(
        description="zones or machines are cut off, both ways or one, or links are slow",
        kinds=_PARTITION,
        always=(kinds.concurrent_changes,),
    ),
    "silent-leader": CampaignScenario(
        description="the control leader is cut off in silence while operators change things",
        kinds=(*_CONTROL, kinds.concurrent_changes),
        always=(kinds.leader_isolation, kinds.concurrent_changes),
        min_draws=0,
    ),
    "disk-loss": CampaignScenario(
        description="a control machine loses its disk, a second one is lost during the repair",
        kinds=(*_DISKS, *_DAEMONS, kinds.control_crash, kinds.concurrent_changes),
        always=(kinds.second_crash_during_recovery, kinds.concurrent_changes),
        max_draws=3,
    ),
    "daemon-loss": CampaignScenario(
        description="daemons and edges are killed or frozen",
        kinds=_DAEMONS,
        always=(kinds.concurrent_changes,),
        max_draws=4,
    ),
    "zone-loss": CampaignScenario(
        description="a whole zone is lost and comes back, perhaps with an empty control disk",
        kinds=(kinds.zone_outage, kinds.zone_partition, kinds.surge, kinds.control_disk_loss),
        always=(kinds.zone_outage, kinds.concurrent_changes),
        min_draws=0,
        max_draws=2,
    ),
    "back-end-loss": CampaignScenario(
        description="back ends die, freeze, leave, slow or mislead",
        kinds=_BACK_ENDS,
        always=(kinds.back_end_drain, kinds.back_end_crash),
        max_draws=4,
    ),
    "rolling-restart": CampaignScenario(
        description="back ends, daemons and control nodes are restarted as planned, under load",
        kinds=(kinds.graceful_restart, kinds.surge, kinds.concurrent_changes),
        always=(kinds.rolling_restart,),
        min_draws=0,
        max_draws=2,
    ),
    "config-race": CampaignScenario(
        description="operators race and resend while control nodes and daemons fail",
        kinds=(*_CONTROL, *_DAEMONS, kinds.zone_pair_partition),
        always=(kinds.concurrent_changes, kinds.concurrent_changes),
        min_draws=0,
        max_draws=2,
    ),
    "duplicates": CampaignScenario(
        description="messages come twice, and links break",
        kinds=(kinds.daemon_isolation, kinds.daemon_crash, kinds.slow_link),
        always=(kinds.duplicated_messages, kinds.concurrent_changes),
        max_draws=2,
    ),
    "everything": CampaignScenario(
        description="any of all faults, together and twice",
        kinds=(
            *_OVERLOAD,
            *_PARTITION,
            *_CONTROL,
            *_DISKS,
            *_DAEMONS,
            *_BACK_ENDS,
            *_PLANNED,
            kinds.zone_outage,
            kinds.concurrent_changes,
        ),
        min_draws=2,
        max_draws=6,
    ),
}


def scaled(deployment: Deployment, divisor: int, time_factor: float) -> Deployment:
    """Return ``deployment`` with fewer requests at the same utilization.

    Divides slots by ``divisor``, multiplies service times by ``time_factor`` and divides the
    arrival rate by both.
    """
    services = tuple(
        msgspec.structs.replace(service, slots=max(1, round(service.slots / divisor)))
        for service in deployment.services
    )
    request_kinds = tuple(
        msgspec.structs.replace(kind, hop=_with_scaled_times(kind.hop, time_factor))
        for kind in deployment.kinds
    )
    return msgspec.structs.replace(
        deployment,
        services=services,
        kinds=request_kinds,
        arrivals_per_second=deployment.arrivals_per_second / (divisor * time_factor),
    )


def _with_scaled_times(hop: Hop, factor: float) -> Hop:
    calls = tuple(_with_scaled_times(call, factor) for call in hop.calls)
    return Hop(service=hop.service, seconds=hop.seconds * factor, calls=calls)


DEPLOYMENTS: Final = tuple(
    scaled(deployment, _SLOTS_DIVISOR, _TIME_FACTOR) for deployment in (BRAZOS_RIDGE, MANILA)
)
"""Even seeds use the first deployment, odd seeds the second."""


class Plan(msgspec.Struct, frozen=True):
    """Deployment and disturbances of a run, determined by a scenario and a seed."""

    scenario: str
    seed: int
    deployment: Deployment
    disturbances: tuple[Disturbance, ...]

    def only(self, kept: tuple[int, ...]) -> "Plan":
        """Return a copy with only the disturbances at positions ``kept``."""
        return msgspec.structs.replace(
            self, disturbances=tuple(self.disturbances[position] for position in kept)
        )

    def specification(self) -> RunSpecification:
        """Return the emulator's specification of the run."""
        surges = tuple(item for item in self.disturbances if isinstance(item, Surge))
        acts = tuple(item for item in self.disturbances if not isinstance(item, Surge))
        return RunSpecification(
            deployment=self.deployment,
            seed=self.seed,
            begin_seconds=BEGIN_SECONDS,
            seconds=END_SECONDS,
            settle_seconds=SETTLE_SECONDS,
            surges=surges,
            acts=acts,
            client=ClientPolicy(),
            scenario=self.scenario,
            control_nodes=len(CONTROL_NODES),
        )


def plan_of(name: str, seed: int) -> Plan:
    """Return the plan of ``seed`` in scenario ``name``.

    Raises
    ------
    KeyError
        If there is no such scenario.
    """
    scenario = SCENARIOS[name]
    rng = random.Random(f"{name}/{seed}")
    deployment = DEPLOYMENTS[seed % len(DEPLOYMENTS)]
    sampler = FaultSampler(rng, deployment, FAULTS_FROM_SECONDS, FAULTS_UNTIL_SECONDS)
    drawn: list[Disturbance] = []
    for kind in scenario.always:
        drawn.extend(kind(sampler))
    for _ in range(sampler.integer(scenario.min_draws, scenario.max_draws)):
        drawn.extend(sampler.choice(scenario.kinds)(sampler))
    return Plan(name, seed, deployment, tuple(drawn))

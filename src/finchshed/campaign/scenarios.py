"""Scenarios of a campaign: which faults are drawn, on which deployment.

Owns times and sizes of a campaign's runs, and how a seed becomes a plan.
"""

import random
from collections.abc import Mapping
from typing import Final

import msgspec

from finchshed.campaign import disturbances as kinds
from finchshed.campaign.disturbances import Disturbance, Kind
from finchshed.campaign.draw import CONTROL_NODES, Draw
from finchshed.emulator.callers import ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment, Hop
from finchshed.emulator.presets import BRAZOS_RIDGE, MANILA
from finchshed.emulator.run import RunSpecification

BEGIN_SECONDS: Final = 2.5
"""Time of the first arrival: the control group has formed by then."""

FAULTS_FROM_SECONDS: Final = 3.0
"""Earliest fault, seconds; half a second after the first arrival."""
FAULTS_UNTIL_SECONDS: Final = 6.0
"""Latest fault, seconds; chosen, not measured."""
END_SECONDS: Final = 7.5
"""Time of the last arrival; chosen, not measured."""
SETTLE_SECONDS: Final = 6.0
"""Time after the last arrival, in which every fault has ended and every bound has run out."""

_SLOTS_DIVISOR: Final = 3
_TIME_FACTOR: Final = 2.0
"""A campaign's deployments have a part of the slots and longer service times, so that few requests
a second keep the back ends as busy as on an ordinary day."""


class CampaignScenario(msgspec.Struct, frozen=True, kw_only=True):
    """What is drawn for a run.

    Attributes
    ----------
    kinds
        Kinds of faults to draw from; a kind may be drawn twice.
    always
        Kinds drawn once in each run.
    least, most
        How many of ``kinds`` are drawn.
    """

    description: str
    kinds: tuple[Kind, ...]
    always: tuple[Kind, ...] = ()
    least: int = 1
    most: int = 3


_OVERLOAD: Final = (kinds.surge, kinds.slow_deep_service, kinds.surge_with_slow_service)
_PARTITION: Final = (kinds.zone_cut, kinds.pair_cut, kinds.node_cut, kinds.slow_link)
_CONTROL: Final = (kinds.silent_leader, kinds.control_kill, kinds.control_freeze)
_DISKS: Final = (kinds.disk_loss, kinds.second_loss_during_repair)
_DAEMONS: Final = (kinds.daemon_kill, kinds.daemon_freeze)
_BACK_ENDS: Final = (
    kinds.back_end_kill,
    kinds.back_end_freeze,
    kinds.back_end_leaves,
    kinds.misleading_load,
    kinds.slow_back_end,
)
_PLANNED: Final = (kinds.planned_restart, kinds.rolling_restart)

SCENARIOS: Final[Mapping[str, CampaignScenario]] = {
    "overload": CampaignScenario(
        description="the deep service slows and demand surges, clients repeat hard",
        kinds=_OVERLOAD,
        always=(kinds.surge_with_slow_service,),
        least=0,
        most=2,
    ),
    "partition": CampaignScenario(
        description="zones or machines are cut off, both ways or one, or links are slow",
        kinds=_PARTITION,
        always=(kinds.config_race,),
    ),
    "silent-leader": CampaignScenario(
        description="the control leader is cut off in silence while operators change things",
        kinds=(*_CONTROL, kinds.config_race),
        always=(kinds.silent_leader, kinds.config_race),
        least=0,
    ),
    "disk-loss": CampaignScenario(
        description="a control machine loses its disk, a second one is lost during the repair",
        kinds=(*_DISKS, *_DAEMONS, kinds.control_kill, kinds.config_race),
        always=(kinds.second_loss_during_repair, kinds.config_race),
        most=3,
    ),
    "daemon-loss": CampaignScenario(
        description="daemons and edges are killed or frozen",
        kinds=_DAEMONS,
        always=(kinds.config_race,),
        most=4,
    ),
    "zone-loss": CampaignScenario(
        description="a whole zone is lost and comes back, perhaps with an empty control disk",
        kinds=(kinds.zone_loss, kinds.zone_cut, kinds.surge, kinds.disk_loss),
        always=(kinds.zone_loss, kinds.config_race),
        least=0,
        most=2,
    ),
    "back-end-loss": CampaignScenario(
        description="back ends die, freeze, leave, slow or mislead",
        kinds=_BACK_ENDS,
        always=(kinds.back_end_leaves, kinds.back_end_kill),
        most=4,
    ),
    "rolling-restart": CampaignScenario(
        description="back ends, daemons and control nodes are restarted as planned, under load",
        kinds=(kinds.planned_restart, kinds.surge, kinds.config_race),
        always=(kinds.rolling_restart,),
        least=0,
        most=2,
    ),
    "config-race": CampaignScenario(
        description="operators race and resend while control nodes and daemons fail",
        kinds=(*_CONTROL, *_DAEMONS, kinds.pair_cut),
        always=(kinds.config_race, kinds.config_race),
        least=0,
        most=2,
    ),
    "duplicates": CampaignScenario(
        description="messages come twice, and links break",
        kinds=(kinds.node_cut, kinds.daemon_kill, kinds.slow_link),
        always=(kinds.duplicated_messages, kinds.config_race),
        most=2,
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
            kinds.zone_loss,
            kinds.config_race,
        ),
        least=2,
        most=6,
    ),
}


def scaled(deployment: Deployment, divisor: int, time_factor: float) -> Deployment:
    """Return ``deployment`` with as many back ends, equally busy with fewer requests.

    Slots are divided by ``divisor``, service times multiplied by ``time_factor``, and demand
    divided by both.
    """
    services = tuple(
        msgspec.structs.replace(service, slots=max(1, round(service.slots / divisor)))
        for service in deployment.services
    )
    kinds_of_requests = tuple(
        msgspec.structs.replace(kind, hop=_slower(kind.hop, time_factor))
        for kind in deployment.kinds
    )
    return msgspec.structs.replace(
        deployment,
        services=services,
        kinds=kinds_of_requests,
        arrivals_per_second=deployment.arrivals_per_second / (divisor * time_factor),
    )


def _slower(hop: Hop, factor: float) -> Hop:
    calls = tuple(_slower(call, factor) for call in hop.calls)
    return Hop(service=hop.service, seconds=hop.seconds * factor, calls=calls)


DEPLOYMENTS: Final = tuple(
    scaled(deployment, _SLOTS_DIVISOR, _TIME_FACTOR) for deployment in (BRAZOS_RIDGE, MANILA)
)
"""Even seeds run on the first, odd seeds on the second."""


class Plan(msgspec.Struct, frozen=True):
    """What one seed of a scenario gives: a deployment and the disturbances."""

    scenario: str
    seed: int
    deployment: Deployment
    disturbances: tuple[Disturbance, ...]

    def only(self, kept: tuple[int, ...]) -> "Plan":
        """Return the plan with only the disturbances at these positions."""
        return msgspec.structs.replace(
            self, disturbances=tuple(self.disturbances[position] for position in kept)
        )

    def specification(self) -> RunSpecification:
        """Return the run to do."""
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
    """Return what ``seed`` gives in the scenario ``name``; KeyError if there is none."""
    scenario = SCENARIOS[name]
    rng = random.Random(f"{name}/{seed}")
    deployment = DEPLOYMENTS[seed % len(DEPLOYMENTS)]
    draw = Draw(rng, deployment, FAULTS_FROM_SECONDS, FAULTS_UNTIL_SECONDS)
    drawn: list[Disturbance] = []
    for kind in scenario.always:
        drawn.extend(kind(draw))
    for _ in range(draw.number(scenario.least, scenario.most)):
        drawn.extend(draw.one_of(scenario.kinds)(draw))
    return Plan(name, seed, deployment, tuple(drawn))

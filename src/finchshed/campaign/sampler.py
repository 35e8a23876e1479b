"""Random choice of fault targets, start times and durations for one run."""

import random
from collections.abc import Sequence
from typing import Final, TypeVar

from finchshed.emulator.deployment import Deployment
from finchshed.emulator.world import endpoints_of

T = TypeVar("T")

CONTROL_NODES: Final = ("control-1", "control-2", "control-3")
LONGEST_FAULT_SECONDS: Final = 4.0
"""Default upper bound of a fault's duration."""


class FaultSampler:
    """Samples fault targets, start times and durations for one run.

    Parameters
    ----------
    begin, end
        Range of fault start times, in seconds.
    """

    def __init__(
        self, rng: random.Random, deployment: Deployment, begin: float, end: float
    ) -> None:
        self._rng = rng
        self.deployment = deployment
        self._begin = begin
        self._end = end
        self._change_count = 0
        self._disk_loss_nodes = tuple(rng.sample(CONTROL_NODES, 2))
        self._zones = {
            name: zone
            for service in deployment.services
            for name, zone in endpoints_of(deployment, service.name, service.back_ends)
        }
        self.endpoints = list(self._zones)

    def start_time(self) -> float:
        """Return the start time of a fault."""
        return round(self._rng.uniform(self._begin, self._end), 3)

    def uniform(self, least: float = 0.2, most: float = LONGEST_FAULT_SECONDS) -> float:
        """Return a number from ``least`` to ``most``, by default the duration of a fault."""
        return round(self._rng.uniform(least, most), 3)

    def integer(self, least: int, most: int) -> int:
        """Return an integer from ``least`` to ``most``, both included."""
        return self._rng.randint(least, most)

    def chance(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self._rng.random() < probability

    def choice(self, choices: Sequence[T]) -> T:
        """Return a uniformly chosen element of ``choices``."""
        return self._rng.choice(choices)

    def zone_pair(self) -> tuple[str, str]:
        """Return two distinct zones."""
        first, second = self._rng.sample(self.deployment.zones, 2)
        return first, second

    def endpoints_in(self, zone: str) -> list[str]:
        """Return the endpoints of a zone."""
        return [name for name, located_in in self._zones.items() if located_in == zone]

    def control_node(self) -> str:
        """Return a control node, or ``leader`` with probability 2/5."""
        return self.choice(("leader", "leader", *CONTROL_NODES))

    def disk_loss_node(self) -> str:
        """Return one of the control nodes whose disks may be lost in this run.

        Only two of the three are eligible, since data lost on all three can't be recovered.
        """
        return self.choice(self._disk_loss_nodes)

    def may_lose_disk(self, node: str) -> bool:
        """Return whether the disk of control node ``node`` may be lost in this run."""
        return node in self._disk_loss_nodes

    def daemon_node(self) -> str:
        """Return the name of an edge daemon (probability 1/4) or of a back end's daemon."""
        edges = [f"edge-{zone}" for zone in self.deployment.zones]
        return self.choice(edges) if self.chance(0.25) else self.choice(self.endpoints)

    def change_id(self) -> str:
        """Return a new identifier for a configuration change."""
        self._change_count += 1
        return f"change-{self._change_count}"

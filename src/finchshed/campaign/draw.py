"""Draws targets and times of faults for one run, from one seed."""

import random
from collections.abc import Sequence
from typing import Final, TypeVar

from finchshed.emulator.deployment import Deployment
from finchshed.emulator.world import endpoints_of

T = TypeVar("T")

CONTROL_NODES: Final = ("control-1", "control-2", "control-3")
LONGEST_FAULT_SECONDS: Final = 4.0
"""Longest fault, seconds; chosen, not measured."""


class Draw:
    """Draws targets and times for one run.

    Parameters
    ----------
    begin, end
        Times between which faults begin, seconds.
    """

    def __init__(
        self, rng: random.Random, deployment: Deployment, begin: float, end: float
    ) -> None:
        self._rng = rng
        self.deployment = deployment
        self._begin = begin
        self._end = end
        self._changes = 0
        self._mortal = tuple(rng.sample(CONTROL_NODES, 2))
        self._zones = {
            name: zone
            for service in deployment.services
            for name, zone in endpoints_of(deployment, service.name, service.back_ends)
        }
        self.endpoints = list(self._zones)

    def time(self) -> float:
        """Return a moment for a fault to begin."""
        return round(self._rng.uniform(self._begin, self._end), 3)

    def seconds(self, least: float = 0.2, most: float = LONGEST_FAULT_SECONDS) -> float:
        """Return how long a fault lasts."""
        return round(self._rng.uniform(least, most), 3)

    def number(self, least: int, most: int) -> int:
        """Return a whole number from ``least`` to ``most``."""
        return self._rng.randint(least, most)

    def chance(self, probability: float) -> bool:
        """Return whether something of that probability happens."""
        return self._rng.random() < probability

    def one_of(self, choices: Sequence[T]) -> T:
        """Return one of ``choices``."""
        return self._rng.choice(choices)

    def zones(self) -> tuple[str, str]:
        """Return two different zones."""
        first, second = self._rng.sample(self.deployment.zones, 2)
        return first, second

    def endpoints_in(self, zone: str) -> list[str]:
        """Return the endpoints of a zone."""
        return [name for name, place in self._zones.items() if place == zone]

    def control(self) -> str:
        """Return a control node; the leader as often as all others together."""
        return self.one_of(("leader", "leader", *CONTROL_NODES))

    def disk(self) -> str:
        """Return a control node that may lose its disk.

        Two of the three may in one run: what all three have lost nobody can bring back.
        """
        return self.one_of(self._mortal)

    def may_lose_disk(self, node: str) -> bool:
        """Return whether a control node is one of those that may lose their disks."""
        return node in self._mortal

    def daemon(self) -> str:
        """Return a daemon: beside a back end, or an edge."""
        edges = [f"edge-{zone}" for zone in self.deployment.zones]
        return self.one_of(edges) if self.chance(0.25) else self.one_of(self.endpoints)

    def change_id(self) -> str:
        """Return a name for one more race of operators."""
        self._changes += 1
        return f"change-{self._changes}"

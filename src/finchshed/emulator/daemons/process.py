"""A process that can crash, start again, freeze and thaw."""

from collections.abc import Callable
from typing import Any

from finchshed.emulator.clock import Timer
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation


class Process:
    """Base of emulated processes.

    Callbacks belong to one life of the process: those of an earlier life never happen, and those
    that fall due while the process is frozen happen when it thaws, in order.
    """

    def __init__(self, simulation: Simulation, site: Site) -> None:
        self.simulation = simulation
        self.site = site
        self.up = True
        self.frozen = False
        self.life = 1
        self._postponed: list[tuple[int, Callable[..., None], tuple[Any, ...]]] = []

    @property
    def now(self) -> float:
        """Present simulated time."""
        return self.simulation.clock.now

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.site.node

    def dispatch(self, life: int, function: Callable[..., None], *arguments: Any) -> None:
        """Call ``function`` if the process still lives that life, once it isn't frozen."""
        if life != self.life or not self.up:
            return
        if self.frozen:
            self._postponed.append((life, function, arguments))
            return
        function(*arguments)

    def call_later(self, delay: float, function: Callable[..., None], *arguments: Any) -> Timer:
        """Call ``function`` in this life of the process after ``delay`` seconds."""
        return self.simulation.clock.call_later(
            delay, self.dispatch, self.life, function, *arguments
        )

    def send(
        self, target: "Process", function: Callable[..., None], *arguments: Any, life: int = 0
    ) -> None:
        """Call ``function`` at ``target`` after the network's delay.

        ``life`` is the target's life that the message is for; 0 is its life at arrival.
        """

        def deliver() -> None:
            target.dispatch(life or target.life, function, *arguments)

        self.simulation.network.send(self.site, target.site, deliver)

    def stop(self) -> None:
        """End this life; nothing of it happens any more."""
        self.up = False
        self.frozen = False
        self.life += 1
        self._postponed.clear()

    def start(self) -> None:
        """Begin a new life."""
        self.up = True

    def freeze(self) -> None:
        """Stop making progress, in silence."""
        self.frozen = True

    def thaw(self) -> None:
        """Go on, with everything that fell due meanwhile."""
        if not self.frozen:
            return
        self.frozen = False
        postponed, self._postponed = self._postponed, []
        for life, function, arguments in postponed:
            self.dispatch(life, function, *arguments)

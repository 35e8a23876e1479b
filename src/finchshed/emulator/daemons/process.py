"""Base of emulated processes, which can crash, restart, freeze and thaw."""

from collections.abc import Callable
from typing import Any

from finchshed.emulator.clock import Timer
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation


class Process:
    """A process of the emulator.

    Each start begins a new generation. Callbacks of an earlier generation are dropped; those due
    while the process is frozen run in order when it thaws.
    """

    def __init__(self, simulation: Simulation, site: Site) -> None:
        self.simulation = simulation
        self.site = site
        self.up = True
        self.frozen = False
        self.generation = 1
        self._deferred: list[tuple[int, Callable[..., None], tuple[Any, ...]]] = []

    @property
    def now(self) -> float:
        """Current simulated time, seconds."""
        return self.simulation.clock.now

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.site.node

    def dispatch(self, generation: int, function: Callable[..., None], *arguments: Any) -> None:
        """Call ``function`` unless generation ``generation`` has ended; defer it while frozen."""
        if generation != self.generation or not self.up:
            return
        if self.frozen:
            self._deferred.append((generation, function, arguments))
            return
        function(*arguments)

    def call_later(self, delay: float, function: Callable[..., None], *arguments: Any) -> Timer:
        """Call ``function`` after ``delay`` seconds unless this generation has ended."""
        return self.simulation.clock.call_later(
            delay, self.dispatch, self.generation, function, *arguments
        )

    def send(
        self, target: "Process", function: Callable[..., None], *arguments: Any, generation: int = 0
    ) -> None:
        """Call ``function`` at ``target`` after the network delay.

        ``generation`` is the generation of the target to deliver to, or 0 for the one at arrival.
        """

        def deliver() -> None:
            target.dispatch(generation or target.generation, function, *arguments)

        self.simulation.network.send(self.site, target.site, deliver)

    def stop(self) -> None:
        """End this generation and drop its callbacks."""
        self.up = False
        self.frozen = False
        self.generation += 1
        self._deferred.clear()

    def start(self) -> None:
        """Begin a new generation."""
        self.up = True

    def freeze(self) -> None:
        """Suspend the process; its callbacks are deferred."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process and run the deferred callbacks."""
        if not self.frozen:
            return
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for generation, function, arguments in deferred:
            self.dispatch(generation, function, *arguments)

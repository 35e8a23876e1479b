"""Services shared by all components of a run."""

from dataclasses import dataclass

from finchshed.emulator.clock import Clock
from finchshed.emulator.network import Network
from finchshed.emulator.recorder import Recorder
from finchshed.emulator.streams import Streams


@dataclass(frozen=True, slots=True)
class Simulation:
    """The clock, network, random streams and recorder of one run."""

    clock: Clock
    network: Network
    streams: Streams
    recorder: Recorder

    @property
    def now(self) -> float:
        """Current simulated time, seconds."""
        return self.clock.now

"""What the daemons and operators of a run need of control, however it is emulated."""

from collections.abc import Callable, Iterable
from typing import Protocol

from finchshed.configuration.resources import Endpoint, Policy
from finchshed.emulator import acts
from finchshed.emulator.daemons.control_connection import ControlConnection
from finchshed.emulator.daemons.daemon import SimulatedDaemon


class ControlPlane(Protocol):
    """The control nodes of a run."""

    def connect(self, daemon: SimulatedDaemon) -> ControlConnection:
        """Return the way to control for the present generation of ``daemon``."""
        ...

    def start(
        self, endpoints: Iterable[Endpoint], policy: Policy, daemons: list[SimulatedDaemon]
    ) -> None:
        """Begin, with the first configuration."""

    def crash(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Kill a control node for ``seconds``."""

    def freeze(self, node: str, seconds: float) -> None:
        """Stop a control node for ``seconds``."""

    def stop_planned(self, node: str, seconds: float) -> None:
        """Restart a control node as an operator would."""

    def submit(self, act: acts.Submit) -> None:
        """Let operators change the configuration."""

    def declare_draining(self, endpoint: str, accepted: Callable[[], None]) -> None:
        """Let an operator declare that an endpoint leaves."""

    def list_leaving(self, endpoint: str) -> None:
        """Let the platform's list name an endpoint as leaving."""

    def list_live(self, endpoint: str) -> None:
        """Let the platform's list name an endpoint as live."""

    def node_name(self, node: str) -> str:
        """Return the node meant by a name, ``leader`` or ``follower``, or the name itself."""
        ...

    def note_reachability(self) -> None:
        """Record which daemons can reach a majority, where that changed."""

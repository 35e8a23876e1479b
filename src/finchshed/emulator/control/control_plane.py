"""Interface of the control plane, independent of how it is emulated."""

from collections.abc import Callable, Iterable
from typing import Protocol

from finchshed.configuration.resources import Endpoint, Policy
from finchshed.emulator import acts
from finchshed.emulator.daemons.control_connection import ControlConnection
from finchshed.emulator.daemons.daemon import SimulatedDaemon


class ControlPlane(Protocol):
    """Control plane of a run."""

    def connect(self, daemon: SimulatedDaemon) -> ControlConnection:
        """Return a connection for the current generation of ``daemon``."""
        ...

    def start(
        self, endpoints: Iterable[Endpoint], policy: Policy, daemons: list[SimulatedDaemon]
    ) -> None:
        """Start with the initial configuration."""

    def crash(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Crash a control node and restart it after ``seconds``."""

    def freeze(self, node: str, seconds: float) -> None:
        """Freeze a control node for ``seconds``."""

    def stop_planned(self, node: str, seconds: float) -> None:
        """Gracefully stop a control node and restart it after ``seconds``."""

    def submit(self, act: acts.Submit) -> None:
        """Submit configuration changes by operators."""

    def declare_draining(self, endpoint: str, accepted: Callable[[], None]) -> None:
        """Declare by an operator that an endpoint is draining; calls ``accepted`` on success."""

    def list_leaving(self, endpoint: str) -> None:
        """List an endpoint as leaving in the platform's list."""

    def list_live(self, endpoint: str) -> None:
        """List an endpoint as live in the platform's list."""

    def node_name(self, node: str) -> str:
        """Resolve ``leader`` and ``follower`` to a node's name; return other names unchanged."""
        ...

    def record_reachability(self) -> None:
        """Record each daemon whose ability to reach a majority has changed."""

"""The processes of a run: daemons, edges and the control plane, and operations on them."""

from finchshed.configuration.resources import Endpoint, Policy
from finchshed.emulator import acts
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.clock import Clock
from finchshed.emulator.control.control_plane import ControlPlane
from finchshed.emulator.control.group import PLATFORM_LAG_SECONDS
from finchshed.emulator.control.planes import ReplicatedControlPlane, SimplifiedControlPlane
from finchshed.emulator.daemons.daemon import REGION, SimulatedDaemon
from finchshed.emulator.faults import UnknownTargetError
from finchshed.emulator.network import Site
from finchshed.emulator.request import Path
from finchshed.emulator.run import RunSpecification
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import (
    EndpointLeaving,
    EndpointReturned,
    NodeStarted,
    NodeStopped,
    PlannedStop,
)

STOP_POLL_SECONDS = 0.05
"""Interval between checks whether a stopping daemon is idle."""
STOP_LINGER_SECONDS = 0.5
"""Minimum duration of a graceful stop, for requests still on their way."""


class SimulatedProcesses:
    """A daemon per back end, an edge per zone, and the control plane."""

    def __init__(
        self,
        simulation: Simulation,
        specification: RunSpecification,
        back_ends: dict[str, BackEnd],
    ) -> None:
        self._simulation = simulation
        self._clock: Clock = simulation.clock
        self._recorder = simulation.recorder
        self._back_ends = back_ends
        self._control = _create_control_plane(simulation, specification)
        self._endpoints: dict[str, Endpoint] = {}
        self._daemons: dict[str, SimulatedDaemon] = {}
        self._edges: dict[str, SimulatedDaemon] = {}
        for number, back_end in enumerate(back_ends.values()):
            self._add_back_end(number, back_end)
        for zone in specification.deployment.zones:
            edge = self._create_daemon(Site(f"edge-{zone}", zone), None)
            self._edges[zone] = edge
        daemons = self._all_daemons()
        for daemon in daemons:
            self._recorder.record(NodeStarted(0.0, daemon.name))
        policy = Policy(retry_budget=specification.retry_budget)
        self._control.start(self._endpoints.values(), policy, daemons)

    def edge_of(self, zone: str) -> tuple[Site, Path]:
        """Return site and path of the edge of ``zone``."""
        edge = self._edges[zone]
        return edge.site, edge

    def daemon_of(self, endpoint: str) -> SimulatedDaemon:
        """Return the daemon local to the back end of an endpoint."""
        return self._daemons[endpoint]

    def find_daemon(self, name: str) -> SimulatedDaemon | None:
        """Return the back end's or edge daemon with this name, or None."""
        for daemon in self._all_daemons():
            if daemon.name == name:
                return daemon
        return None

    def node_name(self, node: str) -> str:
        """Resolve ``leader`` and ``follower`` to a node's name; return other names unchanged."""
        return self._control.node_name(node)

    def crash_daemon(self, node: str, seconds: float) -> None:
        """Crash a daemon and restart it after ``seconds``."""
        daemon = self._require_daemon(node)
        if not daemon.up:
            return
        daemon.crash()
        self._recorder.record(NodeStopped(self._clock.now, node))
        self._clock.call_later(seconds, self._restart, daemon)

    def freeze_daemon(self, node: str, seconds: float) -> None:
        """Freeze a daemon for ``seconds``."""
        daemon = self._require_daemon(node)
        if not daemon.up or daemon.frozen:
            return
        daemon.freeze()
        self._recorder.record(NodeStopped(self._clock.now, node))
        self._clock.call_later(seconds, self._thaw, daemon, daemon.generation)

    def crash_control(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Crash a control node and restart it after ``seconds``."""
        self._control.crash(node, seconds, wipe_disk)
        self._control.record_reachability()

    def freeze_control(self, node: str, seconds: float) -> None:
        """Freeze a control node for ``seconds``."""
        self._control.freeze(node, seconds)
        self._control.record_reachability()

    def stop_control(self, node: str, seconds: float) -> None:
        """Gracefully stop a control node and restart it after ``seconds``."""
        self._control.stop_planned(node, seconds)

    def drain(self, endpoint: str, sign: str) -> None:
        """Drain ``endpoint``, announced by ``sign``."""
        if sign == "answer":
            self._back_ends[endpoint].drain()
            return
        if sign == "platform":
            self._clock.call_later(PLATFORM_LAG_SECONDS, self._list_leaving, endpoint)
            return
        self._control.declare_draining(
            endpoint,
            lambda: self._recorder.record(EndpointLeaving(self._clock.now, endpoint, sign)),
        )

    def _list_leaving(self, endpoint: str) -> None:
        self._recorder.record(EndpointLeaving(self._clock.now, endpoint, "platform"))
        self._control.list_leaving(endpoint)

    def stop_planned(self, endpoint: str, seconds: float) -> None:
        """Stop a back end and its daemon once idle, and restart them after ``seconds``."""
        daemon = self._daemons[endpoint]
        if daemon.callee is None or daemon.stopping or not daemon.up:
            return
        daemon.stopping = True
        now = self._clock.now
        self._recorder.record(PlannedStop(now, endpoint, endpoint))
        self._recorder.record(EndpointLeaving(now, endpoint, "stop"))
        daemon.callee.drain()
        daemon.announce_draining()
        stop_after = now + STOP_LINGER_SECONDS
        self._clock.call_later(
            STOP_POLL_SECONDS, self._stop_when_idle, daemon, daemon.generation, stop_after, seconds
        )

    def back_end_started(self, endpoint: str) -> None:
        """Handle the restart of a back end; restarts its daemon if that is draining."""
        self._control.list_live(endpoint)
        daemon = self._daemons[endpoint]
        if daemon.up and daemon.callee is not None and daemon.callee.draining:
            self._recorder.record(NodeStopped(self._clock.now, daemon.name))
            daemon.crash()
            self._restart(daemon)

    def submit(self, act: acts.Submit) -> None:
        """Submit configuration changes by operators."""
        self._control.submit(act)

    def network_changed(self) -> None:
        """Record which daemons can reach control after a change of the network's cuts."""
        self._control.record_reachability()

    def _add_back_end(self, number: int, back_end: BackEnd) -> None:
        endpoint = Endpoint(
            name=back_end.endpoint,
            service=back_end.service,
            region=REGION,
            zone=back_end.site.zone,
            address=f"10.0.{number // 250}.{number % 250 + 1}:7000",
            slots=back_end.slots,
        )
        self._endpoints[endpoint.name] = endpoint
        daemon = self._create_daemon(Site(back_end.endpoint, back_end.site.zone), back_end)
        self._daemons[endpoint.name] = daemon
        back_end.path = daemon

    def _create_daemon(self, site: Site, back_end: BackEnd | None) -> SimulatedDaemon:
        return SimulatedDaemon(self._simulation, site, self, self._control.connect, back_end)

    def _all_daemons(self) -> list[SimulatedDaemon]:
        return [*self._daemons.values(), *self._edges.values()]

    def _require_daemon(self, node: str) -> SimulatedDaemon:
        daemon = self.find_daemon(node)
        if daemon is None:
            raise UnknownTargetError(f"no daemon {node!r}")
        return daemon

    def _restart(self, daemon: SimulatedDaemon) -> None:
        if daemon.up:
            return
        daemon.restart()
        self._recorder.record(NodeStarted(self._clock.now, daemon.name))
        daemon.start_follower()

    def _thaw(self, daemon: SimulatedDaemon, generation: int) -> None:
        if daemon.generation == generation:
            daemon.thaw()
            self._recorder.record(NodeStarted(self._clock.now, daemon.name))

    def _stop_when_idle(
        self, daemon: SimulatedDaemon, generation: int, stop_after: float, seconds: float
    ) -> None:
        if daemon.generation != generation:
            return
        back_end = self._back_ends[daemon.name]
        if daemon.callee is not None and self._clock.now >= stop_after:
            daemon.callee.end_sessions()
        if daemon.in_progress or back_end.in_flight or self._clock.now < stop_after:
            self._clock.call_later(
                STOP_POLL_SECONDS, self._stop_when_idle, daemon, generation, stop_after, seconds
            )
            return
        back_end.crash()
        daemon.crash()
        self._recorder.record(NodeStopped(self._clock.now, daemon.name))
        self._clock.call_later(seconds, self._restart_both, daemon, back_end)

    def _restart_both(self, daemon: SimulatedDaemon, back_end: BackEnd) -> None:
        back_end.start()
        self._control.list_live(back_end.endpoint)
        self._recorder.record(EndpointReturned(self._clock.now, back_end.endpoint))
        self._restart(daemon)


def _create_control_plane(simulation: Simulation, specification: RunSpecification) -> ControlPlane:
    if specification.control_nodes:
        zones = specification.deployment.zones
        return ReplicatedControlPlane(simulation, zones, specification.control_nodes)
    return SimplifiedControlPlane(simulation)

"""finchshed as the control scheme of a run: daemons, edges, and what operators do."""

from collections.abc import Callable

from finchshed.configuration.resources import Endpoint, EndpointState, Policy
from finchshed.emulator import acts
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.clock import Clock
from finchshed.emulator.daemons.daemon import REGION, Daemon
from finchshed.emulator.network import Site
from finchshed.emulator.plain_control import PlainControl
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

PLATFORM_LAG_SECONDS = 1.0
"""How late the platform's list of live and leaving machines is."""

STOP_POLL_SECONDS = 0.05
STOP_LINGER_SECONDS = 0.5
"""Time a stop leaves for late arrivals to come in."""

DISK_RESTORE_SECONDS = 0.05


class FinchshedScheme:
    """Daemons beside every back end, an edge in each zone."""

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
        self._control = PlainControl(simulation)
        self._policy = Policy(retry_budget=specification.retry_budget)
        self._revision = 1
        self._endpoints: dict[str, Endpoint] = {}
        self._daemons: dict[str, Daemon] = {}
        self._edges: dict[str, Daemon] = {}
        for number, back_end in enumerate(back_ends.values()):
            self._add_back_end(number, back_end)
        for zone in specification.deployment.zones:
            edge = self._daemon(Site(f"edge-{zone}", zone), None)
            self._edges[zone] = edge
        for daemon in self._every_daemon():
            self._recorder.note(NodeStarted(0.0, daemon.name))
            self._configure(daemon)

    def edge_of(self, zone: str) -> tuple[Site, Path]:
        """Return the edge of ``zone``."""
        edge = self._edges[zone]
        return edge.site, edge

    def daemon_of(self, endpoint: str) -> Daemon:
        """Return the daemon beside an endpoint."""
        return self._daemons[endpoint]

    def crash_daemon(self, node: str, seconds: float) -> None:
        """Kill a daemon; start it again after ``seconds``."""
        daemon = self._node(node)
        if not daemon.up:
            return
        daemon.crash()
        self._recorder.note(NodeStopped(self._clock.now, node))
        self._clock.call_later(seconds, self._restart, daemon)

    def freeze_daemon(self, node: str, seconds: float) -> None:
        """Stop a daemon in silence for ``seconds``."""
        daemon = self._node(node)
        if not daemon.up or daemon.frozen:
            return
        daemon.freeze()
        self._recorder.note(NodeStopped(self._clock.now, node))
        self._clock.call_later(seconds, self._thaw, daemon, daemon.life)

    def crash_control(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Kill a control node."""
        self._control.crash(node, seconds)

    def freeze_control(self, node: str, seconds: float) -> None:
        """Stop a control node in silence."""
        self._control.crash(node, seconds)

    def drain(self, endpoint: str, sign: str) -> None:
        """Let ``endpoint`` begin to leave, known by ``sign``."""
        if sign == "answer":
            self._back_ends[endpoint].drain()
            return
        self._recorder.note(EndpointLeaving(self._clock.now, endpoint, sign))
        if sign == "platform":
            self._clock.call_later(PLATFORM_LAG_SECONDS, self._platform_says_leaving, endpoint)
            return
        self._change_endpoint(endpoint, EndpointState.LEAVING)

    def stop_planned(self, endpoint: str, seconds: float) -> None:
        """Stop a back end and its daemon once all work is done; start them after ``seconds``."""
        daemon = self._daemons[endpoint]
        if daemon.callee is None or daemon.stopping or not daemon.up:
            return
        daemon.stopping = True
        now = self._clock.now
        self._recorder.note(PlannedStop(now, endpoint, endpoint))
        self._recorder.note(EndpointLeaving(now, endpoint, "stop"))
        daemon.callee.drain()
        daemon.announce_draining()
        stop_after = now + STOP_LINGER_SECONDS
        self._clock.call_later(
            STOP_POLL_SECONDS, self._stop_when_idle, daemon, daemon.life, stop_after, seconds
        )

    def back_end_started(self, endpoint: str) -> None:
        """Take note that a back end is up again after a crash."""
        daemon = self._daemons[endpoint]
        if daemon.up and daemon.callee is not None and daemon.callee.draining:
            daemon.crash()
            self._restart(daemon)

    def submit(self, act: acts.Submit) -> None:
        """Let operators change the configuration."""
        self._policy = Policy(retry_budget=self._policy.retry_budget, retry_ratio=0.1)

    def network_changed(self) -> None:
        """Do nothing: links notice cuts by silence."""

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
        daemon = self._daemon(Site(back_end.endpoint, back_end.site.zone), back_end)
        self._daemons[endpoint.name] = daemon
        back_end.path = daemon

    def _daemon(self, site: Site, back_end: BackEnd | None) -> Daemon:
        return Daemon(self._simulation, site, self, self._control, back_end)

    def _every_daemon(self) -> list[Daemon]:
        return [*self._daemons.values(), *self._edges.values()]

    def _node(self, node: str) -> Daemon:
        for daemon in self._every_daemon():
            if daemon.name == node:
                return daemon
        raise KeyError(node)

    def _configure(self, daemon: Daemon) -> None:
        daemon.configure(self._endpoints.values(), self._policy, self._revision)

    def _restart(self, daemon: Daemon) -> None:
        if daemon.up:
            return
        daemon.restart()
        self._recorder.note(NodeStarted(self._clock.now, daemon.name))
        daemon.call_later(DISK_RESTORE_SECONDS, self._configure, daemon)

    def _thaw(self, daemon: Daemon, life: int) -> None:
        if daemon.life == life:
            daemon.thaw()
            self._recorder.note(NodeStarted(self._clock.now, daemon.name))

    def _platform_says_leaving(self, endpoint: str) -> None:
        for daemon in self._every_daemon():
            if daemon.up:
                daemon.table.mark_draining(endpoint, daemon.now)
        daemon = self._daemons[endpoint]
        if daemon.callee is not None:
            daemon.callee.drain()

    def _change_endpoint(self, endpoint: str, state: EndpointState) -> None:
        held = self._endpoints[endpoint]
        self._endpoints[endpoint] = Endpoint(
            name=held.name,
            service=held.service,
            region=held.region,
            zone=held.zone,
            address=held.address,
            slots=held.slots,
            state=state,
        )
        self._revision += 1
        for daemon in self._every_daemon():
            if daemon.up:
                self._control.distribute(daemon, self._apply_later(daemon))

    def _apply_later(self, daemon: Daemon) -> Callable[[], None]:
        return lambda: self._configure(daemon)

    def _stop_when_idle(self, daemon: Daemon, life: int, stop_after: float, seconds: float) -> None:
        if daemon.life != life:
            return
        back_end = self._back_ends[daemon.name]
        if daemon.in_progress or back_end.in_flight or self._clock.now < stop_after:
            self._clock.call_later(
                STOP_POLL_SECONDS, self._stop_when_idle, daemon, life, stop_after, seconds
            )
            return
        back_end.crash()
        daemon.crash()
        self._recorder.note(NodeStopped(self._clock.now, daemon.name))
        self._clock.call_later(seconds, self._start_again, daemon, back_end)

    def _start_again(self, daemon: Daemon, back_end: BackEnd) -> None:
        back_end.start()
        self._recorder.note(EndpointReturned(self._clock.now, back_end.endpoint))
        self._restart(daemon)

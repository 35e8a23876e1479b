"""Puts a deployment together and runs it.

Owns the parts of one run: clock, network, random streams, recorder, back ends, daemons, callers.
"""

import time
from typing import Protocol

from finchshed import __version__
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.baselines import POLICIES, BaselinePath, Serve, StaticLimiter
from finchshed.emulator.callers import OutsideCallers, generate_arrivals
from finchshed.emulator.clock import Clock
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.faults import FaultInjector, Processes
from finchshed.emulator.network import Network, Site
from finchshed.emulator.recorder import Recorder
from finchshed.emulator.request import Path
from finchshed.emulator.run import FinishedRun, RunSpecification
from finchshed.emulator.scheme import FinchshedScheme
from finchshed.emulator.simulation import Simulation
from finchshed.emulator.streams import Streams
from finchshed.proof.history_file import SCHEMA_VERSION, Header


class ControlScheme(Processes, Protocol):
    """The control scheme of a run: finchshed's daemons, or a baseline."""

    def edge_of(self, zone: str) -> tuple[Site, Path]:
        """Return the edge that outside callers of ``zone`` use."""
        ...


class World:
    """Everything in one run."""

    def __init__(self, specification: RunSpecification) -> None:
        self.specification = specification
        self.deployment = specification.deployment
        clock = Clock()
        streams = Streams(specification.seed)
        network = Network(
            clock,
            streams,
            self.deployment.zone_delay_seconds,
            self.deployment.client_delay_seconds,
        )
        recorder = Recorder(clock, _header_of(specification))
        self.simulation = Simulation(clock, network, streams, recorder)
        self.back_ends = self._make_back_ends()
        self.scheme = self._make_scheme()
        self.faults = FaultInjector(self.simulation, self.back_ends, self.scheme)

    def run(self) -> FinishedRun:
        """Run to the end and return what happened."""
        began = time.process_time()
        specification = self.specification
        simulation = self.simulation
        callers = OutsideCallers(
            simulation, self.deployment, specification.client, self.scheme.edge_of
        )
        for act in specification.acts:
            self.faults.schedule(act)
        arrivals = specification.arrivals
        callers.play(
            generate_arrivals(
                self.deployment,
                simulation.streams,
                specification.seconds,
                specification.surges,
                specification.begin_seconds,
            )
            if arrivals is None
            else iter(arrivals)
        )
        simulation.clock.run_until(specification.seconds + specification.settle_seconds)
        return FinishedRun(
            history=simulation.recorder.history,
            roots=callers.roots,
            messages=simulation.network.messages,
            busy_seconds=sum(back_end.busy_seconds for back_end in self.back_ends.values()),
            processor_seconds=time.process_time() - began,
        )

    def _make_back_ends(self) -> dict[str, BackEnd]:
        return {
            endpoint: BackEnd(self.simulation, endpoint, Site(endpoint, zone), service)
            for service in self.deployment.services
            for endpoint, zone in endpoints_of(self.deployment, service.name, service.back_ends)
        }

    def _make_scheme(self) -> ControlScheme:
        if self.specification.control in POLICIES:
            return BaselineScheme(self)
        return FinchshedScheme(self.simulation, self.specification, self.back_ends)


class BaselineScheme:
    """A deployment without finchshed. Acts on daemons, control and operators do nothing here."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._policy = POLICIES[world.specification.control]
        servers: dict[str, list[tuple[Site, Serve]]] = {}
        for back_end in world.back_ends.values():
            serve: Serve = back_end.serve
            if self._policy.static_limit:
                serve = StaticLimiter(back_end).serve
            servers.setdefault(back_end.service, []).append((back_end.site, serve))
        self._servers = servers
        for back_end in world.back_ends.values():
            back_end.path = self._path(back_end.site)
        self._edges: dict[str, tuple[Site, Path]] = {}
        for zone in world.deployment.zones:
            site = Site(f"edge-{zone}", zone)
            self._edges[zone] = (site, self._path(site))

    def edge_of(self, zone: str) -> tuple[Site, Path]:
        """Return the edge of ``zone``."""
        return self._edges[zone]

    def _path(self, site: Site) -> BaselinePath:
        world = self._world
        return BaselinePath(world.simulation, site, self._policy, self._servers)

    def _ignore(self, *_: object) -> None:
        """Do nothing: a baseline has no such process."""

    crash_daemon = _ignore
    freeze_daemon = _ignore
    crash_control = _ignore
    freeze_control = _ignore
    stop_control = _ignore
    back_end_started = _ignore
    submit = _ignore
    network_changed = _ignore
    stop_planned = _ignore

    def node_name(self, node: str) -> str:
        """Return ``node``."""
        return node

    def drain(self, endpoint: str, sign: str) -> None:
        """Let the back end say that it leaves; nobody heeds it."""
        self._world.back_ends[endpoint].drain()


def endpoints_of(deployment: Deployment, service: str, count: int) -> list[tuple[str, str]]:
    """Return name and zone of each of a service's endpoints, spread over the zones in turn."""
    zones = deployment.zones
    return [(f"{service}-{number + 1}", zones[number % len(zones)]) for number in range(count)]


def _header_of(specification: RunSpecification) -> Header:
    return Header(
        schema=SCHEMA_VERSION,
        source="emulator",
        scenario=specification.scenario,
        seed=specification.seed,
        version=__version__,
        retry_budget=specification.retry_budget,
    )


def run(specification: RunSpecification) -> FinishedRun:
    """Run ``specification`` in a fresh world."""
    return World(specification).run()

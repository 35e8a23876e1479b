"""Assembles an emulated deployment and runs it."""

import time

from finchshed import __version__
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.callers import ExternalCallers, generate_arrivals
from finchshed.emulator.clock import Clock
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.faults import FaultInjector
from finchshed.emulator.network import Network, Site
from finchshed.emulator.processes import SimulatedProcesses
from finchshed.emulator.recorder import Recorder
from finchshed.emulator.run import FinishedRun, RunSpecification
from finchshed.emulator.simulation import Simulation
from finchshed.emulator.streams import Streams
from finchshed.proof.history_file import SCHEMA_VERSION, Header


class World:
    """The components of one run."""

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
        self.back_ends = self._create_back_ends()
        self.processes = SimulatedProcesses(self.simulation, specification, self.back_ends)
        self.faults = FaultInjector(self.simulation, self.back_ends, self.processes)

    def run(self) -> FinishedRun:
        """Run to the end and return the result."""
        began = time.process_time()
        specification = self.specification
        simulation = self.simulation
        callers = ExternalCallers(
            simulation, self.deployment, specification.client, self.processes.edge_of
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
            processor_seconds=time.process_time() - began,
        )

    def _create_back_ends(self) -> dict[str, BackEnd]:
        return {
            endpoint: BackEnd(self.simulation, endpoint, Site(endpoint, zone), service)
            for service in self.deployment.services
            for endpoint, zone in endpoints_of(self.deployment, service.name, service.back_ends)
        }


def endpoints_of(deployment: Deployment, service: str, count: int) -> list[tuple[str, str]]:
    """Return name and zone of each endpoint of a service, assigned to zones round-robin."""
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
    """Run ``specification`` in a new world."""
    return World(specification).run()

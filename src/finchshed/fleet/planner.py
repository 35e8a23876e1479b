"""Plans a fleet from a deployment and its declarations and writes all settings files."""

import hashlib
import pathlib
import shutil
import zlib

import msgspec

from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Endpoint
from finchshed.control.settings import ControlSettings
from finchshed.daemon.settings import DaemonSettings
from finchshed.fleet.addresses import FleetAddresses
from finchshed.fleet.deployment import (
    DECLARATIONS_FOLDER,
    CallerGroup,
    FleetDeployment,
    MachineSpec,
    ServiceBehaviour,
)
from finchshed.fleet.network import FleetNetwork, Port
from finchshed.fleet.plan import FleetPlan, backend_name, daemon_name, host_of
from finchshed.fleet.plan_options import PlanOptions
from finchshed.fleet.processes import ProcessRole, ProcessSpec
from finchshed.fleet.toml_writer import to_toml
from finchshed.standins.settings import (
    BackendSettings,
    CallerSettings,
    PlatformSettings,
)

PLATFORM_POLL_SECONDS = 0.5
"""Leaves margin within the 2 s after which a leaving backend must get no new work."""

DRAIN_SECONDS = 30.0
"""How long a stopping daemon waits for requests in progress; exceeds the callers' timeouts."""


class Planner:
    """Builds the plan of one run and writes its settings files to the run folder."""

    def __init__(
        self,
        source: pathlib.Path,
        deployment: FleetDeployment,
        folder: pathlib.Path,
        network: FleetNetwork,
        options: PlanOptions,
    ) -> None:
        self._source = source
        self._deployment = deployment
        self._folder = folder
        self._network = network
        self._addresses = FleetAddresses(network, relayed=options.relayed)
        self._address = self._addresses.public_address
        self._listen_address = self._addresses.listen_address
        self._options = options
        self._behaviours = {service.name: service for service in deployment.service}
        self._specs: list[ProcessSpec] = []

    def plan(self) -> FleetPlan:
        """Write all settings files and return the plan."""
        for name in ("settings", "records", "logs", "data"):
            (self._folder / name).mkdir(parents=True, exist_ok=True)
        endpoints = self._copy_declarations()
        self._plan_platform()
        for machine in self._deployment.control:
            self._plan_control(machine)
        for endpoint in endpoints:
            self._plan_backend(endpoint)
        for endpoint in endpoints:
            self._plan_daemon(endpoint)
        for machine in self._deployment.edge:
            self._plan_edge(machine)
        for group in self._deployment.caller:
            self._plan_caller(group)
        return FleetPlan(
            folder=self._folder,
            deployment=self._deployment,
            specs=self._specs,
            endpoints=endpoints,
            rpc_addresses=tuple(self._address(m.host, Port.RPC) for m in self._deployment.control),
            admin_addresses=self._admin_addresses(endpoints),
            backend_addresses={e.name: self._address(host_of(e), Port.BACKEND) for e in endpoints},
            platform_address=self._address(self._deployment.platform.host, Port.PLATFORM),
            platform_lag_seconds=self._platform_lag_seconds,
            relayed=self._addresses.relayed,
            owners=self._addresses.owners,
        )

    @property
    def _platform_lag_seconds(self) -> float:
        lag = self._options.platform_lag_seconds
        return self._deployment.platform.lag_seconds if lag is None else lag

    def _copy_declarations(self) -> tuple[Endpoint, ...]:
        target = self._folder / DECLARATIONS_FOLDER
        if target.exists():
            shutil.rmtree(target)
        target.mkdir()
        for path in sorted((self._source / DECLARATIONS_FOLDER).glob("*.toml")):
            (target / path.name).write_text(self._network.relocate(path.read_text()))
        resources = read_declarations(target).resources.values()
        return tuple(item for item in resources if isinstance(item, Endpoint))

    def _plan_platform(self) -> None:
        address = self._address(self._deployment.platform.host, Port.PLATFORM)
        settings = PlatformSettings(
            address=address,
            lag_seconds=self._platform_lag_seconds,
        )
        self._add_standin("platform", ProcessRole.PLATFORM, settings, address)

    def _plan_control(self, machine: MachineSpec) -> None:
        data_folder = self._data_folder(machine.name)
        settings = ControlSettings(
            node=machine.name,
            region=machine.region,
            zone=machine.zone,
            data_folder=data_folder,
            raft_address=self._listen_address(machine.name, machine.host, Port.RAFT),
            raft_advertised_address=self._address(machine.host, Port.RAFT),
            distribution_address=self._listen_address(
                machine.name, machine.host, Port.DISTRIBUTION
            ),
            distribution_advertised_address=self._address(machine.host, Port.DISTRIBUTION),
            rpc_address=self._listen_address(machine.name, machine.host, Port.RPC),
            admin_address=self._address(machine.host, Port.CONTROL_ADMIN),
            voters=tuple(
                f"{voter.name}={self._address(voter.host, Port.RAFT)}"
                for voter in self._deployment.control
            ),
            bootstrap_token_sha256=hashlib.sha256(
                self._deployment.operator_token.encode()
            ).hexdigest(),
            platform_list_url=(
                f"http://{self._address(self._deployment.platform.host, Port.PLATFORM)}/instances"
            ),
            platform_poll_seconds=PLATFORM_POLL_SECONDS,
            platform_lag_seconds=self._platform_lag_seconds,
        )
        spec = ProcessSpec(
            name=machine.name,
            role=ProcessRole.CONTROL,
            zone=machine.zone,
            arguments=self._program("control", machine.name, settings),
            listens=(settings.distribution_address, settings.rpc_address),
            data_folder=data_folder,
        )
        self._specs.append(spec)

    def _plan_backend(self, endpoint: Endpoint) -> None:
        behaviour = self._behaviour(endpoint)
        address = self._address(host_of(endpoint), Port.BACKEND)
        settings = BackendSettings(
            name=endpoint.name,
            service=endpoint.service,
            zone=endpoint.zone,
            address=address,
            daemon_address=self._address(host_of(endpoint), Port.HTTP),
            record_path=str(self._record_path(endpoint.name)),
            slots=endpoint.slots,
            service_time_seconds=behaviour.service_time_seconds,
            answer_bytes=behaviour.answer_bytes,
            seed=self._seed(endpoint.name),
            calls=behaviour.calls,
        )
        name = backend_name(endpoint.name)
        self._add_standin(name, ProcessRole.BACKEND, settings, address, endpoint)

    def _plan_daemon(self, endpoint: Endpoint) -> None:
        name = daemon_name(endpoint.name)
        host = host_of(endpoint)
        data_folder = self._data_folder(name)
        settings = DaemonSettings(
            node=name,
            region=endpoint.region,
            zone=endpoint.zone,
            service=endpoint.service,
            endpoint=endpoint.name,
            backend_address=self._address(host, Port.BACKEND),
            http_address=self._address(host, Port.HTTP),
            link_address=self._listen_address(name, host, Port.LINK),
            admin_address=self._address(host, Port.ADMIN),
            control_addresses=self._control_addresses(),
            data_folder=data_folder,
            drain_seconds=DRAIN_SECONDS,
        )
        self._add_daemon(name, ProcessRole.DAEMON, settings)

    def _plan_edge(self, machine: MachineSpec) -> None:
        settings = DaemonSettings(
            node=machine.name,
            region=machine.region,
            zone=machine.zone,
            http_address=self._address(machine.host, Port.HTTP),
            link_address=self._listen_address(machine.name, machine.host, Port.LINK),
            admin_address=self._address(machine.host, Port.ADMIN),
            control_addresses=self._control_addresses(),
            data_folder=self._data_folder(machine.name),
            drain_seconds=DRAIN_SECONDS,
        )
        self._add_daemon(machine.name, ProcessRole.EDGE, settings)

    def _plan_caller(self, group: CallerGroup) -> None:
        edges = sorted(self._deployment.edge, key=lambda edge: edge.zone != group.zone)
        factor = self._options.load_factor
        settings = CallerSettings(
            name=group.name,
            zone=group.zone,
            edge_addresses=tuple(self._address(edge.host, Port.HTTP) for edge in edges),
            record_path=str(self._record_path(group.name)),
            loads=tuple(
                msgspec.structs.replace(load, rate_per_second=load.rate_per_second * factor)
                for load in group.loads
            ),
            phases=self._options.phases or self._deployment.phase,
            client_delay_seconds=self._deployment.client_delay_seconds,
            seed=self._seed(group.name),
        )
        self._add_standin(group.name, ProcessRole.CALLER, settings, "")

    def _add_daemon(self, name: str, role: ProcessRole, settings: DaemonSettings) -> None:
        spec = ProcessSpec(
            name=name,
            role=role,
            zone=settings.zone,
            arguments=self._program("daemon", name, settings),
            listens=(settings.link_address, settings.http_address),
            endpoint=settings.endpoint,
            data_folder=settings.data_folder,
        )
        self._specs.append(spec)

    def _add_standin(
        self,
        name: str,
        role: ProcessRole,
        settings: msgspec.Struct,
        address: str,
        endpoint: Endpoint | None = None,
    ) -> None:
        path = self._write_settings(name, settings)
        self._specs.append(
            ProcessSpec(
                name=name,
                role=role,
                zone=getattr(settings, "zone", ""),
                arguments=("-m", "finchshed", "standin", role.value, str(path)),
                listens=(address,) if address else (),
                endpoint="" if endpoint is None else endpoint.name,
            )
        )

    def _program(self, program: str, name: str, settings: msgspec.Struct) -> tuple[str, ...]:
        path = self._write_settings(name, settings)
        return ("-m", "finchshed", program, "--settings", str(path))

    def _write_settings(self, name: str, settings: msgspec.Struct) -> pathlib.Path:
        path = self._folder / "settings" / f"{name}.toml"
        path.write_text(to_toml(settings))
        return path

    def _behaviour(self, endpoint: Endpoint) -> ServiceBehaviour:
        return self._behaviours[endpoint.service]

    def _control_addresses(self) -> tuple[str, ...]:
        return tuple(
            f"{node.zone}={self._address(node.host, Port.DISTRIBUTION)}"
            for node in self._deployment.control
        )

    def _admin_addresses(self, endpoints: tuple[Endpoint, ...]) -> dict[str, str]:
        addresses = {daemon_name(e.name): self._address(host_of(e), Port.ADMIN) for e in endpoints}
        addresses |= {m.name: self._address(m.host, Port.ADMIN) for m in self._deployment.edge}
        control = self._deployment.control
        return addresses | {m.name: self._address(m.host, Port.CONTROL_ADMIN) for m in control}

    def _record_path(self, name: str) -> pathlib.Path:
        return self._folder / "records" / f"{name}.jsonl"

    def _data_folder(self, name: str) -> str:
        folder = self._folder / "data" / name
        folder.mkdir(parents=True, exist_ok=True)
        return str(folder)

    def _seed(self, name: str) -> int:
        return self._options.seed * 1_000_003 + zlib.crc32(name.encode())

"""Plans the processes of a scale run and writes their settings files."""

import hashlib
import pathlib
from collections.abc import Sequence

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.control.settings import ControlSettings
from finchshed.daemon.settings import DaemonSettings
from finchshed.fleet.network import RELAYED_OFFSET, Port
from finchshed.fleet.processes import ProcessSpec, Role
from finchshed.fleet.toml_writer import to_toml
from finchshed.scale.layout import (
    CONTROL_ZONES,
    REAL_SERVICE,
    VOTERS,
    ScaleSize,
    control_host,
    hollow_endpoints,
    place_of,
    places,
    real_endpoints,
)
from finchshed.scale.messages import HollowSpec, WorkerSettings
from finchshed.standins.settings import BackendSettings

BOOTSTRAP_TOKEN = "scale-bootstrap"
OPERATOR_TOKEN = "scale-operator-token"
EDGE_HOST_NUMBER = 241
EDGE_ZONE = "zone-1a"
SERVICE_TIME_SECONDS = 0.002
HTTP_PORT_OFFSET = 1_000
BACKEND_PORT_OFFSET = 2_000
ANSWER_BYTES = 100


class ScalePlan(msgspec.Struct, kw_only=True):
    """All processes of a run, except the hollow ones, and where to reach them."""

    folder: pathlib.Path
    prefix: str
    size: ScaleSize
    seed: int
    specs: list[ProcessSpec]
    rpc_addresses: tuple[str, ...]
    edge_address: str
    raft_relays: dict[str, tuple[str, str]]
    """Public and private address of each control node's log links, by node."""


def control_name(zone: str) -> str:
    """Return the name of the control node in a zone."""
    return f"control-{zone}"


def plan_run(folder: pathlib.Path, prefix: str, size: ScaleSize, seed: int) -> ScalePlan:
    """Write the settings of control nodes and real daemons, and return how to start them."""
    for name in ("settings", "records", "logs", "data"):
        (folder / name).mkdir(parents=True, exist_ok=True)
    plan = ScalePlan(
        folder=folder,
        prefix=prefix,
        size=size,
        seed=seed,
        specs=[],
        rpc_addresses=tuple(_control_at(prefix, zone, Port.RPC) for zone in CONTROL_ZONES),
        edge_address=f"{_edge_host(prefix)}:{Port.HTTP}",
        raft_relays={},
    )
    for zone in CONTROL_ZONES:
        _plan_control(plan, zone)
    if size.real_daemons:
        for endpoint in real_endpoints(size, prefix):
            _plan_backend(plan, endpoint)
            _plan_daemon(plan, endpoint)
        _plan_edge(plan)
    return plan


def plan_workers(plan: ScalePlan, runner_address: str) -> list[tuple[ProcessSpec, WorkerSettings]]:
    """Write the settings of the processes with hollow daemons, and return how to start them."""
    workers = []
    for place in places():
        chosen = [
            HollowSpec(endpoint.name, endpoint.service, endpoint.address)
            for endpoint in hollow_endpoints(plan.size, plan.prefix)
            if endpoint.zone == place.zone
        ]
        for number, group in enumerate(_groups(chosen, plan.size.daemons_per_process)):
            settings = WorkerSettings(
                name=f"hollow-{place.zone}-{number}",
                region=place.region,
                zone=place.zone,
                runner_address=runner_address,
                control_addresses=_control_addresses(plan.prefix),
                daemons=tuple(group),
                peer_links=plan.size.peer_links,
                seed=plan.seed,
            )
            workers.append((_worker_spec(plan, settings), settings))
    return workers


def _groups(specs: Sequence[HollowSpec], most: int) -> list[Sequence[HollowSpec]]:
    return [specs[start : start + most] for start in range(0, len(specs), most)]


def _worker_spec(plan: ScalePlan, settings: WorkerSettings) -> ProcessSpec:
    path = plan.folder / "settings" / f"{settings.name}.json"
    path.write_bytes(msgspec.json.encode(settings))
    return ProcessSpec(
        name=settings.name,
        role=Role.HOLLOW,
        zone=settings.zone,
        arguments=("-m", "finchshed", "scale", "hollow", str(path)),
    )


def _plan_control(plan: ScalePlan, zone: str) -> None:
    name = control_name(zone)
    public = _control_at(plan.prefix, zone, Port.RAFT)
    private = _control_at(plan.prefix, zone, Port.RAFT + RELAYED_OFFSET)
    plan.raft_relays[name] = (public, private)
    settings = ControlSettings(
        node=name,
        region=place_of(zone).region,
        zone=zone,
        data_folder=str(plan.folder / "data" / name),
        raft_address=private,
        raft_advertised_address=public,
        distribution_address=_control_at(plan.prefix, zone, Port.DISTRIBUTION),
        rpc_address=_control_at(plan.prefix, zone, Port.RPC),
        admin_address=_control_at(plan.prefix, zone, Port.CONTROL_ADMIN),
        voters=tuple(
            f"{control_name(voter)}={_control_at(plan.prefix, voter, Port.RAFT)}"
            for voter in CONTROL_ZONES[:VOTERS]
        ),
        bootstrap_token_sha256=hashlib.sha256(BOOTSTRAP_TOKEN.encode()).hexdigest(),
    )
    _add_program(plan, Role.CONTROL, settings, settings.distribution_address, settings.rpc_address)


def _plan_backend(plan: ScalePlan, endpoint: Endpoint) -> None:
    host, port = _split(endpoint.address)
    name = f"{endpoint.name}-backend"
    settings = BackendSettings(
        name=endpoint.name,
        service=endpoint.service,
        zone=endpoint.zone,
        address=f"{host}:{port + BACKEND_PORT_OFFSET}",
        daemon_address=f"{host}:{port + HTTP_PORT_OFFSET}",
        record_path=str(plan.folder / "records" / f"{endpoint.name}.jsonl"),
        slots=endpoint.slots,
        service_time_seconds=SERVICE_TIME_SECONDS,
        answer_bytes=ANSWER_BYTES,
        seed=plan.seed,
    )
    path = _write(plan, name, settings)
    plan.specs.append(
        ProcessSpec(
            name=name,
            role=Role.BACKEND,
            zone=endpoint.zone,
            arguments=("-m", "finchshed", "standin", "backend", str(path)),
            listens=(settings.address,),
        )
    )


def _plan_daemon(plan: ScalePlan, endpoint: Endpoint) -> None:
    host, port = _split(endpoint.address)
    settings = DaemonSettings(
        node=endpoint.name,
        region=endpoint.region,
        zone=endpoint.zone,
        service=endpoint.service,
        endpoint=endpoint.name,
        backend_address=f"{host}:{port + BACKEND_PORT_OFFSET}",
        http_address=f"{host}:{port + HTTP_PORT_OFFSET}",
        link_address=endpoint.address,
        control_addresses=_control_addresses(plan.prefix),
    )
    _add_program(plan, Role.DAEMON, settings, settings.link_address, settings.http_address)


def _plan_edge(plan: ScalePlan) -> None:
    host = _edge_host(plan.prefix)
    settings = DaemonSettings(
        node="edge",
        region=place_of(EDGE_ZONE).region,
        zone=EDGE_ZONE,
        http_address=plan.edge_address,
        link_address=f"{host}:{Port.LINK}",
        control_addresses=_control_addresses(plan.prefix),
    )
    _add_program(plan, Role.EDGE, settings, settings.link_address, settings.http_address)


def _add_program(
    plan: ScalePlan, role: Role, settings: ControlSettings | DaemonSettings, *listens: str
) -> None:
    program = "control" if isinstance(settings, ControlSettings) else "daemon"
    path = _write(plan, settings.node, settings)
    plan.specs.append(
        ProcessSpec(
            name=settings.node,
            role=role,
            zone=settings.zone,
            arguments=("-m", "finchshed", program, "--settings", str(path)),
            listens=listens,
            service=REAL_SERVICE if role is Role.DAEMON else "",
        )
    )


def _write(plan: ScalePlan, name: str, settings: msgspec.Struct) -> pathlib.Path:
    path = plan.folder / "settings" / f"{name}.toml"
    path.write_text(to_toml(settings))
    return path


def _control_at(prefix: str, zone: str, port: int) -> str:
    return f"{control_host(prefix, zone)}:{int(port)}"


def _control_addresses(prefix: str) -> tuple[str, ...]:
    return tuple(f"{zone}={_control_at(prefix, zone, Port.DISTRIBUTION)}" for zone in CONTROL_ZONES)


def _edge_host(prefix: str) -> str:
    return f"{prefix}{place_of(EDGE_ZONE).number}.{EDGE_HOST_NUMBER}"


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)

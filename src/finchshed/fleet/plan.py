"""All processes of a fleet, their names, and where to reach them.

Owns the names of daemons and back ends; the planner fills the plan.
"""

import pathlib

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.fleet.acts import ChangeConfiguration
from finchshed.fleet.deployment import DECLARATIONS_FOLDER, FleetDeployment
from finchshed.fleet.processes import ProcessRole, ProcessSpec
from finchshed.fleet.toml_writer import to_toml
from finchshed.standins.settings import OperatorSettings


class FleetPlan(msgspec.Struct, kw_only=True):
    """All processes of a fleet, and where to reach them."""

    folder: pathlib.Path
    deployment: FleetDeployment
    specs: list[ProcessSpec]
    endpoints: tuple[Endpoint, ...]
    rpc_addresses: tuple[str, ...]
    edge_addresses: dict[str, str]
    admin_addresses: dict[str, str]
    backend_addresses: dict[str, str]
    platform_address: str
    platform_lag_seconds: float
    relayed: dict[str, str]
    """Addresses to listen on for others, by the address behind."""
    owners: dict[str, str]
    """Name of the process behind each relayed address."""

    @property
    def declarations(self) -> pathlib.Path:
        """Folder with the declarations, moved to the fleet's network."""
        return self.folder / DECLARATIONS_FOLDER

    def spec(self, name: str) -> ProcessSpec:
        """Return the process named ``name``."""
        return next(spec for spec in self.specs if spec.name == name)

    def operator_spec(self, name: str, first_number: int, act: ChangeConfiguration) -> ProcessSpec:
        """Write the settings of a stand-in operator and return how to start it."""
        settings = OperatorSettings(
            name=name,
            token=self.deployment.operator_token,
            rpc_addresses=self.rpc_addresses,
            record_path=str(self.folder / "records" / f"{name}.jsonl"),
            changes=act.times,
            pause_seconds=act.pause_seconds,
            first_number=first_number,
        )
        path = self.folder / "settings" / f"{name}.toml"
        path.write_text(to_toml(settings))
        return ProcessSpec(
            name=name,
            role=ProcessRole.OPERATOR,
            zone="",
            arguments=("-m", "finchshed", "standin", "operator", str(path)),
        )


def host_of(endpoint: Endpoint) -> str:
    """Return the machine an endpoint stands on."""
    return endpoint.address.rpartition(":")[0]


def daemon_name(endpoint: str) -> str:
    """Return the name of the daemon beside an endpoint's back end."""
    return f"{endpoint}-daemon"


def backend_name(endpoint: str) -> str:
    """Return the name of an endpoint's back end process."""
    return f"{endpoint}-backend"

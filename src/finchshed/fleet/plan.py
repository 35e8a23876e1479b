"""Plan of a fleet: its processes, their names and their addresses.

The planner builds the plan.
"""

import pathlib

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.fleet.actions import ChangeConfiguration
from finchshed.fleet.deployment import DECLARATIONS_FOLDER, FleetDeployment
from finchshed.fleet.processes import ProcessRole, ProcessSpec
from finchshed.fleet.toml_writer import to_toml
from finchshed.standins.settings import OperatorSettings


class FleetPlan(msgspec.Struct, kw_only=True):
    """All processes of a fleet and their addresses."""

    folder: pathlib.Path
    deployment: FleetDeployment
    specs: list[ProcessSpec]
    endpoints: tuple[Endpoint, ...]
    rpc_addresses: tuple[str, ...]
    admin_addresses: dict[str, str]
    backend_addresses: dict[str, str]
    platform_address: str
    platform_lag_seconds: float
    relayed: dict[str, str]
    """Public address of the relay by private address of the program behind it."""
    owners: dict[str, str]
    """Name of the process by its private address."""

    @property
    def declarations(self) -> pathlib.Path:
        """Folder of the declarations, with addresses in the fleet's network."""
        return self.folder / DECLARATIONS_FOLDER

    def spec(self, name: str) -> ProcessSpec:
        """Return the specification of the process ``name``."""
        return next(spec for spec in self.specs if spec.name == name)

    def operator_spec(
        self, name: str, first_number: int, action: ChangeConfiguration
    ) -> ProcessSpec:
        """Write the settings of a simulated operator and return its process specification."""
        settings = OperatorSettings(
            name=name,
            token=self.deployment.operator_token,
            rpc_addresses=self.rpc_addresses,
            record_path=str(self.folder / "records" / f"{name}.jsonl"),
            changes=action.times,
            pause_seconds=action.pause_seconds,
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
    """Return the host address of an endpoint's machine."""
    return endpoint.address.rpartition(":")[0]


def daemon_name(endpoint: str) -> str:
    """Return the process name of an endpoint's daemon."""
    return f"{endpoint}-daemon"


def backend_name(endpoint: str) -> str:
    """Return the process name of an endpoint's backend."""
    return f"{endpoint}-backend"

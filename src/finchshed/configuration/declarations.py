"""Reads resources from TOML declaration files.

A folder contains any number of ``*.toml`` files that together define the configuration::

    [policy]
    retry_budget = 3

    [[service]]
    name = "officer-verification"
      [[service.routes]]
      prefix = "/"
      importance = "critical"

    [[host_route]]
    name = "check.example/verify/"
    host = "check.example"
    prefix = "/verify/"
    importance = "critical"
    destinations = [{ service = "officer-verification" }]

    [[endpoint]]
    name = "officer-verification-1"
    service = "officer-verification"
    region = "texas"
    zone = "a"
    address = "127.0.1.1:7000"
    slots = 10

    [[tenant]]
    name = "field-officers"
    key_sha256 = ["..."]
    importance = "critical"
    requests_per_second = 200.0
    burst_requests = 200.0

    [[operator]]
    name = "ana"
    token_sha256 = "..."
"""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from finchshed.common.errors import DeclarationError
from finchshed.configuration.difference import Declarations
from finchshed.configuration.fields import convert_table, importance_from_name
from finchshed.configuration.resources import (
    Endpoint,
    HostRoute,
    IngressLimits,
    Operator,
    Policy,
    Resource,
    ResourceKey,
    Route,
    Service,
    Tenant,
    key_of,
)
from finchshed.configuration.validation import problems_of
from finchshed.settings.toml_file import NESTED_TOO_DEEP

RESOURCE_TYPES: Mapping[str, type[Resource]] = {
    "service": Service,
    "endpoint": Endpoint,
    "policy": Policy,
    "operator": Operator,
    "host_route": HostRoute,
    "ingress_limits": IngressLimits,
    "tenant": Tenant,
}


class _Reader:
    """Accumulates resources and problems over all files."""

    def __init__(self) -> None:
        self.resources: dict[ResourceKey, Resource] = {}
        self.origins: dict[ResourceKey, str] = {}
        self.explicit_states: set[ResourceKey] = set()
        self.problems: list[str] = []

    def read_file(self, path: Path) -> None:
        try:
            document = tomllib.loads(path.read_text(encoding="utf-8"))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as error:
            self.problems.append(f"{path.name}: {error}")
            return
        except RecursionError:
            self.problems.append(f"{path.name}: {NESTED_TOO_DEEP}")
            return
        for table_name, content in document.items():
            if table_name not in RESOURCE_TYPES:
                allowed = ", ".join(RESOURCE_TYPES)
                self.problems.append(
                    f"{path.name}: {table_name}: no such table, allowed are: {allowed}"
                )
                continue
            items = content if isinstance(content, list) else [content]
            for position, item in enumerate(items, start=1):
                self._read_item(path.name, table_name, position, item)

    def _read_item(self, file: str, table_name: str, position: int, item: Any) -> None:
        if not isinstance(item, dict):
            self.problems.append(f"{file}: {table_name} = {item!r}: allowed is a table")
            return
        where = f"{file}: {table_name} {item.get('name', f'number {position}')}"
        if table_name == "service":
            item = self._with_routes(item, where)
        if table_name in {"host_route", "tenant"}:
            item = dict(importance_from_name(item, where, self.problems))
        resource = convert_table(item, RESOURCE_TYPES[table_name], where, self.problems)
        if resource is not None:
            self._add(resource, file, explicit_state="state" in item)

    def _with_routes(self, item: dict[str, Any], where: str) -> dict[str, Any]:
        tables = item.get("routes")
        if not isinstance(tables, list):
            return item
        routes = []
        for position, table in enumerate(tables, start=1):
            route_where = f"{where}: route {position}"
            if not isinstance(table, dict):
                self.problems.append(f"{route_where} = {table!r}: allowed is a table")
                continue
            named = importance_from_name(table, route_where, self.problems)
            route = convert_table(named, Route, route_where, self.problems)
            if route is not None:
                routes.append(route)
        return {**item, "routes": tuple(routes)}

    def _add(self, resource: Resource, file: str, *, explicit_state: bool) -> None:
        key = key_of(resource)
        if key in self.origins:
            self.problems.append(
                f"{file}: {key.kind} {key.name}: declared in {self.origins[key]} too, allowed once"
            )
            return
        self.resources[key] = resource
        self.origins[key] = file
        if explicit_state:
            self.explicit_states.add(key)

    def validate(self) -> None:
        for problem in problems_of(self.resources):
            kind, _, rest = problem.partition("/")
            name, _, message = rest.partition(": ")
            file = self.origins.get(ResourceKey(kind, name), "declarations")
            self.problems.append(f"{file}: {kind} {name}: {message}")


def read_declarations(folder: Path) -> Declarations:
    """Read and validate every ``*.toml`` file in ``folder``.

    Raises
    ------
    DeclarationError
        With one line per problem, giving file, key, value and the allowed values.
    """
    if not folder.is_dir():
        raise DeclarationError([f"{folder}: allowed is a folder with *.toml files"])
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise DeclarationError([f"{folder}: holds no *.toml file"])
    reader = _Reader()
    for path in paths:
        reader.read_file(path)
    reader.validate()
    if reader.problems:
        raise DeclarationError(reader.problems)
    return Declarations(reader.resources, frozenset(reader.explicit_states))

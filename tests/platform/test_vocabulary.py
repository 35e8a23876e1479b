"""Every word that the platform may send is decoded, or listed here as one that isn't used.

Guards against a word of a contract becoming known only when a deployment that uses it is refused.
"""

from collections.abc import Iterator

import msgspec
import pytest

from finchshed.configuration.resources import HostRoute
from finchshed_platform.documents import REPEATABLE_KINDS, DocumentBody
from finchshed_platform.headers import HEADERS
from finchshed_platform.heartbeats import STATES, HeartbeatBody, LeaveBody
from finchshed_platform.node_file import NodeFile
from tests.platform.fake_platform import document, route
from tests.platform.test_documents import decode_document

ROUTE_KINDS = {"safe": True, "download": True, "unsafe": False, "upload": False}
"""Kinds of routes, and whether their requests may run more than once."""

BACKEND_STATES = {"ready", "draining"}

REQUEST_HEADERS = {
    "api-key",
    "caller-service",
    "deadline-ms",
    "expect-instance",
    "request-id",
    "tenant",
}
ANSWER_HEADERS = {
    "instance-id",
    "not-executed",
    "server-leaving",
    "server-limit",
    "server-load",
    "server-seal",
}

CONFIGURATION_FIELDS = {
    "action",
    "api_keys",
    "base_version",
    "burst",
    "clusters",
    "header_timeout_s",
    "health_path",
    "host",
    "idle_timeout_s",
    "kind",
    "limits",
    "listeners",
    "match",
    "max_attempts",
    "max_body_bytes",
    "max_connections",
    "max_header_bytes",
    "name",
    "path_prefix",
    "priority",
    "public",
    "rate_per_s",
    "ruleset",
    "service",
    "target_latency_s",
    "tenants",
    "timeout_s",
    "traffic_split",
    "version",
    "weight",
}
UNUSED_CONFIGURATION_FIELDS = {
    # All back ends of the platform are called over plain HTTP/1.1.
    "protocol",
    "tls",
    # Callers ramp up traffic to a new back end over the warm-up time of its endpoint.
    "cold_per_s",
}

HEARTBEAT_FIELDS = {
    "address",
    "born",
    "cold_remaining_s",
    "info",
    "sequence",
    "service",
    "slots",
    "state",
    "status",
    "version",
    "zone",
}

SETTINGS_FIELDS = {
    "app_addr",
    "bootstrap",
    "bounds",
    "budget_slack",
    "control",
    "data_dir",
    "fault_tolerance",
    "grace_s",
    "heartbeat_s",
    "inbound",
    "ip",
    "limits",
    "listen",
    "machines",
    "max_fds",
    "memory_mb",
    "node_name",
    "outbound",
    "port_range",
    "quota_overshoot",
    "quota_slack",
    "quota_window_s",
    "ready",
    "region",
    "retry_budget_ratio",
    "revoke_fail_closed",
    "revoke_s",
    "seed_nodes",
    "service",
    "zone",
}

OPTION_FIELDS = {"fair_shares", "polls_slow_backend", "schedules_returns"}
"""Settings that the deployment may add; the platform doesn't send them."""


def encoded_names(struct: type[msgspec.Struct]) -> Iterator[str]:
    """Yield the encoded field names of a struct and of all structs that it holds."""
    for field in msgspec.structs.fields(struct):
        yield field.encode_name
        yield from _names_within(field.type)


def _names_within(annotation: object) -> Iterator[str]:
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        yield from encoded_names(annotation)
    for argument in getattr(annotation, "__args__", ()):
        yield from _names_within(argument)


def test_every_route_kind_is_decoded() -> None:
    assert REPEATABLE_KINDS == ROUTE_KINDS


@pytest.mark.parametrize(("kind", "repeatable"), ROUTE_KINDS.items())
def test_a_route_of_each_kind_is_accepted(kind: str, repeatable: bool) -> None:
    decoded = decode_document(document(1, 0, route("/a/", "sales", kind)))
    routes = [item for item in decoded.resources if isinstance(item, HostRoute)]
    assert [item.repeatable for item in routes] == [repeatable]


def test_every_backend_state_is_decoded() -> None:
    assert STATES == BACKEND_STATES


def test_every_header_has_a_name() -> None:
    names = {name for name in msgspec.structs.astuple(HEADERS) if len(name) > 1}
    assert names == REQUEST_HEADERS | ANSWER_HEADERS


def test_configuration_fields_are_the_listed_ones() -> None:
    assert set(encoded_names(DocumentBody)) == CONFIGURATION_FIELDS


@pytest.mark.parametrize("field", sorted(UNUSED_CONFIGURATION_FIELDS))
def test_unused_configuration_fields_are_ignored(field: str) -> None:
    source = document(1, 0)
    source["clusters"] = [{**service, field: False} for service in source["clusters"]]
    assert decode_document(source).resources


def test_heartbeat_fields_are_the_listed_ones() -> None:
    assert set(encoded_names(HeartbeatBody)) == HEARTBEAT_FIELDS
    assert set(encoded_names(LeaveBody)) == {"born"}


def test_settings_fields_are_the_listed_ones() -> None:
    assert set(encoded_names(NodeFile)) == SETTINGS_FIELDS | OPTION_FIELDS

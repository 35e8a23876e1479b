"""Decoding of the platform's configurations and heartbeats."""

import json
from typing import Any

import msgspec
import pytest

from finchshed.common.errors import DeclarationError
from finchshed.common.importance import Importance
from finchshed.configuration.resources import (
    Destination,
    HostRoute,
    IngressLimits,
    Policy,
    Service,
    Tenant,
)
from finchshed.control.operators.configuration_document import ConfigurationDocument
from finchshed.tenancy.keys import digest_of_key
from finchshed_platform.documents import read_document
from finchshed_platform.heartbeats import INSTANCE_PATH_PATTERN, read_heartbeat
from tests.platform.fake_platform import document, route


def decode_document(source: dict[str, Any]) -> ConfigurationDocument:
    return read_document(json.dumps(source).encode(), Policy())


def test_document_is_decoded_completely() -> None:
    split = {
        "traffic_split": [{"service": "sales", "weight": 90}, {"service": "ledger", "weight": 10}]
    }
    custom_route = route("/look/", "", **{})
    custom_route["action"] = {**split, "timeout_s": 0.8, "max_attempts": 3}
    decoded = decode_document(
        {**document(12, 5, custom_route, route("/buy/", "sales", "unsafe")), "new_field": 1}
    )
    assert (decoded.version, decoded.base_version) == (12, 5)
    kinds = {type(resource): resource for resource in decoded.resources}
    assert set(kinds) == {Service, HostRoute, IngressLimits, Policy}
    routes = {item.prefix: item for item in decoded.resources if isinstance(item, HostRoute)}
    look = routes["/look/"]
    assert look.destinations == (Destination("sales", 90.0), Destination("ledger", 10.0))
    assert (look.timeout_seconds, look.max_attempts, look.repeatable) == (0.8, 3, True)
    assert look.importance is Importance.HIGH
    assert not routes["/buy/"].repeatable
    limits = kinds[IngressLimits]
    assert isinstance(limits, IngressLimits)
    assert (limits.max_head_bytes, limits.idle_seconds) == (16384, 15.0)


def test_priorities_map_to_importance() -> None:
    for priority, importance in ((0, 3), (1, 2), (2, 1), (3, 0), (9, 0)):
        decoded = decode_document(document(1, 0, route("/a/", "sales", priority=priority)))
        routes = [item for item in decoded.resources if isinstance(item, HostRoute)]
        assert routes[0].importance == importance


@pytest.mark.parametrize(
    "source",
    [
        document(2, 1, route("/a/", "nobody")),
        document(2, 1, route("/a/", "sales", timeout_s=0)),
        document(2, 1, route("/a/", "sales", timeout_s=601)),
        document(2, 1, route("/a/", "sales", kind="odd")),
        document(2, 1, route("/a/", "sales"), route("/a/", "ledger")),
        {**document(2, 1), "listeners": [{"host": "", "ruleset": [route("/a/", "sales")]}]},
        {**document(2, 1), "version": "latest"},
        {name: value for name, value in document(2, 1).items() if name != "version"},
    ],
)
def test_invalid_document_is_rejected(source: dict[str, Any]) -> None:
    with pytest.raises(DeclarationError):
        decode_document(source)


def test_negative_weight_is_rejected() -> None:
    custom_route = route("/a/", "sales")
    custom_route["action"] = {
        "traffic_split": [{"service": "sales", "weight": 2}, {"service": "ledger", "weight": -1}],
        "timeout_s": 1,
    }
    with pytest.raises(DeclarationError, match="weight"):
        decode_document(document(2, 1, custom_route))


def test_truncated_document_is_rejected() -> None:
    whole = json.dumps(document(2, 1)).encode()
    for size in range(0, len(whole), 7):
        with pytest.raises(DeclarationError):
            read_document(whole[:size], Policy())


def test_heartbeat_is_decoded_and_unknown_fields_are_ignored() -> None:
    body = {
        "address": "10.0.0.1:8080",
        "info": {"service": "sales", "version": "v1", "zone": "a", "slots": 9, "new": 1},
        "status": {"state": "draining", "sequence": 4, "cold_remaining_s": 1.5},
    }
    heartbeat = read_heartbeat("i-1", json.dumps(body).encode())
    assert (heartbeat.instance, heartbeat.service, heartbeat.slots) == ("i-1", "sales", 9)
    assert (heartbeat.sequence, heartbeat.is_draining) == (4, True)
    with pytest.raises(msgspec.DecodeError):
        read_heartbeat("i-1", b'{"info": {}}')


def test_instance_paths() -> None:
    found = INSTANCE_PATH_PATTERN.match("/finchshed/instances/i-7f/leave")
    assert found is not None
    assert found.groups() == ("i-7f", "leave")
    assert INSTANCE_PATH_PATTERN.match("/finchshed/instances/i-7f/other") is None


def decode_tenants(*entries: dict[str, Any]) -> list[Tenant]:
    decoded = decode_document({**document(1, 0, route("/a/", "sales")), "tenants": list(entries)})
    return [item for item in decoded.resources if isinstance(item, Tenant)]


def test_tenants_contain_key_digests() -> None:
    entry = {"name": "t1", "api_keys": ["k1", "k2"], "priority": 0, "rate_per_s": 9, "burst": 3}
    first, second = decode_tenants(entry, {"name": "t2", "api_keys": []})
    digests = (digest_of_key(b"k1"), digest_of_key(b"k2"))
    assert first == Tenant("t1", digests, Importance.CRITICAL, 9.0, 3.0)
    assert second == Tenant("t2")


@pytest.mark.parametrize(
    "entries",
    [
        (
            {"name": "t1", "api_keys": ["key-in-common"]},
            {"name": "t2", "api_keys": ["key-in-common"]},
        ),
        ({"name": "t1", "api_keys": ["key-in-common"]}, {"name": "t1"}),
        ({"name": "t1", "api_keys": ["key-in-common", ""]},),
        ({"name": "t1", "api_keys": ["key-in-common", 3]},),
        ({"name": "t1", "api_keys": ["key-in-common"], "rate_per_s": -1},),
        ({"name": "t1", "api_keys": ["key-in-common"], "burst": -1},),
        ({"name": "", "api_keys": ["key-in-common"]},),
    ],
)
def test_errors_about_tenants_do_not_contain_keys(entries: tuple[dict[str, Any], ...]) -> None:
    with pytest.raises(DeclarationError) as raised:
        decode_tenants(*entries)
    assert "key-in-common" not in str(raised.value)


def test_public_route_is_marked() -> None:
    decoded = decode_document(document(1, 0, {**route("/a/", "sales"), "public": True}))
    routes = [item for item in decoded.resources if isinstance(item, HostRoute)]
    assert routes[0].public

"""Configurations and heartbeats as the platform writes them."""

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
from finchshed_platform.heartbeats import PATH, read_heartbeat
from tests.platform.standin import document, rule


def read(written: dict[str, Any]) -> ConfigurationDocument:
    return read_document(json.dumps(written).encode(), Policy())


def test_a_document_is_read_whole() -> None:
    split = {
        "traffic_split": [{"service": "sales", "weight": 90}, {"service": "ledger", "weight": 10}]
    }
    wanted = rule("/look/", "", **{})
    wanted["action"] = {**split, "timeout_s": 0.8, "max_attempts": 3}
    taken = read({**document(12, 5, wanted, rule("/buy/", "sales", "unsafe")), "new_field": 1})
    assert (taken.version, taken.base_version) == (12, 5)
    kinds = {type(resource): resource for resource in taken.resources}
    assert set(kinds) == {Service, HostRoute, IngressLimits, Policy}
    routes = {item.prefix: item for item in taken.resources if isinstance(item, HostRoute)}
    look = routes["/look/"]
    assert look.destinations == (Destination("sales", 90.0), Destination("ledger", 10.0))
    assert (look.timeout_seconds, look.max_attempts, look.repeatable) == (0.8, 3, True)
    assert look.importance is Importance.HIGH
    assert not routes["/buy/"].repeatable
    limits = kinds[IngressLimits]
    assert isinstance(limits, IngressLimits)
    assert (limits.max_head_bytes, limits.idle_seconds) == (16384, 15.0)


def test_priorities_map_to_classes_from_the_highest_down() -> None:
    for priority, importance in ((0, 3), (1, 2), (2, 1), (3, 0), (9, 0)):
        taken = read(document(1, 0, rule("/a/", "sales", priority=priority)))
        routes = [item for item in taken.resources if isinstance(item, HostRoute)]
        assert routes[0].importance == importance


@pytest.mark.parametrize(
    "written",
    [
        document(2, 1, rule("/a/", "nobody")),
        document(2, 1, rule("/a/", "sales", timeout_s=0)),
        document(2, 1, rule("/a/", "sales", timeout_s=601)),
        document(2, 1, rule("/a/", "sales", kind="odd")),
        document(2, 1, rule("/a/", "sales"), rule("/a/", "ledger")),
        {**document(2, 1), "listeners": [{"host": "", "ruleset": [rule("/a/", "sales")]}]},
        {**document(2, 1), "version": "latest"},
        {name: value for name, value in document(2, 1).items() if name != "version"},
    ],
)
def test_what_is_invalid_is_told(written: dict[str, Any]) -> None:
    with pytest.raises(DeclarationError):
        read(written)


def test_a_weight_below_zero_is_invalid() -> None:
    wanted = rule("/a/", "sales")
    wanted["action"] = {
        "traffic_split": [{"service": "sales", "weight": 2}, {"service": "ledger", "weight": -1}],
        "timeout_s": 1,
    }
    with pytest.raises(DeclarationError, match="weight"):
        read(document(2, 1, wanted))


def test_a_document_cut_anywhere_is_invalid() -> None:
    whole = json.dumps(document(2, 1)).encode()
    for size in range(0, len(whole), 7):
        with pytest.raises(DeclarationError):
            read_document(whole[:size], Policy())


def test_a_heartbeat_is_read_and_unknown_fields_are_passed_over() -> None:
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


def test_paths_of_instances() -> None:
    found = PATH.match("/finchshed/instances/i-7f/leave")
    assert found is not None
    assert found.groups() == ("i-7f", "leave")
    assert PATH.match("/finchshed/instances/i-7f/other") is None


def tenants_of(*entries: dict[str, Any]) -> list[Tenant]:
    taken = read({**document(1, 0, rule("/a/", "sales")), "tenants": list(entries)})
    return [item for item in taken.resources if isinstance(item, Tenant)]


def test_tenants_are_kept_with_digests_of_their_keys() -> None:
    entry = {"name": "t1", "api_keys": ["k1", "k2"], "priority": 0, "rate_per_s": 9, "burst": 3}
    first, second = tenants_of(entry, {"name": "t2", "api_keys": []})
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
def test_wrong_tenants_are_told_without_their_keys(entries: tuple[dict[str, Any], ...]) -> None:
    with pytest.raises(DeclarationError) as told:
        tenants_of(*entries)
    assert "key-in-common" not in str(told.value)


def test_a_public_route_is_marked() -> None:
    taken = read(document(1, 0, {**rule("/a/", "sales"), "public": True}))
    routes = [item for item in taken.resources if isinstance(item, HostRoute)]
    assert routes[0].public

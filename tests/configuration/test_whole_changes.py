"""Tests of changes that replace the whole configuration under operator-assigned versions."""

import msgspec
import pytest

from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.configuration.resources import (
    Destination,
    Endpoint,
    HostRoute,
    IngressLimits,
    Policy,
    Resource,
    ResourceKey,
    Service,
    host_route_name,
)
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore, StoreSnapshot

SALES = Service(name="sales")
LEDGER = Service(name="ledger")


def route(prefix: str, *destinations: Destination, host: str = "a.example") -> HostRoute:
    shared = destinations or (Destination("sales"),)
    return HostRoute(host_route_name(host, prefix), host, prefix, shared)


def whole(identity: str, version: int, base: int, *puts: Resource) -> Change:
    return Change(
        identity,
        BOOTSTRAP_OPERATOR,
        0,
        puts,
        is_whole=True,
        version=version,
        base_version=base,
        source=f"source of {identity}",
    )


def store_at(version: int, *puts: Resource) -> ConfigurationStore:
    store = ConfigurationStore()
    result = store.apply(whole("first", version, 0, *(puts or (SALES, route("/")))))
    assert result == Accepted(1)
    return store


def test_versions_may_skip_numbers_and_build_on_the_latest() -> None:
    store = store_at(5)
    assert store.apply(whole("second", 12, 5, SALES, route("/b/"))) == Accepted(2)
    assert (store.version, store.source) == (12, "source of second")


def test_change_not_based_on_the_latest_version_conflicts() -> None:
    store = store_at(5)
    assert store.apply(whole("winner", 7, 5, SALES)) == Accepted(2)
    for identity, version, base in (("racing", 7, 5), ("late", 9, 5), ("ahead", 9, 8)):
        result = store.apply(whole(identity, version, base, LEDGER))
        assert isinstance(result, Conflict)
    assert store.version == 7
    assert ResourceKey("service", "ledger") not in store.resources


@pytest.mark.parametrize("version", [1, 5])
def test_version_not_above_the_current_one_is_invalid(version: int) -> None:
    store = store_at(5)
    result = store.apply(whole("again", version, 5, SALES))
    assert isinstance(result, Invalid)
    assert "version" in result.problems[0]


def test_resend_is_accepted_again_after_later_changes_and_restarts() -> None:
    store = store_at(5)
    second = whole("second", 6, 5, SALES)
    assert store.apply(second) == Accepted(2)
    store.apply(whole("third", 8, 6, SALES, LEDGER))
    restarted = ConfigurationStore()
    data = msgspec.json.encode(store.snapshot())
    restarted.restore(msgspec.json.decode(data, type=StoreSnapshot))
    assert restarted.apply(second) == Accepted(2)
    assert (restarted.version, restarted.source) == (8, "source of third")


def test_missing_resources_are_deleted_and_equal_ones_unchanged() -> None:
    store = store_at(5, SALES, LEDGER, route("/a/"), route("/b/"), IngressLimits())
    policy = Policy(retry_ratio=0.2)
    store.apply(whole("second", 6, 5, SALES, route("/a/"), route("/c/"), policy))
    committed = store.last_committed
    assert committed is not None
    assert set(committed.puts) == {route("/c/"), policy}
    assert set(committed.deletes) == {
        ResourceKey("service", "ledger"),
        ResourceKey("host_route", "a.example/b/"),
        ResourceKey("ingress_limits", "default"),
    }


def test_endpoints_and_policy_are_unchanged() -> None:
    store = ConfigurationStore()
    endpoint = Endpoint("sales-1", "sales", "texas", "a", "10.0.0.1:7000", 4)
    store.apply(Change("declared", BOOTSTRAP_OPERATOR, 0, (SALES, endpoint, Policy())))
    store.apply(whole("document", 3, 0, SALES, route("/")))
    assert ResourceKey("endpoint", "sales-1") in store.resources
    assert ResourceKey("policy", "default") in store.resources


@pytest.mark.parametrize(
    ("puts", "expected_problem"),
    [
        ((SALES, route("/", Destination("nobody"))), "nobody"),
        ((SALES, route("/"), route("/")), "more than once"),
        ((SALES, route("/", Destination("sales", 0.0))), "all are 0"),
        ((SALES, route("/", Destination("sales"), Destination("sales"))), "2 times"),
        ((SALES, HostRoute("other/", "a.example", "/", (Destination("sales"),))), "name"),
        ((SALES, IngressLimits(name="other")), "default"),
        ((route("/"),), "sales"),
    ],
)
def test_inconsistent_change_is_reported_and_not_applied(
    puts: tuple[Resource, ...], expected_problem: str
) -> None:
    store = store_at(5)
    result = store.apply(whole("wrong", 6, 5, *puts))
    assert isinstance(result, Invalid)
    assert expected_problem in " ".join(result.problems)
    assert store.version == 5


def test_service_used_by_a_route_cannot_be_omitted() -> None:
    store = store_at(5, SALES, LEDGER, route("/", Destination("ledger")))
    result = store.apply(whole("without", 6, 5, SALES, route("/", Destination("ledger"))))
    assert isinstance(result, Invalid)

import itertools

from finchshed.configuration.resources import Endpoint, Resource, key_of
from finchshed.configuration.validation import problems_of
from finchshed.scale.layout import (
    REAL_SERVICE,
    ScaleSize,
    changes,
    declarations,
    hollow_endpoints,
    places,
)


def endpoints_of(size: ScaleSize) -> list[Endpoint]:
    resources = declarations(size, "127.9.", "token")
    return [item for item in resources if isinstance(item, Endpoint)]


def test_the_declared_size_is_the_design_size_and_valid() -> None:
    size = ScaleSize()
    resources = declarations(size, "127.9.", "token")
    by_key: dict[object, Resource] = {key_of(item): item for item in resources}
    assert len(by_key) == len(resources)
    assert problems_of(by_key) == []  # type: ignore[arg-type]
    hollow = hollow_endpoints(size, "127.9.")
    assert len(hollow) == 1_100
    services = {item.service for item in endpoints_of(size)}
    assert len(services) == 52
    assert REAL_SERVICE not in {item.service for item in hollow}
    assert len({item.zone for item in hollow}) == 7
    assert len({item.region for item in hollow}) == 3


def test_addresses_are_unique_and_tell_the_zone() -> None:
    found = endpoints_of(ScaleSize())
    assert len({item.address for item in found}) == len(found)
    for place in places():
        mine = {item.address for item in found if item.zone == place.zone}
        assert mine
        assert all(address.startswith(f"127.9.{place.number}.") for address in mine)


def test_each_change_differs_from_what_was_in_force() -> None:
    endpoints = hollow_endpoints(ScaleSize(daemons=3), "127.9.")
    held = {item.name: item for item in endpoints}
    for changed in itertools.islice(changes(endpoints), 200):
        assert changed != held[changed.name]
        held[changed.name] = changed

"""Tests of the directory: the latest registration of each daemon wins in any order of arrival."""

import random

from finchshed.configuration.resources import EndpointState
from finchshed.directory.registration import InstanceState, Registration
from finchshed.directory.table import Directory

EXPIRY_SECONDS = 10.0


def registration(
    serial: int, state: InstanceState = InstanceState.READY, *, epoch: int = 1, host: int = 1
) -> Registration:
    address = f"10.0.0.{host}:7000"
    name = f"i-{host}-{epoch}"
    return Registration(address, epoch, serial, name, "sales", "a", "texas", 8, state)


def test_latest_registration_applies_in_any_order_of_arrival() -> None:
    registrations = [registration(serial, epoch=epoch) for epoch in (1, 2) for serial in range(6)]
    for seed in range(20):
        directory = Directory(EXPIRY_SECONDS)
        shuffled = random.Random(seed).sample(registrations, len(registrations))
        for item in shuffled:
            directory.merge((item,), 0.0)
        assert directory.registrations() == (registration(5, epoch=2),)


def test_merge_returns_only_changes() -> None:
    directory = Directory(EXPIRY_SECONDS)
    first, second = registration(1), registration(1, host=2)
    assert directory.merge((first, second), 0.0) == (first, second)
    assert directory.merge((first, second), 1.0) == ()
    changed = registration(2, InstanceState.LEAVING)
    assert directory.merge((changed, second), 2.0) == (changed,)
    assert directory.merge((first,), 3.0) == ()


def test_unrefreshed_registration_expires_and_can_return() -> None:
    directory = Directory(EXPIRY_SECONDS)
    directory.merge((registration(1), registration(1, host=2)), 0.0)
    directory.merge((registration(1),), 8.0)
    assert directory.expire(EXPIRY_SECONDS + 1.0) == ("10.0.0.2:7000",)
    assert len(directory) == 1
    assert directory.merge((registration(1, host=2),), 12.0) == (registration(1, host=2),)


def test_drop_returns_whether_anything_was_removed() -> None:
    directory = Directory(EXPIRY_SECONDS)
    directory.merge((registration(1),), 0.0)
    assert not directory.drop(("10.0.0.9:7000",))
    assert directory.drop(("10.0.0.1:7000",))
    assert directory.get("10.0.0.1:7000") is None


def test_endpoints_exclude_back_ends_that_are_gone() -> None:
    directory = Directory(EXPIRY_SECONDS)
    directory.merge(
        (
            registration(1),
            registration(1, InstanceState.LEAVING, host=2),
            registration(1, InstanceState.GONE, host=3),
        ),
        0.0,
    )
    endpoints = directory.endpoints()
    assert {name: item.state for name, item in endpoints.items()} == {
        "i-1-1": EndpointState.ACTIVE,
        "i-2-1": EndpointState.LEAVING,
    }
    assert endpoints["i-1-1"].address == "10.0.0.1:7000"
    assert endpoints["i-1-1"].slots == 8

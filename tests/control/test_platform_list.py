import msgspec
import pytest

from finchshed.configuration.resources import Endpoint
from finchshed.control.daemons.platform_list import (
    ListedInstance,
    ListedState,
    PlatformList,
    decode_instances,
)

ENDPOINTS = [
    Endpoint(
        name=f"e{number}",
        service="s",
        region="r",
        zone="z",
        address=f"10.0.0.{number}:80",
        slots=1,
    )
    for number in (1, 2)
]
LAG = 30.0


def instance(number: int, state: str, incarnation: str = "1") -> ListedInstance:
    return ListedInstance(f"m{number}", f"10.0.0.{number}:80", incarnation, ListedState(state))


def test_machine_missing_from_the_list_gives_no_hint() -> None:
    platform = PlatformList(LAG)
    platform.update([instance(1, "live")], 0.0)
    assert platform.hints(ENDPOINTS, 1.0).leaving == ()


def test_hint_names_the_endpoint_and_how_long_it_is_listed() -> None:
    platform = PlatformList(LAG)
    assert platform.update([instance(1, "leaving"), instance(2, "live")], 10.0)
    assert not platform.update([instance(1, "leaving"), instance(2, "live")], 12.0)
    (hint,) = platform.hints(ENDPOINTS, 15.0).leaving
    assert (hint.endpoint, hint.listed_seconds) == ("e1", 5.0)


def test_hint_is_withdrawn_when_the_machine_is_listed_live_again() -> None:
    platform = PlatformList(LAG)
    platform.update([instance(1, "leaving")], 0.0)
    assert platform.update([instance(1, "live")], 5.0)
    assert platform.hints(ENDPOINTS, 5.0).leaving == ()


def test_hint_does_not_apply_to_a_replacement_machine() -> None:
    platform = PlatformList(LAG)
    platform.update([instance(1, "leaving")], 100.0)
    hints = platform.hints(ENDPOINTS, 110.0)
    (hint,) = hints.leaving
    replaced_at, old_linked_at = 75.0, 0.0
    assert not hints.applies_to(hint, 110.0 - replaced_at)
    assert hints.applies_to(hint, 110.0 - old_linked_at)


def test_new_incarnation_at_an_address_restarts_the_listed_time() -> None:
    platform = PlatformList(LAG)
    platform.update([instance(1, "leaving", "1")], 0.0)
    assert platform.update([instance(1, "leaving", "2")], 50.0)
    (hint,) = platform.hints(ENDPOINTS, 51.0).leaving
    assert hint.listed_seconds == 1.0


@pytest.mark.parametrize("data", [b"", b"{}", b"[", b'[{"name":"a"}', b"\xff", b"null", b"7"])
def test_malformed_list_is_rejected(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_instances(data)


@pytest.mark.parametrize(
    "entry", [b'{"name":"a"}', b'{"state":"gone"}', b"7", b"null", b"[]", b'"\xff"']
)
def test_entry_that_cannot_be_read_names_no_machine_and_the_others_hold(entry: bytes) -> None:
    whole = msgspec.json.encode(instance(1, "leaving", "1"))
    unknown_state = whole.replace(b'"leaving"', b'"left"')
    decoded = decode_instances(b"[" + b",".join([entry, whole, unknown_state]) + b"]")
    assert decoded.instances == (instance(1, "leaving", "1"),)
    assert decoded.unreadable == 2

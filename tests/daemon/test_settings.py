"""Validation of control addresses with a zone."""

import pytest

from finchshed.common.errors import SettingsError
from finchshed.daemon.settings import DaemonSettings
from finchshed.settings.loader import load

FLAGS = {"node": "n", "region": "r", "zone": "z", "http_address": "127.0.0.1:0"}


def loaded(*control: str) -> DaemonSettings:
    flags = {**FLAGS, "link_address": "127.0.0.1:0", "control_addresses": ",".join(control)}
    return load(DaemonSettings, None, flags).value


def test_control_addresses_may_name_the_zone_they_stand_in() -> None:
    addresses = ("zone-1a=10.0.0.1:7201", "10.0.0.2:7201")
    assert loaded(*addresses).control_addresses == addresses


@pytest.mark.parametrize("wrong", ["=10.0.0.1:7201", "Zone=10.0.0.1:1", "zone-1a=10.0.0.1"])
def test_a_wrong_zoned_address_is_refused(wrong: str) -> None:
    with pytest.raises(SettingsError):
        loaded(wrong)

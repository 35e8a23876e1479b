"""Parsing of addresses in the settings."""

from finchshed.common.errors import SettingsError


def split_address(address: str) -> tuple[str, int]:
    """Split ``a.b.c.d:port`` into host and port.

    Raises
    ------
    SettingsError
        The host is missing, or the port is missing or not a decimal number.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise SettingsError([f"address = {address!r}: allowed is a.b.c.d:port"])
    return host, int(port)


def member_addresses(members: tuple[str, ...]) -> dict[str, str]:
    """Map names to addresses of members given as ``name=a.b.c.d:port``."""
    pairs = (member.partition("=") for member in members)
    return {name: address for name, _, address in pairs}

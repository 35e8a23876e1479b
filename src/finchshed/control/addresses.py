"""Addresses as the settings give them."""

from finchshed.common.errors import SettingsError


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``a.b.c.d:port``.

    Raises
    ------
    SettingsError
        There is no port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise SettingsError([f"address = {address!r}: allowed is a.b.c.d:port"])
    return host, int(port)


def member_addresses(members: tuple[str, ...]) -> dict[str, str]:
    """Return address by name of members given as ``name=a.b.c.d:port``."""
    pairs = (member.partition("=") for member in members)
    return {name: address for name, _, address in pairs}

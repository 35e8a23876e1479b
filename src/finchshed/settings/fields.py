"""Field types shared by the settings of all programs.

Each type carries its bounds and optionally a title that describes the allowed values in error
messages. A field name ends in its unit (``_seconds``, ``_bytes``).
"""

from typing import Annotated, TypeAlias

import msgspec

LISTEN = "listen"
"""``Meta.extra`` key that marks a listen address; listen addresses must be distinct."""

GROUPED = "grouped"
"""``Meta.extra`` key that marks ``group=value`` list entries, which must have distinct values.

Without it, ``name=value`` entries must have distinct names.
"""

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = rf"{_OCTET}(\.{_OCTET}){{3}}"
_PORT = r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
_NAME = r"[a-z0-9][a-z0-9._-]{0,62}"

ADDRESS_PATTERN = rf"^{_IPV4}:{_PORT}$"
"""An IPv4 address and a port from 1 to 65535."""

_ADDRESS_TITLE = "an address a.b.c.d:port, parts 0 to 255, port 1 to 65535"

Name: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^{_NAME}$",
        title="1 to 63 of a-z, 0-9, '.', '_' and '-', a letter or digit first",
    ),
]
"""Name of a node, service, zone or region."""

OptionalName: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^({_NAME})?$",
        title="empty, or 1 to 63 of a-z, 0-9, '.', '_' and '-', a letter or digit first",
    ),
]
"""A name, or empty for none."""

Address: TypeAlias = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN, title=_ADDRESS_TITLE)]
"""Address of another process."""

OptionalAddress: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=rf"^({_IPV4}:{_PORT})?$", title=f"empty, or {_ADDRESS_TITLE}"),
]
"""Address of another process, or empty for none."""

ListenAddress: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^{_IPV4}:(0|{_PORT})$",
        title=f"{_ADDRESS_TITLE} (0: any free port)",
        extra={LISTEN: True},
    ),
]
"""Listen address of this process."""

OptionalListenAddress: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^({_IPV4}:(0|{_PORT}))?$",
        title=f"empty, or {_ADDRESS_TITLE} (0: any free port)",
        extra={LISTEN: True},
    ),
]
"""Listen address of this process, or empty for none."""

NamedAddress: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=rf"^{_NAME}={_IPV4}:{_PORT}$", title=f"name={_ADDRESS_TITLE}"),
]
"""Name and address of a node: ``name=a.b.c.d:port``."""

ZonedAddress: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^({_NAME}=)?{_IPV4}:{_PORT}$",
        title=f"{_ADDRESS_TITLE}, with zone= before it where the zone is known",
        extra={GROUPED: True},
    ),
]
"""Address of another process, optionally with its zone: ``zone=a.b.c.d:port``."""

Network: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^{_IPV4}/(3[0-2]|[12]?[0-9])$",
        title="a network a.b.c.d/n, parts 0 to 255, n 0 to 32",
    ),
]
"""An IPv4 network (CIDR notation, RFC 4632)."""

PRIVATE_NETWORKS = ("127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16")
"""The loopback network and the private networks of RFC 1918."""

OptionalUrl: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^(http://{_IPV4}:{_PORT}(/[^\s]*)?)?$",
        title="empty, or http://a.b.c.d:port/path",
    ),
]
"""An HTTP URL with an IPv4 address as host, or empty for none."""

PositiveSeconds: TypeAlias = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
"""A duration in seconds, above 0 and up to one day."""

Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
"""A duration in seconds, from 0 to one day."""

Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
"""A non-negative count."""

Share: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
"""A fraction from 0 to 1."""

"""Names in certificates, and what a connection's certificate proves.

A certificate names its holder by URIs in subjectAltName (RFC 5280, section 4.2.1.6):
``finchshed://ROLE/NAME``. A greeting on a connection makes claims of the same form; each one has to
stand in the certificate the peer has shown.
"""

import asyncio
import enum
from collections.abc import Iterable

from finchshed.observability.instruments import Counter

SCHEME = "finchshed://"
CONTROL_HOST = "control.finchshed.internal"
"""DNS name in each control node's certificate, by which operators' gRPC clients know it.

Clients dial IP addresses; gRPC compares the certificate with a host name only.
"""

REFUSED = Counter(
    "finchshed_tls_refused_total",
    "Connections closed as the peer didn't prove who it is",
    ["cause"],
)


class CertificateRole(enum.StrEnum):
    """What the holder of a certificate is."""

    CONTROL = "control"
    DAEMON = "daemon"
    ENDPOINT = "endpoint"
    """The endpoint resource a daemon stands beside."""

    OPERATOR = "operator"
    ZONE = "zone"


def name_of(role: CertificateRole, name: str) -> str:
    """Return the URI of ``name`` in ``role``."""
    return f"{SCHEME}{role}/{name}"


def claims_of_link(node: str, service: str, zone: str) -> list[str]:
    """Return what a link's Hello claims: a daemon beside a back end goes by its endpoint."""
    role = CertificateRole.ENDPOINT if service else CertificateRole.DAEMON
    claims = [name_of(role, node)]
    return [*claims, name_of(CertificateRole.ZONE, zone)] if zone else claims


def proven_names(transport: asyncio.BaseTransport | None) -> frozenset[str] | None:
    """Return the URIs of the peer's certificate; None on a connection in plain text."""
    if transport is None or transport.get_extra_info("ssl_object") is None:
        return None
    certificate = transport.get_extra_info("peercert") or {}
    entries: Iterable[tuple[str, str]] = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in entries if kind == "URI")


def unproven(transport: asyncio.BaseTransport | None, claims: Iterable[str]) -> str:
    """Return the claims that the peer's certificate doesn't hold, as text; empty for none.

    In plain text nothing is proven and nothing asked for: the settings say so.
    """
    names = proven_names(transport)
    if names is None:
        return ""
    missing = [claim for claim in claims if claim not in names]
    if not missing:
        return ""
    REFUSED.labels("name").inc()
    return f"the certificate of {shown(names)} isn't that of {shown(missing)}"


def has_role(names: Iterable[str], role: CertificateRole) -> bool:
    """Whether any of ``names`` is of ``role``."""
    return any(name.startswith(name_of(role, "")) for name in names)


def shown(names: Iterable[str]) -> str:
    """Return ``names`` for a person to read."""
    return ", ".join(sorted(names)) or "nobody"

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

REFUSED_CONNECTIONS = Counter(
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


def identity_uri(role: CertificateRole, name: str) -> str:
    """Return the URI of ``name`` in ``role``."""
    return f"{SCHEME}{role}/{name}"


def hello_identities(node: str, service: str, zone: str) -> list[str]:
    """Return what a link's Hello claims: a daemon beside a back end goes by its endpoint."""
    role = CertificateRole.ENDPOINT if service else CertificateRole.DAEMON
    claims = [identity_uri(role, node)]
    return [*claims, identity_uri(CertificateRole.ZONE, zone)] if zone else claims


def peer_identities(transport: asyncio.BaseTransport | None) -> frozenset[str] | None:
    """Return the URIs of the peer's certificate; None on a connection in plain text."""
    if transport is None or transport.get_extra_info("ssl_object") is None:
        return None
    certificate = transport.get_extra_info("peercert") or {}
    entries: Iterable[tuple[str, str]] = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in entries if kind == "URI")


def identity_mismatch(transport: asyncio.BaseTransport | None, claims: Iterable[str]) -> str:
    """Return the claims that the peer's certificate doesn't hold, as text; empty for none.

    In plain text nothing is proven and nothing asked for: the settings say so.
    """
    names = peer_identities(transport)
    if names is None:
        return ""
    missing = [claim for claim in claims if claim not in names]
    if not missing:
        return ""
    REFUSED_CONNECTIONS.labels("name").inc()
    return (
        f"the certificate of {format_identities(names)} isn't that of {format_identities(missing)}"
    )


def has_role(names: Iterable[str], role: CertificateRole) -> bool:
    """Whether any of ``names`` is of ``role``."""
    return any(name.startswith(identity_uri(role, "")) for name in names)


def format_identities(names: Iterable[str]) -> str:
    """Return ``names`` for a person to read."""
    return ", ".join(sorted(names)) or "nobody"

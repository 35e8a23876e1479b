"""Identities in certificates, and the check of a peer's claims against its certificate.

A certificate identifies its holder by URIs in subjectAltName (RFC 5280, section 4.2.1.6) of the
form ``finchshed://ROLE/NAME``. The first message on a connection claims identities; each of them
must be in the peer's certificate.
"""

import asyncio
import enum
from collections.abc import Iterable

from finchshed.observability.instruments import Counter

SCHEME = "finchshed://"
CONTROL_HOST = "control.finchshed.internal"
"""DNS name in the certificate of every control node, which operators' gRPC clients verify.

Clients dial IP addresses, but gRPC verifies a certificate by host name only.
"""

REFUSED_CONNECTIONS = Counter(
    "finchshed_tls_refused_total",
    "Connections closed as the peer didn't prove who it is",
    ["cause"],
)


class CertificateRole(enum.StrEnum):
    """Kind of identity in a certificate."""

    CONTROL = "control"
    DAEMON = "daemon"
    ENDPOINT = "endpoint"
    """The endpoint whose back end the daemon serves."""

    OPERATOR = "operator"
    ZONE = "zone"


def identity_uri(role: CertificateRole, name: str) -> str:
    """Return the URI that identifies ``name`` in ``role``."""
    return f"{SCHEME}{role}/{name}"


def hello_identities(node: str, service: str, zone: str) -> list[str]:
    """Return the identities that a link's Hello claims.

    A daemon with a back end, so with a service, identifies itself by its endpoint.
    """
    role = CertificateRole.ENDPOINT if service else CertificateRole.DAEMON
    claims = [identity_uri(role, node)]
    return [*claims, identity_uri(CertificateRole.ZONE, zone)] if zone else claims


def peer_identities(transport: asyncio.BaseTransport | None) -> frozenset[str] | None:
    """Return the identity URIs of the peer's certificate; None on a connection in plain text."""
    if transport is None or transport.get_extra_info("ssl_object") is None:
        return None
    certificate = transport.get_extra_info("peercert") or {}
    entries: Iterable[tuple[str, str]] = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in entries if kind == "URI")


def identity_mismatch(transport: asyncio.BaseTransport | None, claims: Iterable[str]) -> str:
    """Describe the claims that the peer's certificate doesn't cover; empty if it covers all.

    On a connection in plain text claims aren't checked.
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
    """Whether any of the URIs in ``names`` has ``role``."""
    return any(name.startswith(identity_uri(role, "")) for name in names)


def format_identities(names: Iterable[str]) -> str:
    """Return ``names`` as text for logs and error messages."""
    return ", ".join(sorted(names)) or "nobody"

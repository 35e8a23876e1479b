"""``finchshed keys``: create a certificate authority, issue certificates and show them."""

import datetime
import re
from collections.abc import Callable, Mapping
from pathlib import Path

from cryptography import x509
from cryptography.x509.oid import NameOID

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError, SettingsError
from finchshed.tls.files import read_certificates
from finchshed.tls.issuing import (
    CERTIFICATE_MODE,
    KEY_MODE,
    IssuedCertificate,
    create_authority,
    read_issued,
    write_atomically,
)
from finchshed.tls.issuing import issue as issue_certificate
from finchshed.tls.names import CONTROL_HOST, CertificateRole, identity_uri

AUTHORITY = "authority"
AUTHORITY_DAYS = 3650.0
CERTIFICATE_DAYS = 90.0
MAX_DAYS = 36_500.0
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ISSUED_ROLES = (CertificateRole.CONTROL, CertificateRole.DAEMON, CertificateRole.OPERATOR)


def authority(folder: str, days: float = AUTHORITY_DAYS) -> int:
    """Create a certificate authority in FOLDER: authority.pem and authority.key.

    Copy authority.pem to every machine of the deployment, but authority.key to none. An existing
    authority is never replaced.
    """
    validity = _parse_validity(days, [])
    path = Path(folder)
    if (path / f"{AUTHORITY}.key").exists() or (path / f"{AUTHORITY}.pem").exists():
        raise FinchshedError(f"{folder} holds an authority; it isn't replaced")
    _write_issued(path, AUTHORITY, create_authority(validity))
    return ExitCode.OK


def issue(
    authority: str,
    folder: str,
    *,
    role: str,
    name: str,
    zone: str = "",
    endpoint: str = "",
    days: float = CERTIFICATE_DAYS,
) -> int:
    """Create a key and a certificate for NAME in FOLDER, signed by the authority in AUTHORITY.

    ROLE is control, daemon or operator; ZONE and ENDPOINT are those of a daemon's settings.
    Existing files NAME.key and NAME.pem are replaced. DAYS may be a fraction.
    """
    problems: list[str] = []
    if role not in ISSUED_ROLES:
        problems.append(f"flag --role = {role}: allowed is {', '.join(ISSUED_ROLES)}")
    identifiers = {"name": str(name), "zone": str(zone), "endpoint": str(endpoint)}
    for flag, value in identifiers.items():
        if (value or flag == "name") and not NAME_PATTERN.fullmatch(value):
            problems.append(
                f"flag --{flag} = {value}: allowed is 1 to 63 of a-z, 0-9, '.', '_', '-'"
            )
    if endpoint and role != CertificateRole.DAEMON:
        problems.append("flag --endpoint: only a daemon has one")
    validity = _parse_validity(days, problems)
    names = [identity_uri(CertificateRole(role), identifiers["name"])]
    names += [
        identity_uri(CertificateRole(flag), identifiers[flag])
        for flag in ("zone", "endpoint")
        if identifiers[flag]
    ]
    hosts = [CONTROL_HOST] if role == CertificateRole.CONTROL else []
    signer = _read_authority(Path(authority))
    _write_issued(
        Path(folder),
        identifiers["name"],
        issue_certificate(signer, identifiers["name"], names, hosts, validity),
    )
    return ExitCode.OK


def show(certificate: str) -> int:
    """Show the names, validity and issuer of the certificates in the file CERTIFICATE."""
    try:
        certificates = read_certificates(certificate)
    except (OSError, ValueError) as error:
        raise FinchshedError(f"{certificate}: {error}") from error
    for item in certificates:
        print(f"subject    {_common_name(item.subject)}")
        print(f"issuer     {_common_name(item.issuer)}")
        print(f"valid from {item.not_valid_before_utc.isoformat()}")
        print(f"valid to   {item.not_valid_after_utc.isoformat()}")
        for text in _alternative_names(item):
            print(f"name       {text}")
    return ExitCode.OK


COMMANDS: Mapping[str, Callable[..., int]] = {"authority": authority, "issue": issue, "show": show}


def _parse_validity(days: float, problems: list[str]) -> datetime.timedelta:
    """Return ``days`` as a time span.

    Raises
    ------
    SettingsError
        ``days`` is out of range, or ``problems`` isn't empty.
    """
    is_number = isinstance(days, int | float) and not isinstance(days, bool)
    if not is_number or not 0.0 < days <= MAX_DAYS:
        problems.append(f"flag --days = {days}: allowed is above 0, up to {MAX_DAYS:g}")
    if problems:
        raise SettingsError(problems)
    return datetime.timedelta(days=days)


def _read_authority(folder: Path) -> IssuedCertificate:
    try:
        return read_issued(folder / f"{AUTHORITY}.pem", folder / f"{AUTHORITY}.key")
    except (OSError, ValueError) as error:
        raise FinchshedError(f"no authority in {folder}: {error}") from error


def _write_issued(folder: Path, name: str, issued: IssuedCertificate) -> None:
    """Write key and certificate; a process that sees only one new file keeps the old pair."""
    key, certificate = folder / f"{name}.key", folder / f"{name}.pem"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        write_atomically(key, issued.key_pem(), KEY_MODE)
        write_atomically(certificate, issued.certificate_pem(), CERTIFICATE_MODE)
    except OSError as error:
        raise FinchshedError(f"can't write to {folder}: {error}") from error
    end = issued.certificate.not_valid_after_utc.isoformat()
    print(f"wrote {key} and {certificate}, valid until {end}")


def _common_name(name: x509.Name) -> str:
    return ", ".join(str(item.value) for item in name.get_attributes_for_oid(NameOID.COMMON_NAME))


def _alternative_names(certificate: x509.Certificate) -> list[str]:
    try:
        extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return []
    return [str(item.value) for item in extension.value]

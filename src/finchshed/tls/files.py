"""Paths of a process's key and certificate files, and their validation.

A process starts only if its files are valid and belong together.
"""

import datetime
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, TypeAlias

import msgspec

if TYPE_CHECKING:
    from cryptography import x509

CertificateFile: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        title="empty, or path of a PEM file",
        description=(
            "Certificate this process shows to others (PEM); it, tls_key_file and "
            "tls_authority_file go together. Empty: all connections are in plain text."
        ),
    ),
]
KeyFile: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        title="empty, or path of a PEM file",
        description="Private key of tls_certificate_file (PEM, not encrypted).",
    ),
]
AuthorityFile: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        title="empty, or path of a PEM file",
        description=(
            "Certificates of the authorities whose peers are taken (PEM, one or several)."
        ),
    ),
]


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of a process's certificate, its key, and the authorities it trusts."""

    certificate: str
    key: str
    authority: str

    @property
    def is_plain(self) -> bool:
        """Whether no file is set, so that connections are in plain text."""
        return not (self.certificate or self.key or self.authority)

    def by_setting(self) -> dict[str, str]:
        """Return each path under the name of its setting."""
        return {
            "tls_certificate_file": self.certificate,
            "tls_key_file": self.key,
            "tls_authority_file": self.authority,
        }


def validate_files(files: TlsFiles) -> Mapping[str, str]:
    """Return a description of each problem by setting name; empty if the files are valid."""
    if files.is_plain:
        return {}
    problems: dict[str, str] = {}
    for setting, path in files.by_setting().items():
        problem = _describe_read_error(path)
        if problem:
            problems[setting] = problem
    if problems:
        return problems
    return _validate_contents(files)


def read_certificates(path: str) -> "list[x509.Certificate]":
    """Return the certificates of a PEM file.

    Raises
    ------
    ValueError
        The file holds no certificate in PEM.
    OSError
        The file can't be read.
    """
    # Imported here so that a process in plain text doesn't load the library.
    from cryptography import x509

    return x509.load_pem_x509_certificates(Path(path).read_bytes())


def load_into_context(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load certificate, key and authorities into ``context``.

    An encrypted key is an error instead of a prompt for its password.
    """
    context.load_cert_chain(files.certificate, files.key, password="")
    context.load_verify_locations(files.authority)


def _describe_read_error(path: str) -> str:
    if not path:
        return "has to be given with the other two tls_ files"
    try:
        Path(path).read_bytes()
    except OSError as error:
        return f"can't be read: {error.strerror}"
    return ""


def _validate_contents(files: TlsFiles) -> dict[str, str]:
    problems = {}
    for setting, path in files.by_setting().items():
        if setting == "tls_key_file":
            continue
        try:
            problem = _describe_validity_error(read_certificates(path))
        except ValueError:
            problem = "holds no certificate in PEM"
        if problem:
            problems[setting] = problem
    if problems:
        return problems
    try:
        load_into_context(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), files)
    except ssl.SSLError as error:
        if error.reason == "KEY_VALUES_MISMATCH":
            return {"tls_key_file": "isn't the key of the certificate"}
        return {"tls_key_file": f"holds no usable private key in PEM ({error.reason})"}
    return {}


def _describe_validity_error(certificates: "list[x509.Certificate]") -> str:
    now = datetime.datetime.now(datetime.UTC)
    for certificate in certificates:
        if certificate.not_valid_after_utc <= now:
            return f"expired at {certificate.not_valid_after_utc.isoformat()}"
        if certificate.not_valid_before_utc > now:
            return f"isn't valid before {certificate.not_valid_before_utc.isoformat()}"
    return ""

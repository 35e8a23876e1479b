"""Creates a certificate authority and issues certificates for a deployment (X.509, RFC 5280).

Keys are on the curve P-256, which makes handshakes cheap and is supported by every TLS 1.3 library.
"""

import datetime
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

KEY_MODE = 0o600
CERTIFICATE_MODE = 0o644
CLOCK_SKEW_ALLOWANCE = datetime.timedelta(minutes=5)
"""Validity begins this long before a certificate is issued, to tolerate clock differences."""

AUTHORITY_NAME = "finchshed authority"


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """A certificate and its private key."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def certificate_pem(self) -> bytes:
        """Return the certificate as PEM."""
        return self.certificate.public_bytes(serialization.Encoding.PEM)

    def key_pem(self) -> bytes:
        """Return the private key as unencrypted PEM (PKCS #8)."""
        return self.key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )


def create_authority(validity: datetime.timedelta) -> IssuedCertificate:
    """Return a new authority that can sign end-entity certificates only."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = _subject(AUTHORITY_NAME)
    builder = _builder(name, name, key, validity)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(_key_usage(can_sign_certificates=True), critical=True)
    return IssuedCertificate(builder.sign(key, hashes.SHA256()), key)


def issue(
    authority: IssuedCertificate,
    common_name: str,
    names: Sequence[str],
    hosts: Sequence[str],
    validity: datetime.timedelta,
) -> IssuedCertificate:
    """Return a certificate that holds ``names`` as URIs and ``hosts`` as DNS names."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = _subject(common_name)
    builder = _builder(subject, authority.certificate.subject, key, validity)
    alternatives: list[x509.GeneralName] = [x509.UniformResourceIdentifier(name) for name in names]
    alternatives += [x509.DNSName(host) for host in hosts]
    builder = builder.add_extension(x509.SubjectAlternativeName(alternatives), critical=False)
    builder = builder.add_extension(x509.BasicConstraints(False, None), critical=True)
    builder = builder.add_extension(_key_usage(can_sign_certificates=False), critical=True)
    purposes = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    builder = builder.add_extension(x509.ExtendedKeyUsage(purposes), critical=False)
    authority_key = authority.key.public_key()
    builder = builder.add_extension(
        x509.AuthorityKeyIdentifier.from_issuer_public_key(authority_key), critical=False
    )
    return IssuedCertificate(builder.sign(authority.key, hashes.SHA256()), key)


def read_issued(certificate_path: Path, key_path: Path) -> IssuedCertificate:
    """Read a certificate and its private key.

    Raises
    ------
    OSError
        A file can't be read.
    ValueError
        A file isn't valid PEM, or the key doesn't match the certificate.
    """
    certificate = x509.load_pem_x509_certificate(certificate_path.read_bytes())
    key = serialization.load_pem_private_key(key_path.read_bytes(), password=None)
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise ValueError(f"{key_path}: not an elliptic curve key")
    if key.public_key() != certificate.public_key():
        raise ValueError(f"{key_path}: not the key of the certificate {certificate_path}")
    return IssuedCertificate(certificate, key)


def write_atomically(path: Path, content: bytes, mode: int) -> None:
    """Create or replace a file atomically and durably, with the permissions ``mode``.

    The content is never readable beyond ``mode``, not even while it is being written.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}.new")
    temporary.unlink(missing_ok=True)
    handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(handle, "wb") as file:
        os.fchmod(file.fileno(), mode)
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    validity: datetime.timedelta,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder().subject_name(subject).issuer_name(issuer)
    builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - CLOCK_SKEW_ALLOWANCE).not_valid_after(now + validity)
    identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    return builder.add_extension(identifier, critical=False)


def _subject(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _key_usage(*, can_sign_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not can_sign_certificates,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=can_sign_certificates,
        crl_sign=can_sign_certificates,
        encipher_only=False,
        decipher_only=False,
    )

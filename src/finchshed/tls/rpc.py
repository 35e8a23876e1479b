"""TLS for the operators' gRPC service: server and client credentials, identities of callers.

gRPC performs its own handshakes and accepts TLS 1.2 and later. Changed files apply to new
connections.
"""

from collections.abc import Mapping

import grpc

from finchshed.tls.credentials import Credentials, FileChangeDetector, read_files
from finchshed.tls.files import TlsFiles
from finchshed.tls.names import CONTROL_HOST, SCHEME

SECURITY_TYPE = "transport_security_type"
ALTERNATIVE_NAMES = "x509_subject_alternative_name"
TARGET_NAME_OPTION = ("grpc.ssl_target_name_override", CONTROL_HOST)
"""Makes clients verify the host name of control nodes although they dial IP addresses."""


def server_credentials(credentials: Credentials) -> grpc.ServerCredentials:
    """Return credentials that require a client certificate and reload changed files."""
    detector = FileChangeDetector(credentials.files)

    def reload_configuration() -> grpc.ServerCertificateConfiguration | None:
        contents = detector.read_if_changed()
        return None if contents is None else _configuration(*contents)

    return grpc.dynamic_ssl_server_credentials(
        _configuration(*read_files(credentials.files)),
        reload_configuration,
        require_client_authentication=True,
    )


def client_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return the credentials of an operator's client."""
    key, certificate, authority = read_files(files)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def caller_identities(auth_context: Mapping[str, list[bytes]]) -> frozenset[str] | None:
    """Return the identity URIs of a caller's certificate; None for a call in plain text."""
    if b"ssl" not in auth_context.get(SECURITY_TYPE, ()):
        return None
    names = [value.decode() for value in auth_context.get(ALTERNATIVE_NAMES, ())]
    return frozenset(name for name in names if name.startswith(SCHEME))


def _configuration(
    key: bytes, certificate: bytes, authority: bytes
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

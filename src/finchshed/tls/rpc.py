"""TLS of the operators' gRPC service: credentials of both ends, and who a caller is.

gRPC makes its own handshakes, from TLS 1.2 on; it takes new files for new connections.
"""

from collections.abc import Mapping

import grpc

from finchshed.tls.credentials import Credentials, FileChangeDetector, read_files
from finchshed.tls.files import TlsFiles
from finchshed.tls.names import CONTROL_HOST, SCHEME

SECURITY_TYPE = "transport_security_type"
ALTERNATIVE_NAMES = "x509_subject_alternative_name"
TARGET_NAME_OPTION = ("grpc.ssl_target_name_override", CONTROL_HOST)
"""Clients dial addresses and require a control node's certificate, whatever its address."""


def server_credentials(credentials: Credentials) -> grpc.ServerCredentials:
    """Return credentials that require a client's certificate and follow changes of the files."""
    changes = FileChangeDetector(credentials.files)

    def changed() -> grpc.ServerCertificateConfiguration | None:
        contents = changes.read_if_changed()
        return None if contents is None else _configuration(*contents)

    return grpc.dynamic_ssl_server_credentials(
        _configuration(*read_files(credentials.files)), changed, require_client_authentication=True
    )


def client_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return the credentials of an operator's client."""
    key, certificate, authority = read_files(files)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def caller_identities(auth_context: Mapping[str, list[bytes]]) -> frozenset[str] | None:
    """Return the names of a caller's certificate; None for a call in plain text."""
    if b"ssl" not in auth_context.get(SECURITY_TYPE, ()):
        return None
    names = [value.decode() for value in auth_context.get(ALTERNATIVE_NAMES, ())]
    return frozenset(name for name in names if name.startswith(SCHEME))


def _configuration(
    key: bytes, certificate: bytes, authority: bytes
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

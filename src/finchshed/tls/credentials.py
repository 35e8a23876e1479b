"""TLS contexts of a process, reloaded when its key or certificate files change.

The files are checked for changes at each new connection; open connections are not affected. While
the files are inconsistent (for example, only some have been replaced) the last valid ones stay in
use.
"""

import os
import ssl
from collections.abc import Mapping
from typing import Protocol

from loguru import logger

from finchshed.tls.files import TlsFiles, load_into_context, read_certificates, validate_files

FileVersions = tuple[tuple[int, int], ...]
"""Modification time in nanoseconds and inode number of each file."""


class TlsSettings(Protocol):
    """Settings of a program whose connections can use TLS."""

    @property
    def tls_files(self) -> TlsFiles:
        """Files that the settings name."""


class Credentials:
    """Server and client TLS contexts of one process.

    Raises
    ------
    ssl.SSLError, OSError
        The files can't be used. The settings loader reports this earlier, with the reason.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self._versions = _file_versions(files)
        self._server = _make_context(ssl.PROTOCOL_TLS_SERVER, files)
        self._client = _make_context(ssl.PROTOCOL_TLS_CLIENT, files)

    def server_context(self) -> ssl.SSLContext:
        """Return the context for an accepted connection."""
        self._reload_if_changed()
        return self._server

    def client_context(self) -> ssl.SSLContext:
        """Return the context for an outgoing connection."""
        self._reload_if_changed()
        return self._client

    def _reload_if_changed(self) -> None:
        try:
            versions = _file_versions(self.files)
            if versions == self._versions:
                return
            self._versions = versions
            problems = validate_files(self.files)
            if problems:
                logger.warning("changed TLS files not loaded: {}", _join_problems(problems))
                return
            server = _make_context(ssl.PROTOCOL_TLS_SERVER, self.files)
            client = _make_context(ssl.PROTOCOL_TLS_CLIENT, self.files)
        except OSError as error:
            # Includes ssl.SSLError, if the files changed after they were validated.
            self._versions = ()
            logger.warning("changed TLS files not loaded: {}", error)
            return
        self._server = server
        self._client = client
        logger.info("loaded changed TLS files, {}", _describe_validity(self.files))


class FileChangeDetector:
    """Reads the TLS files again after they have changed. Used by gRPC's own threads."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._versions = _file_versions(files)

    def read_if_changed(self) -> tuple[bytes, bytes, bytes] | None:
        """Return key, certificate and authorities if they have changed and are valid."""
        try:
            versions = _file_versions(self._files)
            if versions == self._versions:
                return None
            self._versions = versions
            return None if validate_files(self._files) else read_files(self._files)
        except OSError:
            self._versions = ()
            return None


def load_credentials(settings: TlsSettings) -> Credentials | None:
    """Load the credentials that the settings name; None for plain text. Logs which is in use."""
    files = settings.tls_files
    if files.is_plain:
        logger.warning("connections between processes are in PLAIN TEXT: no tls_ files are set")
        return None
    logger.info("connections between processes use mutual TLS, {}", _describe_validity(files))
    return Credentials(files)


def read_files(files: TlsFiles) -> tuple[bytes, bytes, bytes]:
    """Return the contents of key, certificate and authorities."""
    contents = []
    for path in (files.key, files.certificate, files.authority):
        with open(path, "rb") as file:
            contents.append(file.read())
    return contents[0], contents[1], contents[2]


def _make_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Peers are dialled by IP address. The identity that a peer claims in its first message is
    # checked against its certificate instead.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_into_context(context, files)
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A resumed session could outlive the certificate; no client here resumes sessions.
        context.num_tickets = 0
    return context


def _file_versions(files: TlsFiles) -> FileVersions:
    statuses = [os.stat(path) for path in files.by_setting().values()]
    return tuple((status.st_mtime_ns, status.st_ino) for status in statuses)


def _describe_validity(files: TlsFiles) -> str:
    certificate = read_certificates(files.certificate)[0]
    return f"certificate valid until {certificate.not_valid_after_utc.isoformat()}"


def _join_problems(problems: Mapping[str, str]) -> str:
    return "; ".join(f"{setting} {problem}" for setting, problem in problems.items())

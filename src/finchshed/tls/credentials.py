"""A process's TLS contexts, made anew when its files have changed.

Rotation: each new connection looks at the files' times. Connections that are open go on with what
they were made with. Files that don't fit together (half of them replaced) leave the last good ones
in use.
"""

import os
import ssl
from collections.abc import Mapping
from typing import Protocol

from loguru import logger

from finchshed.tls.files import TlsFiles, load_into_context, read_certificates, validate_files

Stamp = tuple[tuple[int, int], ...]
"""Time of the last change in nanoseconds and inode number of each file."""


class TlsSettings(Protocol):
    """The settings of a program that talks TLS."""

    @property
    def tls_files(self) -> TlsFiles:
        """The files named."""


class Credentials:
    """Contexts of one process for both ends of connections.

    Raises
    ------
    ssl.SSLError, OSError
        The files can't be used; the settings loader says so before.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self._stamp = _stamp_of(files)
        self._server = _make_context(ssl.PROTOCOL_TLS_SERVER, files)
        self._client = _make_context(ssl.PROTOCOL_TLS_CLIENT, files)

    def server_context(self) -> ssl.SSLContext:
        """Return the context for a connection that was accepted."""
        self._take_new_files()
        return self._server

    def client_context(self) -> ssl.SSLContext:
        """Return the context for a connection that is opened."""
        self._take_new_files()
        return self._client

    def _take_new_files(self) -> None:
        try:
            stamp = _stamp_of(self.files)
            if stamp == self._stamp:
                return
            self._stamp = stamp
            problems = validate_files(self.files)
            if problems:
                logger.warning("new key or certificate not taken: {}", _text(problems))
                return
            server = _make_context(ssl.PROTOCOL_TLS_SERVER, self.files)
            client = _make_context(ssl.PROTOCOL_TLS_CLIENT, self.files)
        except OSError as error:
            # Also ssl.SSLError: the files changed between the look at them and their use.
            self._stamp = ()
            logger.warning("new key or certificate not taken: {}", error)
            return
        self._server = server
        self._client = client
        logger.info("took new key and certificate, {}", _validity(self.files))


class FileChangeDetector:
    """Tells whether usable files have changed since the last look. Used by gRPC's own threads."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._stamp = _stamp_of(files)

    def read_if_changed(self) -> tuple[bytes, bytes, bytes] | None:
        """Return key, certificate and authorities if they are new and fit together."""
        try:
            stamp = _stamp_of(self._files)
            if stamp == self._stamp:
                return None
            self._stamp = stamp
            return None if validate_files(self._files) else read_files(self._files)
        except OSError:
            self._stamp = ()
            return None


def load_credentials(settings: TlsSettings) -> Credentials | None:
    """Return the credentials a program's settings name, or None for plain text; log which."""
    files = settings.tls_files
    if files.is_plain:
        logger.warning("connections between processes are in PLAIN TEXT: no tls_ files are set")
        return None
    logger.info("connections between processes use mutual TLS, {}", _validity(files))
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
    # Peers are dialled by address; their names are compared with their greetings instead.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_into_context(context, files)
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A resumed session would outlive its certificate, and no client here resumes one.
        context.num_tickets = 0
    return context


def _stamp_of(files: TlsFiles) -> Stamp:
    described = [os.stat(path) for path in files.by_setting().values()]
    return tuple((status.st_mtime_ns, status.st_ino) for status in described)


def _validity(files: TlsFiles) -> str:
    certificate = read_certificates(files.certificate)[0]
    return f"certificate valid until {certificate.not_valid_after_utc.isoformat()}"


def _text(problems: Mapping[str, str]) -> str:
    return "; ".join(f"{name} {words}" for name, words in problems.items())

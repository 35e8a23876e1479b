"""Mutual authentication on TLS connections, and reloading of changed files."""

import asyncio
import dataclasses
import os
import shutil
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest

from finchshed.link.lines import LineProtocol
from finchshed.tls.credentials import Credentials
from finchshed.tls.files import TlsFiles
from finchshed.tls.handshakes import Connector, listening_socket, start_server
from finchshed.tls.names import REFUSED_CONNECTIONS, CertificateRole, peer_identities
from tests.tls.keys import EXPIRED, CertificateAuthority

PLAIN_TEXT_TIMEOUT_SECONDS = 1.0


class EchoMessage(msgspec.Struct, tag="word"):
    text: str


class EchoListener:
    """Sends each message back."""

    def __init__(self) -> None:
        self.opened: list[LineProtocol[EchoMessage]] = []
        self.address = ("", 0)

    def make(self) -> LineProtocol[EchoMessage]:
        return LineProtocol(
            EchoMessage,
            lambda lines, message: lines.send(message) and None,
            on_open=self.opened.append,
            requires_handshake=True,
        )


@asynccontextmanager
async def listening(credentials: Credentials | None) -> AsyncIterator[EchoListener]:
    listener = EchoListener()
    server = await start_server(listener.make, credentials, listening_socket("127.0.0.1", 0))
    listener.address = server.sockets[0].getsockname()
    yield listener
    for lines in listener.opened:
        lines.abort()
    server.close()


class Client:
    def __init__(self) -> None:
        self.replies: asyncio.Queue[EchoMessage | None] = asyncio.Queue()
        self.lines: LineProtocol[EchoMessage] = LineProtocol(
            EchoMessage,
            lambda _, message: self.replies.put_nowait(message),
            on_close=lambda *_: self.replies.put_nowait(None),
        )

    async def echo(self, text: str) -> EchoMessage | None:
        """Return the answer, or None if the connection ended."""
        self.lines.send(EchoMessage(text))
        return await asyncio.wait_for(self.replies.get(), 10)


async def dial(
    listener: EchoListener, credentials: Credentials | None, role: CertificateRole | None
) -> Client:
    client = Client()
    await Connector(credentials, role)(lambda: client.lines, *listener.address)
    return client


def refusals(cause: str) -> float:
    return float(REFUSED_CONNECTIONS.labels(cause).value)


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(2_000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not come to hold")


@pytest.fixture
def authority(tmp_path: Path) -> CertificateAuthority:
    return CertificateAuthority(tmp_path / "keys")


async def test_peers_see_the_identities_in_each_other_s_certificates(
    authority: CertificateAuthority,
) -> None:
    node = Credentials(authority.issue(CertificateRole.CONTROL, "c1"))
    daemon = Credentials(authority.issue(CertificateRole.DAEMON, "d1", zone="a", endpoint="e1"))
    async with listening(node) as listener:
        client = await dial(listener, daemon, CertificateRole.CONTROL)
        assert await client.echo("hello") == EchoMessage("hello")
        assert peer_identities(client.lines.transport) == {"finchshed://control/c1"}
        seen = peer_identities(listener.opened[0].transport)
        assert seen == {
            "finchshed://daemon/d1",
            "finchshed://zone/a",
            "finchshed://endpoint/e1",
        }
        session = listener.opened[0].transport
        assert session is not None
        assert session.get_extra_info("ssl_object").version() == "TLSv1.3"
        client.lines.abort()


async def test_long_lines_arrive_complete_in_both_directions(
    authority: CertificateAuthority,
) -> None:
    credentials = Credentials(authority.issue(CertificateRole.CONTROL, "c1"))
    async with listening(credentials) as listener:
        client = await dial(listener, credentials, CertificateRole.CONTROL)
        assert await client.echo("x" * 10_000) == EchoMessage("x" * 10_000)
        listener.opened[0].complete_handshake()
        assert await client.echo("y" * 5_000_000) == EchoMessage("y" * 5_000_000)
        client.lines.abort()


async def assert_refused(listener: EchoListener, credentials: Credentials) -> None:
    """Assert that the listener refuses a connection with ``credentials`` and counts the refusal."""
    before = refusals("handshake")
    try:
        client = await dial(listener, credentials, None)
    except OSError:
        pass
    else:
        assert await client.echo("hello") is None
    await wait_until(lambda: refusals("handshake") > before)
    assert listener.opened == []


async def test_a_client_of_another_authority_is_refused(
    authority: CertificateAuthority, tmp_path: Path
) -> None:
    other = CertificateAuthority(tmp_path / "other")
    foreign_client = dataclasses.replace(
        other.issue(CertificateRole.DAEMON, "d1"), authority=str(authority.authority_file)
    )
    async with listening(Credentials(authority.issue(CertificateRole.CONTROL, "c1"))) as listener:
        await assert_refused(listener, Credentials(foreign_client))


async def test_a_client_with_an_expired_certificate_is_refused(
    authority: CertificateAuthority,
) -> None:
    expired = Credentials(authority.issue(CertificateRole.DAEMON, "d1", EXPIRED))
    async with listening(Credentials(authority.issue(CertificateRole.CONTROL, "c1"))) as listener:
        await assert_refused(listener, expired)


async def test_a_client_without_a_certificate_is_refused(authority: CertificateAuthority) -> None:
    class NoCertificate(Credentials):
        def client_context(self) -> ssl.SSLContext:
            context = ssl.create_default_context(cafile=self.files.authority)
            context.check_hostname = False
            return context

    files = authority.issue(CertificateRole.CONTROL, "c1")
    async with listening(Credentials(files)) as listener:
        await assert_refused(listener, NoCertificate(files))


async def test_a_client_refuses_a_listener_of_another_authority_or_an_expired_one(
    authority: CertificateAuthority, tmp_path: Path
) -> None:
    client = Credentials(authority.issue(CertificateRole.DAEMON, "d1"))
    other = CertificateAuthority(tmp_path / "other")
    for files in (
        other.issue(CertificateRole.CONTROL, "c1"),
        authority.issue(CertificateRole.CONTROL, "c2", EXPIRED),
    ):
        async with listening(Credentials(files)) as listener:
            with pytest.raises(ssl.SSLCertVerificationError):
                await dial(listener, client, CertificateRole.CONTROL)


async def test_a_client_refuses_a_daemon_in_place_of_a_control_node(
    authority: CertificateAuthority,
) -> None:
    client = Credentials(authority.issue(CertificateRole.DAEMON, "d1"))
    async with listening(Credentials(authority.issue(CertificateRole.DAEMON, "d2"))) as listener:
        with pytest.raises(ConnectionAbortedError, match="daemon/d2, not a control node"):
            await dial(listener, client, CertificateRole.CONTROL)


async def test_a_plain_text_client_is_refused_by_a_tls_listener(
    authority: CertificateAuthority,
) -> None:
    before = refusals("handshake")
    async with listening(Credentials(authority.issue(CertificateRole.CONTROL, "c1"))) as listener:
        client = await dial(listener, None, None)
        assert await client.echo("hello") is None
        await wait_until(lambda: refusals("handshake") == before + 1)
        assert listener.opened == []


async def test_a_tls_client_doesn_t_fall_back_to_plain_text(
    authority: CertificateAuthority,
) -> None:
    client = Credentials(authority.issue(CertificateRole.DAEMON, "d1"))
    async with listening(None) as listener:
        with pytest.raises((OSError, TimeoutError)):
            await asyncio.wait_for(
                dial(listener, client, CertificateRole.CONTROL), PLAIN_TEXT_TIMEOUT_SECONDS
            )


async def test_changed_files_apply_to_new_connections_and_open_ones_continue(
    authority: CertificateAuthority, tmp_path: Path
) -> None:
    files = authority.issue(CertificateRole.CONTROL, "c1")
    server = Credentials(files)
    old = Credentials(authority.issue(CertificateRole.DAEMON, "d1"))
    later = CertificateAuthority(tmp_path / "later")
    new_client = Credentials(later.issue(CertificateRole.DAEMON, "d2"))
    async with listening(server) as listener:
        client = await dial(listener, old, CertificateRole.CONTROL)
        replacement = later.issue(CertificateRole.CONTROL, "c1")
        replace(files.key, replacement.key)
        # Key and certificate don't match yet, so the old files stay in use.
        during_replacement = await dial(listener, old, CertificateRole.CONTROL)
        assert await during_replacement.echo("between") == EchoMessage("between")
        replace(files.certificate, replacement.certificate)
        replace(files.authority, replacement.authority)
        after_replacement = await dial(listener, new_client, CertificateRole.CONTROL)
        assert await after_replacement.echo("new") == EchoMessage("new")
        assert await client.echo("old") == EchoMessage("old")
        listener.opened.clear()
        with pytest.raises(ssl.SSLCertVerificationError):
            await dial(
                listener,
                Credentials(files_with_old_authority(old, tmp_path, authority)),
                CertificateRole.CONTROL,
            )
        for connection in (client, during_replacement, after_replacement):
            connection.lines.abort()


def files_with_old_authority(
    old: Credentials, folder: Path, authority: CertificateAuthority
) -> TlsFiles:
    """Return the files of ``old`` with the authority certificate that has since been replaced."""
    path = folder / "old-authority.pem"
    path.write_bytes(authority.issuer.certificate_pem())
    return dataclasses.replace(old.files, authority=str(path))


def replace(path: str, source: str) -> None:
    temporary = f"{path}.new"
    shutil.copyfile(source, temporary)
    os.replace(temporary, path)

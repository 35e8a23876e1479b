"""Who gets through a TLS listener, and who doesn't."""

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
from finchshed.tls.handshakes import Connector, start_server
from finchshed.tls.handshakes import listening_socket as loopback
from finchshed.tls.names import REFUSED_CONNECTIONS, CertificateRole, peer_identities
from tests.tls.keys import EXPIRED, Deployment

PLAIN_SECONDS = 1.0


class Word(msgspec.Struct, tag="word"):
    text: str


class Listener:
    """Answers each word with the same word."""

    def __init__(self) -> None:
        self.opened: list[LineProtocol[Word]] = []
        self.address = ("", 0)

    def make(self) -> LineProtocol[Word]:
        return LineProtocol(
            Word,
            lambda lines, word: lines.send(word) and None,
            on_open=self.opened.append,
            expects_greeting=True,
        )


@asynccontextmanager
async def listening(credentials: Credentials | None) -> AsyncIterator[Listener]:
    listener = Listener()
    server = await start_server(listener.make, credentials, loopback("127.0.0.1", 0))
    listener.address = server.sockets[0].getsockname()
    yield listener
    for lines in listener.opened:
        lines.abort()
    server.close()


class Client:
    def __init__(self) -> None:
        self.words: asyncio.Queue[Word | None] = asyncio.Queue()
        self.lines: LineProtocol[Word] = LineProtocol(
            Word,
            lambda _, word: self.words.put_nowait(word),
            on_close=lambda *_: self.words.put_nowait(None),
        )

    async def say(self, text: str) -> Word | None:
        """Return the answer, or None if the connection ended."""
        self.lines.send(Word(text))
        return await asyncio.wait_for(self.words.get(), 10)


async def dial(
    listener: Listener, credentials: Credentials | None, role: CertificateRole | None
) -> Client:
    client = Client()
    await Connector(credentials, role)(lambda: client.lines, *listener.address)
    return client


def refusals(cause: str) -> float:
    return float(REFUSED_CONNECTIONS.labels(cause).value)


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(2_000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not come to hold")


@pytest.fixture
def keys(tmp_path: Path) -> Deployment:
    return Deployment(tmp_path / "keys")


async def test_a_peer_of_the_authority_is_known_by_the_names_it_was_issued(
    keys: Deployment,
) -> None:
    node = Credentials(keys.issue(CertificateRole.CONTROL, "c1"))
    daemon = Credentials(keys.issue(CertificateRole.DAEMON, "d1", zone="a", endpoint="e1"))
    async with listening(node) as listener:
        client = await dial(listener, daemon, CertificateRole.CONTROL)
        assert await client.say("hello") == Word("hello")
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


async def test_long_lines_pass_whole_both_ways(keys: Deployment) -> None:
    both = Credentials(keys.issue(CertificateRole.CONTROL, "c1"))
    async with listening(both) as listener:
        client = await dial(listener, both, CertificateRole.CONTROL)
        assert await client.say("x" * 10_000) == Word("x" * 10_000)
        listener.opened[0].greeted()
        assert await client.say("y" * 5_000_000) == Word("y" * 5_000_000)
        client.lines.abort()


async def refused(listener: Listener, credentials: Credentials) -> None:
    """Require that the listener takes no connection of ``credentials`` and counts the refusal."""
    before = refusals("handshake")
    try:
        client = await dial(listener, credentials, None)
    except OSError:
        pass
    else:
        assert await client.say("hello") is None
    await until(lambda: refusals("handshake") > before)
    assert listener.opened == []


async def test_a_client_of_another_authority_is_refused(keys: Deployment, tmp_path: Path) -> None:
    other = Deployment(tmp_path / "other")
    stranger = dataclasses.replace(
        other.issue(CertificateRole.DAEMON, "d1"), authority=str(keys.authority_file)
    )
    async with listening(Credentials(keys.issue(CertificateRole.CONTROL, "c1"))) as listener:
        await refused(listener, Credentials(stranger))


async def test_a_client_with_an_expired_certificate_is_refused(keys: Deployment) -> None:
    late = Credentials(keys.issue(CertificateRole.DAEMON, "d1", EXPIRED))
    async with listening(Credentials(keys.issue(CertificateRole.CONTROL, "c1"))) as listener:
        await refused(listener, late)


async def test_a_client_without_a_certificate_is_refused(keys: Deployment) -> None:
    class NoCertificate(Credentials):
        def client_context(self) -> ssl.SSLContext:
            context = ssl.create_default_context(cafile=self.files.authority)
            context.check_hostname = False
            return context

    files = keys.issue(CertificateRole.CONTROL, "c1")
    async with listening(Credentials(files)) as listener:
        await refused(listener, NoCertificate(files))


async def test_a_client_refuses_a_listener_of_another_authority_or_an_expired_one(
    keys: Deployment, tmp_path: Path
) -> None:
    client = Credentials(keys.issue(CertificateRole.DAEMON, "d1"))
    other = Deployment(tmp_path / "other")
    for files in (
        other.issue(CertificateRole.CONTROL, "c1"),
        keys.issue(CertificateRole.CONTROL, "c2", EXPIRED),
    ):
        async with listening(Credentials(files)) as listener:
            with pytest.raises(ssl.SSLCertVerificationError):
                await dial(listener, client, CertificateRole.CONTROL)


async def test_a_daemon_can_not_stand_for_a_control_node(keys: Deployment) -> None:
    client = Credentials(keys.issue(CertificateRole.DAEMON, "d1"))
    async with listening(Credentials(keys.issue(CertificateRole.DAEMON, "d2"))) as listener:
        with pytest.raises(ConnectionAbortedError, match="daemon/d2, not a control node"):
            await dial(listener, client, CertificateRole.CONTROL)


async def test_a_plain_client_is_refused_by_a_tls_listener_at_once(keys: Deployment) -> None:
    before = refusals("handshake")
    async with listening(Credentials(keys.issue(CertificateRole.CONTROL, "c1"))) as listener:
        client = await dial(listener, None, None)
        assert await client.say("hello") is None
        await until(lambda: refusals("handshake") == before + 1)
        assert listener.opened == []


async def test_a_tls_client_doesn_t_fall_back_to_a_plain_listener(keys: Deployment) -> None:
    client = Credentials(keys.issue(CertificateRole.DAEMON, "d1"))
    async with listening(None) as listener:
        with pytest.raises((OSError, TimeoutError)):
            await asyncio.wait_for(dial(listener, client, CertificateRole.CONTROL), PLAIN_SECONDS)


async def test_new_files_are_taken_for_new_connections_and_cut_none(
    keys: Deployment, tmp_path: Path
) -> None:
    files = keys.issue(CertificateRole.CONTROL, "c1")
    server = Credentials(files)
    old = Credentials(keys.issue(CertificateRole.DAEMON, "d1"))
    later = Deployment(tmp_path / "later")
    new_client = Credentials(later.issue(CertificateRole.DAEMON, "d2"))
    async with listening(server) as listener:
        client = await dial(listener, old, CertificateRole.CONTROL)
        replacement = later.issue(CertificateRole.CONTROL, "c1")
        replace(files.key, replacement.key)
        # Half of the files: they don't fit together, so the old ones stay in use.
        between = await dial(listener, old, CertificateRole.CONTROL)
        assert await between.say("between") == Word("between")
        replace(files.certificate, replacement.certificate)
        replace(files.authority, replacement.authority)
        newcomer = await dial(listener, new_client, CertificateRole.CONTROL)
        assert await newcomer.say("new") == Word("new")
        assert await client.say("old") == Word("old")
        listener.opened.clear()
        with pytest.raises(ssl.SSLCertVerificationError):
            await dial(listener, Credentials(keys_of(old, tmp_path, keys)), CertificateRole.CONTROL)
        for one in (client, between, newcomer):
            one.lines.abort()


def keys_of(old: Credentials, folder: Path, keys: Deployment) -> TlsFiles:
    """Return the files of ``old`` with the authority as it was before it was replaced."""
    authority = folder / "old-authority.pem"
    authority.write_bytes(keys.authority.certificate_pem())
    return dataclasses.replace(old.files, authority=str(authority))


def replace(path: str, source: str) -> None:
    temporary = f"{path}.new"
    shutil.copyfile(source, temporary)
    os.replace(temporary, path)

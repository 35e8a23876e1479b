"""A link opens only if the listener's certificate covers the endpoint and zone it claims."""

import asyncio
from pathlib import Path

import pytest

from finchshed.link.lines import LineProtocol
from finchshed.link.messages import Hello, PeerMessage
from finchshed.link.peer import LinkState, PeerLink
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Connector, listening_socket, start_server
from finchshed.tls.names import CertificateRole
from tests.link.test_peer import Owner
from tests.tls.keys import CertificateAuthority

SECONDS = 10.0


async def connect_to(listener: Credentials, client: Credentials) -> tuple[PeerLink, Owner]:
    """Return a link to a listener that claims to be endpoint ``e1`` in zone ``a``."""

    def answer(lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        assert isinstance(message, Hello)
        lines.complete_handshake()
        lines.send(Hello("e1", "1", message.epoch, "s", "a", 1))

    def make() -> LineProtocol[PeerMessage]:
        return LineProtocol(PeerMessage, answer)

    server = await start_server(make, listener, listening_socket("127.0.0.1", 0))
    host, port = server.sockets[0].getsockname()
    owner = Owner()
    link = PeerLink(
        f"{host}:{port}",
        owner,
        max_unsent_bytes=1 << 20,
        silence_seconds=SECONDS,
        heartbeat_seconds=SECONDS,
        idle_heartbeat_seconds=SECONDS,
        connect_timeout_seconds=SECONDS,
        connect=Connector(client),
    )
    await link.connect()
    ends = [asyncio.create_task(event.wait()) for event in (owner.opened, owner.closed)]
    await asyncio.wait(ends, timeout=SECONDS, return_when=asyncio.FIRST_COMPLETED)
    for end in ends:
        end.cancel()
    server.close()
    return link, owner


@pytest.mark.parametrize(
    ("zone", "endpoint", "state"),
    [
        ("a", "e1", LinkState.OPEN),
        ("a", "e2", LinkState.CLOSED),
        ("b", "e1", LinkState.CLOSED),
    ],
)
async def test_a_link_opens_only_to_the_endpoint_in_the_certificate(
    tmp_path: Path, zone: str, endpoint: str, state: LinkState
) -> None:
    authority = CertificateAuthority(tmp_path / "keys")
    listener = Credentials(
        authority.issue(CertificateRole.DAEMON, "d1", zone=zone, endpoint=endpoint)
    )
    link, owner = await connect_to(
        listener, Credentials(authority.issue(CertificateRole.DAEMON, "me"))
    )
    assert link.state is state
    assert owner.opened.is_set() == (state is LinkState.OPEN)
    link.close("stopped")

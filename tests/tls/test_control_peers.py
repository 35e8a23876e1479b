"""A control node accepts Raft messages only from the node named in the sender's certificate."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import Envelope, PreVoteReply
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.node_links import ControlNodeLinks
from finchshed.control.raft.node_messages import PeerHello, PeerMessage, RaftMessage
from finchshed.distribution.status import InForceReport
from finchshed.link.encoding import encode_line
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import REFUSED_CONNECTIONS, CertificateRole
from tests.control.group import free_addresses
from tests.tls.keys import CertificateAuthority

SECONDS = 10.0


def raft_message(sender: str) -> RaftMessage:
    message = PreVoteReply(term=1, granted=True)
    return RaftMessage(Envelope(NodeIdentity(sender, "1"), NodeIdentity("c1", "1"), message))


class LinkedNode:
    """The peer links of node ``c1`` and the messages received on them."""

    def __init__(self, authority: CertificateAuthority) -> None:
        self.received: asyncio.Queue[PeerMessage] = asyncio.Queue()
        self.authority = authority
        (self.address,) = free_addresses(1)
        credentials = Credentials(authority.issue(CertificateRole.CONTROL, "c1"))
        self.background = BackgroundTasks(lambda error: pytest.fail(str(error)))
        self.links = ControlNodeLinks(
            PeerHello("c1", ""),
            lambda _, message: self.received.put_nowait(message),
            self.background,
            credentials=credentials,
        )

    async def send_as(self, role: CertificateRole, name: str, *messages: msgspec.Struct) -> bool:
        """Send ``messages`` as ``name``; return whether the node closes the connection."""
        reader = asyncio.StreamReader()
        host, port = self.address.split(":")
        connector = Connector(
            Credentials(self.authority.issue(role, name)), CertificateRole.CONTROL
        )
        transport, _ = await connector(
            lambda: asyncio.StreamReaderProtocol(reader), host, int(port)
        )
        transport.write(b"".join(encode_line(message) for message in messages))
        closed = asyncio.create_task(reader.read())
        received = asyncio.create_task(self.received.get())
        done, pending = await asyncio.wait(
            {closed, received}, timeout=SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        transport.abort()
        assert done, "connection neither closed nor message received"
        return closed in done


@pytest.fixture
async def node(tmp_path: Path) -> AsyncIterator[LinkedNode]:
    linked = LinkedNode(CertificateAuthority(tmp_path / "keys"))
    await linked.links.start(linked.address)
    yield linked
    linked.background.cancel()
    linked.links.stop()


async def test_a_node_can_send_only_under_its_own_name(node: LinkedNode) -> None:
    hello = PeerHello("c2", "")
    assert not await node.send_as(CertificateRole.CONTROL, "c2", hello, raft_message("c2"))
    assert await node.send_as(CertificateRole.CONTROL, "c2", hello, raft_message("c3"))
    assert await node.send_as(CertificateRole.CONTROL, "c3", hello, raft_message("c2"))
    assert await node.send_as(CertificateRole.CONTROL, "c2", hello, InForceReport("c3", 1))
    assert node.received.empty()


async def test_a_daemon_can_not_send_as_a_control_node(node: LinkedNode) -> None:
    assert await node.send_as(CertificateRole.DAEMON, "c2", PeerHello("c2", ""), raft_message("c2"))
    assert node.received.empty()


async def test_links_of_two_nodes_carry_messages(node: LinkedNode, tmp_path: Path) -> None:
    other = ControlNodeLinks(
        PeerHello("c2", "127.0.0.1:1"),
        lambda *_: None,
        node.background,
        credentials=Credentials(node.authority.issue(CertificateRole.CONTROL, "c2")),
    )
    assert other.send(node.address, raft_message("c2"))
    assert await asyncio.wait_for(node.received.get(), SECONDS) == raft_message("c2")
    other.stop()


async def test_a_refused_node_reconnects_with_backoff(node: LinkedNode) -> None:
    other = ControlNodeLinks(
        PeerHello("c9", ""),
        lambda *_: None,
        node.background,
        credentials=Credentials(node.authority.issue(CertificateRole.CONTROL, "c2")),
    )
    before = REFUSED_CONNECTIONS.labels("name").value
    for _ in range(150):
        other.send(node.address, raft_message("c9"))
        await asyncio.sleep(0.01)
    refused = REFUSED_CONNECTIONS.labels("name").value - before
    other.stop()
    assert 1 <= refused <= 8
    assert node.received.empty()

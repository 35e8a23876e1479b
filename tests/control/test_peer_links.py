"""Links between control nodes: access checks, protocol errors and redialling."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress

import pytest

from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.node_links import ControlNodeLinks
from finchshed.control.raft.node_messages import (
    ForwardOutcome,
    ForwardReply,
    PeerHello,
    PeerMessage,
)
from finchshed.link import lines
from finchshed.link.encoding import encode_line
from finchshed.link.lines import MAX_HANDSHAKE_LINE_BYTES
from finchshed.link.networks import PeerNetworks
from tests.control.group import free_addresses
from tests.link.strategies import NESTED

STEP_SECONDS = 5.0
HELLO = encode_line(PeerHello("c2", "127.0.0.1:1"))
REPLY = encode_line(ForwardReply(request=1, outcome=ForwardOutcome.DONE))


class PeerListener:
    """Listener that records received messages."""

    def __init__(self, networks: Sequence[str]) -> None:
        self.received: list[PeerMessage] = []
        self.message_received = asyncio.Event()
        self.address = free_addresses(1)[0]
        background = BackgroundTasks(lambda error: pytest.fail(str(error)))
        hello = PeerHello("c1", "127.0.0.1:2")
        allowed = PeerNetworks(networks)
        self.links = ControlNodeLinks(hello, self._receive, background, allowed)

    def _receive(self, _link: object, message: PeerMessage) -> None:
        self.received.append(message)
        self.message_received.set()

    async def send(self, data: bytes) -> bool:
        """Send ``data`` on a new connection; return whether the listener closed it."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            with suppress(ConnectionError):
                writer.write(data)
                async with asyncio.timeout(STEP_SECONDS):
                    await reader.read()
            return True
        finally:
            writer.close()


@asynccontextmanager
async def listening(networks: Sequence[str] = ("127.0.0.0/8",)) -> AsyncIterator[PeerListener]:
    listener = PeerListener(networks)
    await listener.links.start(listener.address)
    try:
        yield listener
    finally:
        listener.links.stop()


async def test_connection_from_another_network_is_closed_and_ignored() -> None:
    async with listening(["10.0.0.0/8"]) as listener:
        assert await listener.send(HELLO + REPLY)
        assert listener.received == []


@pytest.mark.parametrize(
    "data",
    [REPLY + HELLO + REPLY, b"x" * (MAX_HANDSHAKE_LINE_BYTES + 1), NESTED, b"{}\n" + HELLO + REPLY],
)
async def test_protocol_violation_closes_the_connection(data: bytes) -> None:
    async with listening() as listener:
        assert await listener.send(data)
        assert listener.received == []


async def test_silent_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lines, "HANDSHAKE_TIMEOUT_SECONDS", 0.1)
    async with listening() as listener:
        assert await listener.send(b"")


async def test_messages_after_the_greeting_are_passed_on() -> None:
    async with listening() as listener:
        await listener.send(HELLO + REPLY + b"\n")
        assert [type(message) for message in listener.received] == [ForwardReply]


async def test_hanging_dial_is_restarted_when_the_peer_connects() -> None:
    """The first dial hangs, as when a SYN to a machine without power is lost."""
    async with listening() as remote, listening() as local:
        dials: list[str] = []
        connect = local.links._open_connection

        async def hang_on_first_dial(make: object, host: str, port: int) -> object:
            dials.append(f"{host}:{port}")
            if len(dials) == 1:
                await asyncio.sleep(10 * STEP_SECONDS)
            return await connect(make, host, port)  # type: ignore[arg-type]

        local.links._open_connection = hang_on_first_dial  # type: ignore[assignment]
        local.links.send(remote.address, ForwardReply(request=1, outcome=ForwardOutcome.DONE))
        await asyncio.sleep(0.05)
        started = asyncio.get_running_loop().time()
        local.links._redial_now(remote.address)
        async with asyncio.timeout(STEP_SECONDS):
            await remote.message_received.wait()
        assert asyncio.get_running_loop().time() - started < 0.5
        assert dials == [remote.address, remote.address]

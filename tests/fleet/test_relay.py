import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest

from finchshed.fleet.link_conditions import LinkCondition, LinkRule, LinkRules, Peer
from finchshed.fleet.relay import Relay

CLIENT = Peer(name="edge-1", zone="north")
OWNER = Peer(name="one-daemon", zone="south")


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class RelayedEchoServer:
    """An echo server behind a relay."""

    def __init__(self) -> None:
        self.rules = LinkRules()
        self.relay = Relay(self.rules, lambda *_: CLIENT)
        self.public = free_address()
        self.private = free_address()

    async def start(self) -> None:
        host, _, port = self.private.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        await self.relay.listen(self.public, self.private, OWNER)

    async def stop(self) -> None:
        await self.relay.close()
        self._server.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.public.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(1024):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


@pytest.fixture
async def echo() -> AsyncIterator[RelayedEchoServer]:
    running = RelayedEchoServer()
    await running.start()
    yield running
    await running.stop()


def rule(source: str, target: str, **condition: float | bool) -> LinkRule:
    return LinkRule(source=source, target=target, condition=LinkCondition(**condition))  # type: ignore[arg-type]


async def test_bytes_and_end_of_file_are_relayed(echo: RelayedEchoServer) -> None:
    reader, writer = await echo.connect()
    writer.write(b"hello")
    assert await reader.readexactly(5) == b"hello"
    writer.write_eof()
    assert await reader.read() == b""


async def test_cut_is_silent_and_bytes_arrive_when_it_ends(echo: RelayedEchoServer) -> None:
    reader, writer = await echo.connect()
    writer.write(b"a")
    assert await reader.readexactly(1) == b"a"
    echo.rules.set("cut", rule("north", "south", cut=True))
    writer.write(b"b")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    assert not reader.at_eof()
    echo.rules.clear("cut")
    assert await asyncio.wait_for(reader.readexactly(1), 5.0) == b"b"


async def test_one_way_cut_holds_bytes_of_one_direction(echo: RelayedEchoServer) -> None:
    reader, writer = await echo.connect()
    echo.rules.set("cut", rule("edge-1", "one-daemon", cut=True))
    writer.write(b"x")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    echo.rules.clear("cut")
    assert await reader.readexactly(1) == b"x"
    echo.rules.set("cut", rule("south", "north", cut=True))
    writer.write(b"y")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    echo.rules.clear("cut")
    assert await reader.readexactly(1) == b"y"


async def test_cut_does_not_affect_other_pairs(echo: RelayedEchoServer) -> None:
    echo.rules.set("cut", rule("edge-2", "one-daemon", cut=True))
    reader, writer = await echo.connect()
    writer.write(b"x")
    assert await asyncio.wait_for(reader.readexactly(1), 5.0) == b"x"


async def test_delayed_bytes_arrive_in_order(echo: RelayedEchoServer) -> None:
    echo.rules.set("slow", rule("*", "*", delay_seconds=0.1))
    reader, writer = await echo.connect()
    begun = time.monotonic()
    for letter in b"abc":
        writer.write(bytes([letter]))
        await asyncio.sleep(0.01)
    assert await reader.readexactly(3) == b"abc"
    assert time.monotonic() - begun >= 0.2


async def test_bandwidth_is_limited(echo: RelayedEchoServer) -> None:
    echo.rules.set("narrow", rule("north", "south", bytes_per_second=10_000.0))
    reader, writer = await echo.connect()
    begun = time.monotonic()
    writer.write(b"z" * 3000)
    await reader.readexactly(3000)
    assert time.monotonic() - begun >= 0.3


async def test_reset_breaks_matching_connections(echo: RelayedEchoServer) -> None:
    reader, writer = await echo.connect()
    writer.write(b"a")
    await reader.readexactly(1)
    assert echo.relay.reset("north", "west") == 0
    assert echo.relay.reset("south", "north") == 1
    with pytest.raises(ConnectionResetError):
        await reader.readexactly(1)


async def test_connection_ends_if_the_program_does_not_listen(echo: RelayedEchoServer) -> None:
    await echo.relay.listen(unserved := free_address(), free_address(), OWNER)
    host, _, port = unserved.rpartition(":")
    reader, _ = await asyncio.open_connection(host, int(port))
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(1), 5.0)

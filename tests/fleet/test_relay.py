import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest

from finchshed.fleet.link_conditions import Condition, Conditions, LinkRule, Peer
from finchshed.fleet.relay import Relay

CLIENT = Peer(name="edge-1", zone="north")
OWNER = Peer(name="one-daemon", zone="south")


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Echo:
    """A relay in front of a listener that sends back what it gets."""

    def __init__(self) -> None:
        self.conditions = Conditions()
        self.relay = Relay(self.conditions, lambda *_: CLIENT)
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
async def echo() -> AsyncIterator[Echo]:
    running = Echo()
    await running.start()
    yield running
    await running.stop()


def rule(source: str, target: str, **condition: float | bool) -> LinkRule:
    return LinkRule(source=source, target=target, condition=Condition(**condition))  # type: ignore[arg-type]


async def test_bytes_pass_both_ways_and_the_end_is_passed_on(echo: Echo) -> None:
    reader, writer = await echo.connect()
    writer.write(b"hello")
    assert await reader.readexactly(5) == b"hello"
    writer.write_eof()
    assert await reader.read() == b""


async def test_cut_gives_no_sign_and_bytes_go_on_when_it_ends(echo: Echo) -> None:
    reader, writer = await echo.connect()
    writer.write(b"a")
    assert await reader.readexactly(1) == b"a"
    echo.conditions.set("cut", rule("north", "south", cut=True))
    writer.write(b"b")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    assert not reader.at_eof()
    echo.conditions.clear("cut")
    assert await asyncio.wait_for(reader.readexactly(1), 5.0) == b"b"


async def test_one_way_cut_lets_the_other_way_pass(echo: Echo) -> None:
    reader, writer = await echo.connect()
    echo.conditions.set("cut", rule("edge-1", "one-daemon", cut=True))
    writer.write(b"x")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    echo.conditions.clear("cut")
    assert await reader.readexactly(1) == b"x"
    echo.conditions.set("cut", rule("south", "north", cut=True))
    writer.write(b"y")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readexactly(1), 0.2)
    echo.conditions.clear("cut")
    assert await reader.readexactly(1) == b"y"


async def test_other_pairs_are_not_cut(echo: Echo) -> None:
    echo.conditions.set("cut", rule("edge-2", "one-daemon", cut=True))
    reader, writer = await echo.connect()
    writer.write(b"x")
    assert await asyncio.wait_for(reader.readexactly(1), 5.0) == b"x"


async def test_delay_holds_bytes_back_in_order(echo: Echo) -> None:
    echo.conditions.set("slow", rule("*", "*", delay_seconds=0.1))
    reader, writer = await echo.connect()
    begun = time.monotonic()
    for letter in b"abc":
        writer.write(bytes([letter]))
        await asyncio.sleep(0.01)
    assert await reader.readexactly(3) == b"abc"
    assert time.monotonic() - begun >= 0.2


async def test_rate_bounds_bytes_a_second(echo: Echo) -> None:
    echo.conditions.set("narrow", rule("north", "south", bytes_per_second=10_000.0))
    reader, writer = await echo.connect()
    begun = time.monotonic()
    writer.write(b"z" * 3000)
    await reader.readexactly(3000)
    assert time.monotonic() - begun >= 0.3


async def test_reset_breaks_the_connection(echo: Echo) -> None:
    reader, writer = await echo.connect()
    writer.write(b"a")
    await reader.readexactly(1)
    assert echo.relay.reset("north", "west") == 0
    assert echo.relay.reset("south", "north") == 1
    with pytest.raises(ConnectionResetError):
        await reader.readexactly(1)


async def test_refused_behind_the_relay_ends_the_connection(echo: Echo) -> None:
    await echo.relay.listen(nowhere := free_address(), free_address(), OWNER)
    host, _, port = nowhere.rpartition(":")
    reader, _ = await asyncio.open_connection(host, int(port))
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(1), 5.0)

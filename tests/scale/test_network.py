"""Cuts of hollow daemons' connections, over loopback."""

import asyncio
from collections.abc import Callable

from finchshed.distribution.messages import Fetch, InForce
from finchshed.link.lines import LineProtocol
from finchshed.scale.network import Network

GIVE_UP_SECONDS = 10.0
QUIET_SECONDS = 0.1

Lines = LineProtocol[InForce | Fetch]


async def eventually(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(GIVE_UP_SECONDS):
        while not condition():  # noqa: ASYNC110 - conditions of other tasks have no event
            await asyncio.sleep(0.01)


class Server:
    """Notes what it receives."""

    def __init__(self) -> None:
        self.received: list[InForce | Fetch] = []
        self.connections: list[Lines] = []
        self.closed = 0

    async def start(self) -> int:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.make, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def make(self) -> Lines:
        return LineProtocol(
            InForce | Fetch,
            lambda _, message: self.received.append(message),
            self.connections.append,
            lambda *_: self.on_close(),
        )

    def on_close(self) -> None:
        self.closed += 1


async def test_a_cut_holds_bytes_both_ways_and_closes_nothing() -> None:
    server, network = Server(), Network()
    port = await server.start()
    received: list[InForce | Fetch] = []
    client: Lines = LineProtocol(InForce | Fetch, lambda _, message: received.append(message))
    await network.connect(lambda: client, "127.0.0.1", port)
    client.send(InForce(1))
    await eventually(lambda: server.received == [InForce(1)])
    network.cut(("127.0.0.",))
    client.send(InForce(2))
    server.connections[0].send(Fetch(3))
    await asyncio.sleep(QUIET_SECONDS)
    assert server.received == [InForce(1)]
    assert received == []
    assert client.unsent_bytes() > 0
    assert server.closed == 0
    network.cut(())
    await eventually(lambda: server.received == [InForce(1), InForce(2)])
    await eventually(lambda: received == [Fetch(3)])


async def test_a_connection_to_a_host_cut_off_opens_when_the_cut_ends() -> None:
    server, network = Server(), Network()
    port = await server.start()
    network.cut(("127.0.0.1",))
    client: Lines = LineProtocol(InForce | Fetch, lambda *_: None)
    opening = asyncio.create_task(network.connect(lambda: client, "127.0.0.1", port))
    await asyncio.sleep(QUIET_SECONDS)
    assert not opening.done()
    assert not server.connections
    network.cut(("127.0.0.9",))
    await asyncio.wait_for(opening, GIVE_UP_SECONDS)
    assert client.is_open

"""Tests of the hub server against unsubscribed and misbehaving connections."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from finchshed.distribution.hub import Hub
from finchshed.distribution.messages import InForce, LedgerNoted, LedgerRequest, Subscribe
from finchshed.distribution.server import Answer, HubServer
from finchshed.link import lines
from finchshed.link.encoding import encode_line

TIMEOUT_SECONDS = 20.0
SUBSCRIBE = encode_line(Subscribe("n", "1", "s", "z", 0))


async def confirm() -> bool:
    return True


def on_ledger(request: LedgerRequest, answer: Answer) -> None:
    answer(LedgerNoted(request.request))


@pytest_asyncio.fixture
async def server() -> AsyncIterator[tuple[Hub, int]]:
    hub = Hub("c")
    made = HubServer(hub, confirm, on_ledger)
    port = await made.start("127.0.0.1", 0)
    yield hub, port
    await made.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110 - conditions of other tasks have no event
            await asyncio.sleep(0.01)


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Wait until the server has closed the connection."""
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while await reader.read(65_536):
                pass
    except ConnectionError:
        return True
    return True


async def test_long_line_is_accepted_only_after_a_subscription(
    server: tuple[Hub, int],
) -> None:
    hub, port = server
    long_line = b'{"type":"in_force","revision":' + b" " * (1 << 20) + b"7}\n"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(long_line.rstrip())
    assert await is_closed(reader)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(SUBSCRIBE + long_line)
    await wait_until(lambda: [s.revision for s in hub.collect_report(True).daemons] == [7])
    writer.close()


async def test_only_connections_without_a_subscription_are_closed(
    server: tuple[Hub, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    hub, port = server
    monkeypatch.setattr(lines, "HANDSHAKE_TIMEOUT_SECONDS", 0.2)
    reader, _ = await asyncio.open_connection("127.0.0.1", port)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(SUBSCRIBE)
    assert await is_closed(reader)
    await wait_until(lambda: hub.subscriber_count() == 1)
    writer.write(encode_line(InForce(3)))
    await wait_until(lambda: [s.revision for s in hub.collect_report(True).daemons] == [3])
    writer.close()


@pytest.mark.parametrize(
    "line",
    [encode_line(InForce(1)), b"no json\n", b'{"type":"unknown"}\n', SUBSCRIBE + SUBSCRIBE],
    ids=["before subscribing", "malformed", "unknown type", "subscribed twice"],
)
async def test_invalid_line_closes_only_its_own_connection(
    server: tuple[Hub, int], line: bytes
) -> None:
    hub, port = server
    _, good = await asyncio.open_connection("127.0.0.1", port)
    good.write(SUBSCRIBE)
    await wait_until(lambda: hub.subscriber_count() == 1)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    assert await is_closed(reader)
    await wait_until(lambda: hub.subscriber_count() == 1)
    good.write(encode_line(InForce(5)))
    await wait_until(lambda: [s.revision for s in hub.collect_report(True).daemons] == [5])
    good.close()

"""Each call on a link ends exactly once, whatever the peer sends."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import Delta
from finchshed.link.encoding import encode_line
from finchshed.link.messages import (
    Hello,
    PeerMessage,
    Ping,
    Reply,
)
from finchshed.link.peer import PeerLink
from finchshed.link.states import CallContent, LinkState, SendResult
from finchshed.quarantine.messages import CrashNews
from tests.link.strategies import NESTED, garbage, messages

CONTEXT = CallContext(root="r", importance=Importance.NORMAL, remaining_seconds=1.0)
STEP_SECONDS = 5.0
EPOCH_PLACEHOLDER = "THE-EPOCH"
"""Placeholder for the link's random epoch in the peer's messages."""


class Owner:
    """Records the events reported by the link."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.closed = asyncio.Event()
        self.causes: list[str] = []
        self.deltas: list[Delta] = []
        self.received_crash_news: list[CrashNews] = []

    def hello(self, epoch: str) -> Hello:
        return Hello("me", "1", epoch, "s", "z", 1)

    def link_opened(self, link: PeerLink, hello: Hello) -> None:
        self.opened.set()

    def link_closed(self, link: PeerLink, cause: str) -> None:
        self.causes.append(cause)
        self.closed.set()

    def peer_draining(self, link: PeerLink) -> None: ...

    def load_reported(self, link: PeerLink, load: LoadReport) -> None: ...

    def revision_seen(self, link: PeerLink, revision: int) -> None: ...

    def delta_received(self, link: PeerLink, delta: Delta) -> None:
        self.deltas.append(delta)

    def crash_news_received(self, news: CrashNews) -> None:
        self.received_crash_news.append(news)

    def crash_news(self) -> CrashNews | None:
        return None

    def delta_for(self, revision: int) -> Delta | None:
        return None


class ScriptedLink:
    """A link with the peer's end of its connection and the replies received by each call."""

    def __init__(self, link: PeerLink, owner: Owner) -> None:
        self.link = link
        self.owner = owner
        self.replies: dict[int, list[Reply | None]] = {}
        self.writer: asyncio.StreamWriter

    def call(self) -> int:
        received: list[Reply | None] = []
        result, number = self.link.send_call(
            CallContent(
                service="s",
                method="GET",
                path="/",
                headers=(),
                body=b"",
                context=CONTEXT,
                revision=1,
            ),
            received.append,
        )
        assert result is SendResult.SENT
        self.replies[number] = received
        return number

    async def send(self, *parts: PeerMessage | bytes) -> None:
        for part in parts:
            line = part if isinstance(part, bytes) else encode_line(part)
            self.writer.write(line.replace(EPOCH_PLACEHOLDER.encode(), self.link.epoch.encode()))
        await self.writer.drain()

    async def wait_closed(self) -> None:
        async with asyncio.timeout(STEP_SECONDS):
            await self.owner.closed.wait()


def hello() -> Hello:
    return Hello("peer", "1", EPOCH_PLACEHOLDER, "s", "z", 1)


def reply(number: int, epoch: str = EPOCH_PLACEHOLDER, body: bytes = b"mine") -> Reply:
    return Reply(epoch, number, Answered(200, (), body), spare_attempts=0, load=LoadReport())


@asynccontextmanager
async def connected_link(send_hello: bool = True) -> AsyncIterator[ScriptedLink]:
    """Connect a link to a peer controlled by the test."""
    writers: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.put_nowait(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    owner = Owner()
    link = PeerLink(
        f"127.0.0.1:{port}",
        owner,
        max_unsent_bytes=1_000_000,
        silence_seconds=60.0,
        heartbeat_seconds=30.0,
        connect_timeout_seconds=STEP_SECONDS,
    )
    scripted_link = ScriptedLink(link, owner)
    try:
        await link.connect()
        async with asyncio.timeout(STEP_SECONDS):
            scripted_link.writer = await writers.get()
            if send_hello:
                await scripted_link.send(hello())
                await owner.opened.wait()
        yield scripted_link
    finally:
        link.close("test ended")
        scripted_link.writer.close()
        server.close()


@settings(max_examples=40, deadline=None)
@given(st.lists(st.one_of(messages, garbage, st.integers(0, 5).map(reply)), max_size=8))
def test_each_call_ends_once_and_only_by_its_own_reply(parts: list[PeerMessage | bytes]) -> None:
    async def scenario() -> None:
        async with connected_link() as scripted_link:
            numbers = [scripted_link.call() for _ in range(3)]
            await scripted_link.send(*parts, b"\n")  # an empty line always closes the link
            await scripted_link.wait_closed()
            assert [len(scripted_link.replies[number]) for number in numbers] == [1, 1, 1]
            for number in numbers:
                (received,) = scripted_link.replies[number]
                assert received is None or (received.call, received.epoch) == (
                    number,
                    scripted_link.link.epoch,
                )
            assert len(scripted_link.owner.causes) == 1
            assert scripted_link.link.calls_in_progress == 0

    asyncio.run(scenario())


async def test_replies_of_another_epoch_or_to_cancelled_calls_are_dropped() -> None:
    async with connected_link() as scripted_link:
        first, second = scripted_link.call(), scripted_link.call()
        scripted_link.link.cancel_call(first)
        await scripted_link.send(
            reply(second, epoch="older", body=b"late"), reply(first, body=b"late")
        )
        await scripted_link.send(reply(second), reply(second, body=b"again"), b"\n")
        await scripted_link.wait_closed()
    assert scripted_link.replies[first] == []
    (received,) = scripted_link.replies[second]
    assert received is not None
    assert isinstance(received.outcome, Answered)
    assert received.outcome.body == b"mine"


@pytest.mark.parametrize(
    "first",
    [
        reply(1),
        Ping(epoch=EPOCH_PLACEHOLDER),
        Delta(base=0, revision=9),
        Hello("peer", "1", "another-epoch", "s", "z", 1),
        NESTED,
        b"x" * 20_000,
        b"\xff\xfe\n",
    ],
)
async def test_a_peer_that_does_not_send_hello_first_is_disconnected(
    first: PeerMessage | bytes,
) -> None:
    async with connected_link(send_hello=False) as scripted_link:
        await scripted_link.send(first, hello())
        await scripted_link.wait_closed()
        assert scripted_link.link.state is LinkState.CLOSED
        assert not scripted_link.owner.opened.is_set()
        assert scripted_link.owner.deltas == []
        assert scripted_link.owner.causes == ["protocol"]

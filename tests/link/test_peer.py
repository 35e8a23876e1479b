"""The calling end: each call ends in one way, whatever the peer sends."""

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
EPOCH_MARK = "THE-EPOCH"
"""Stands for the link's epoch, which it draws itself, in what a test has the peer send."""


class Owner:
    """Notes what it is told."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.closed = asyncio.Event()
        self.causes: list[str] = []
        self.deltas: list[Delta] = []
        self.crash_news_got: list[CrashNews] = []

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
        self.crash_news_got.append(news)

    def crash_news(self) -> CrashNews | None:
        return None

    def delta_for(self, revision: int) -> Delta | None:
        return None


class Scripted:
    """A link, the peer's end of its connection, and the replies calls got."""

    def __init__(self, link: PeerLink, owner: Owner) -> None:
        self.link = link
        self.owner = owner
        self.replies: dict[int, list[Reply | None]] = {}
        self.writer: asyncio.StreamWriter

    def call(self) -> int:
        told: list[Reply | None] = []
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
            told.append,
        )
        assert result is SendResult.SENT
        self.replies[number] = told
        return number

    async def send(self, *parts: PeerMessage | bytes) -> None:
        for part in parts:
            line = part if isinstance(part, bytes) else encode_line(part)
            self.writer.write(line.replace(EPOCH_MARK.encode(), self.link.epoch.encode()))
        await self.writer.drain()

    async def ended(self) -> None:
        async with asyncio.timeout(STEP_SECONDS):
            await self.owner.closed.wait()


def hello() -> Hello:
    return Hello("peer", "1", EPOCH_MARK, "s", "z", 1)


def reply(number: int, epoch: str = EPOCH_MARK, body: bytes = b"mine") -> Reply:
    return Reply(epoch, number, Answered(200, (), body), spare_attempts=0, load=LoadReport())


@asynccontextmanager
async def scripted(say_hello: bool = True) -> AsyncIterator[Scripted]:
    """Connect a link to a peer that sends what the test says."""
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
    scene = Scripted(link, owner)
    try:
        await link.connect()
        async with asyncio.timeout(STEP_SECONDS):
            scene.writer = await writers.get()
            if say_hello:
                await scene.send(hello())
                await owner.opened.wait()
        yield scene
    finally:
        link.close("test ended")
        scene.writer.close()
        server.close()


@settings(max_examples=40, deadline=None)
@given(st.lists(st.one_of(messages, garbage, st.integers(0, 5).map(reply)), max_size=8))
def test_each_call_ends_once_and_only_by_its_own_reply(parts: list[PeerMessage | bytes]) -> None:
    async def scenario() -> None:
        async with scripted() as scene:
            numbers = [scene.call() for _ in range(3)]
            await scene.send(*parts, b"\n")  # an empty line ends the link at the latest
            await scene.ended()
            assert [len(scene.replies[number]) for number in numbers] == [1, 1, 1]
            for number in numbers:
                (told,) = scene.replies[number]
                assert told is None or (told.call, told.epoch) == (number, scene.link.epoch)
            assert len(scene.owner.causes) == 1
            assert scene.link.calls_in_progress == 0

    asyncio.run(scenario())


async def test_replies_of_another_epoch_and_to_calls_given_up_on_find_nobody() -> None:
    async with scripted() as scene:
        first, second = scene.call(), scene.call()
        scene.link.cancel_call(first)
        await scene.send(reply(second, epoch="older", body=b"late"), reply(first, body=b"late"))
        await scene.send(reply(second), reply(second, body=b"again"), b"\n")
        await scene.ended()
    assert scene.replies[first] == []
    (told,) = scene.replies[second]
    assert told is not None
    assert isinstance(told.outcome, Answered)
    assert told.outcome.body == b"mine"


@pytest.mark.parametrize(
    "first",
    [
        reply(1),
        Ping(epoch=EPOCH_MARK),
        Delta(base=0, revision=9),
        Hello("peer", "1", "another-epoch", "s", "z", 1),
        NESTED,
        b"x" * 20_000,
        b"\xff\xfe\n",
    ],
)
async def test_a_peer_that_does_not_say_who_it_is_is_left(first: PeerMessage | bytes) -> None:
    async with scripted(say_hello=False) as scene:
        await scene.send(first, hello())
        await scene.ended()
        assert scene.link.state is LinkState.CLOSED
        assert not scene.owner.opened.is_set()
        assert scene.owner.deltas == []
        assert scene.owner.causes == ["protocol"]

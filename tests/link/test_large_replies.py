"""A large answer that can't be queued fails alone: the link and its other calls go on."""

import asyncio

import msgspec
import pytest

from finchshed.admission.load_report import LoadReport
from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.common.outcomes import Answered, Failed, FailureReason
from finchshed.link.listener import AcceptedLink, LinkListener
from finchshed.link.messages import PeerMessage, Reply
from tests.link.strategies import EPOCH
from tests.link.test_listener import HELLO, Owner, Peer, call
from tests.link.transport import MemoryTransport

MAX_UNSENT_BYTES = 1_000_000
LARGE = bytes(400_000)
MEMORY_BYTES = 20_000_000


class StuckTransport(MemoryTransport):
    """Buffers whatever is written until it is told to send."""

    def __init__(self) -> None:
        super().__init__()
        self.unsent = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        super().write(data)
        self.unsent += len(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def send(self) -> None:
        """Send what is buffered."""
        self.unsent = 0
        assert self._protocol is not None
        self._protocol.resume_writing()


class StuckPeer(Peer):
    """A peer that doesn't read."""

    def __init__(self, listener: LinkListener) -> None:
        self.transport: StuckTransport = StuckTransport()
        self._protocol = listener.make_protocol()
        self.transport.connect(self._protocol)

    def outcomes(self) -> list[object]:
        """Return the outcomes of the replies written so far."""
        lines = self.transport.written.splitlines()
        messages = [msgspec.json.decode(line, type=PeerMessage) for line in lines]
        return [message.outcome for message in messages if isinstance(message, Reply)]


def link_of(memory: MemoryBudget, calls: int) -> tuple[AcceptedLink, StuckPeer]:
    owner = Owner()
    listener = LinkListener(
        owner,
        ("127.0.0.0/8",),
        silence_seconds=5.0,
        max_unsent_bytes=MAX_UNSENT_BYTES,
        memory=memory,
    )
    peer = StuckPeer(listener)
    peer.send(HELLO, *(call(number) for number in range(1, calls + 1)))
    return owner.received[0][0], peer


def reply(number: int, body: bytes) -> Reply:
    return Reply(EPOCH, number, Answered(200, (), body), spare_attempts=0, load=LoadReport())


def kinds_of(peer: StuckPeer) -> list[str]:
    return ["answered" if isinstance(one, Answered) else "failed" for one in peer.outcomes()]


@pytest.mark.parametrize("size", [400_000, 2_000_000])
def test_an_answer_beyond_the_unsent_bytes_fails_alone(size: int) -> None:
    async def scenario() -> None:
        link, peer = link_of(MemoryBudget(MEMORY_BYTES), 5)
        for number, body in enumerate((bytes(size), LARGE, LARGE, b"small"), start=1):
            assert link.reply(reply(number, body))
        fits = 4 * size // 3 + 4 * len(LARGE) // 3 <= MAX_UNSENT_BYTES
        second = "answered" if fits else "failed"
        assert kinds_of(peer) == ["answered", second, "failed", "answered"]
        failed = [one for one in peer.outcomes() if isinstance(one, Failed)]
        assert {one.reason for one in failed} == {FailureReason.ANSWER_TOO_LARGE}
        peer.transport.send()
        assert link.reply(reply(5, LARGE))
        assert kinds_of(peer)[-1] == "answered"
        assert not peer.transport.closed

    asyncio.run(scenario())


def test_an_answer_that_finds_no_memory_fails_alone() -> None:
    async def scenario() -> None:
        memory = MemoryBudget(MEMORY_BYTES)
        link, peer = link_of(memory, 2)
        other = memory.open(HoldingKind.MANY_REQUESTS, lambda: None)
        other.resize(MEMORY_BYTES - 1_000)
        assert link.reply(reply(1, LARGE))
        assert kinds_of(peer) == ["failed"]
        other.release()
        assert link.reply(reply(2, LARGE))
        assert kinds_of(peer) == ["failed", "answered"]

    asyncio.run(scenario())


def test_what_a_link_holds_is_freed_with_it() -> None:
    async def scenario() -> None:
        memory = MemoryBudget(MEMORY_BYTES)
        link, peer = link_of(memory, 1)
        link.reply(reply(1, LARGE))
        peer.send(b'{"type":"call",' + b" " * 200_000)
        assert memory.held > len(LARGE)
        peer.transport.abort()
        peer.transport.finish()
        assert memory.held == 0

    asyncio.run(scenario())

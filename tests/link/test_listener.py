"""Invalid input from a peer closes at most that peer's own link."""

import asyncio
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import Delta, Fetch
from finchshed.link.digests import digest_of
from finchshed.link.encoding import encode_line
from finchshed.link.lines import MAX_HANDSHAKE_LINE_BYTES
from finchshed.link.listener import AcceptedLink, LinkListener
from finchshed.link.messages import (
    Call,
    Hello,
    PeerMessage,
    Ping,
    Reply,
)
from finchshed.quarantine.messages import CrashNews
from tests.link.strategies import EPOCH, garbage, messages
from tests.link.transport import MemoryTransport

HELLO = Hello(node="n1", incarnation="1", epoch=EPOCH, service="s", zone="z", revision=1)
CONTEXT = CallContext(root="r", importance=Importance.NORMAL, remaining_seconds=1.0)
SILENCE_SECONDS = 1.0


def call(number: int, epoch: str = EPOCH, body: bytes = b"order") -> Call:
    return Call(
        epoch=epoch,
        call=number,
        service="s",
        method="GET",
        path="/",
        headers=(),
        body=body,
        digest=digest_of(body),
        context=CONTEXT,
    )


class Owner:
    """Records the events reported by the listener."""

    def __init__(self) -> None:
        self.received: list[tuple[AcceptedLink, Call]] = []
        self.cancelled: list[tuple[AcceptedLink, int]] = []
        self.received_crash_news: list[CrashNews] = []

    def hello(self, epoch: str) -> Hello:
        return Hello(node="me", incarnation="1", epoch=epoch, service="s", zone="z", revision=1)

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        self.received.append((link, call))

    def call_cancelled(self, link: AcceptedLink, call: int) -> None:
        self.cancelled.append((link, call))

    def load_report(self) -> LoadReport:
        return LoadReport()

    def revision(self) -> int:
        return 1

    def accepted_revision_seen(self, link: AcceptedLink, revision: int) -> None: ...

    def accepted_delta_received(self, link: AcceptedLink, delta: Delta) -> None: ...

    def crash_news_received(self, news: CrashNews) -> None:
        self.received_crash_news.append(news)

    def crash_news(self) -> CrashNews | None:
        return None

    def delta_for(self, revision: int) -> Delta | None:
        return None


class Peer:
    """One connection to a listener."""

    def __init__(self, listener: LinkListener, host: str = "127.0.0.1") -> None:
        self.transport = MemoryTransport((host, 40_000))
        self._protocol = listener.make_protocol()
        self.transport.connect(self._protocol)

    def send(self, *parts: PeerMessage | bytes) -> None:
        encoded = (part if isinstance(part, bytes) else encode_line(part) for part in parts)
        self._protocol.data_received(b"".join(encoded))


def make_listener(owner: Owner, networks: Sequence[str] = ("127.0.0.0/8",)) -> LinkListener:
    return LinkListener(
        owner, networks, silence_seconds=SILENCE_SECONDS, max_unsent_bytes=1_000_000
    )


@given(st.lists(st.one_of(messages, garbage), max_size=8))
def test_whatever_a_peer_sends_another_link_goes_on(parts: list[PeerMessage | bytes]) -> None:
    async def scenario() -> None:
        owner = Owner()
        listener = make_listener(owner)
        good, bad = Peer(listener), Peer(listener)
        good.send(HELLO, call(1))
        for part in parts:
            bad.send(part)
        bad.transport.finish()
        good.send(call(2))
        good_link = owner.received[0][0]
        assert [accepted.call for link, accepted in owner.received if link is good_link] == [1, 2]
        answer = Reply(EPOCH, 2, Answered(200, (), b""), spare_attempts=0, load=LoadReport())
        assert good_link.reply(answer)
        assert encode_line(answer) in good.transport.written
        check_calls_of_bad_link(owner, good_link)

    asyncio.run(scenario())


def check_calls_of_bad_link(owner: Owner, good_link: AcceptedLink) -> None:
    """Check that accepted calls are intact and unique, and were cancelled when the link closed."""
    accepted_calls = [
        (link, accepted) for link, accepted in owner.received if link is not good_link
    ]
    numbers = [accepted.call for _, accepted in accepted_calls]
    assert numbers == sorted(set(numbers))
    for link, accepted in accepted_calls:
        assert link.peer is not None
        assert accepted.epoch == link.epoch != ""
        assert digest_of(accepted.body) == accepted.digest
    assert sorted(number for _, number in owner.cancelled) == numbers


@pytest.mark.parametrize(
    "parts",
    [
        (call(1), HELLO, call(2)),
        (HELLO, call(1, epoch="other"), call(2)),
        (HELLO, call(2), call(2), call(3)),
        (HELLO, call(2), call(1), call(3)),
        (HELLO, encode_line(call(1)).replace(b'"digest":"', b'"digest":"0'), call(2)),
        (Ping(epoch=EPOCH), HELLO, call(1)),
        (Hello("", "1", EPOCH, "s", "z", 1), call(1)),
        (Hello("n1", "1", "", "s", "z", 1), call(1)),
        (b"x" * (MAX_HANDSHAKE_LINE_BYTES + 1), HELLO, call(1)),
        (b"{}\n", HELLO, call(1)),
        (HELLO, Fetch(-1), call(1)),
        (HELLO, Ping(epoch=EPOCH, revision=1 << 63), call(1)),
        (HELLO, call(-1), call(1)),
    ],
)
def test_no_call_is_accepted_after_a_protocol_violation(
    parts: tuple[PeerMessage | bytes, ...],
) -> None:
    async def scenario() -> None:
        owner = Owner()
        peer = Peer(make_listener(owner))
        peer.send(*parts)
        assert peer.transport.closed
        last = parts[-1]
        assert isinstance(last, Call)
        assert last.call not in [accepted.call for _, accepted in owner.received]

    asyncio.run(scenario())


def test_long_lines_are_accepted_after_the_handshake() -> None:
    async def scenario() -> None:
        owner = Owner()
        peer = Peer(make_listener(owner))
        peer.send(HELLO, call(1, body=b"x" * 10 * MAX_HANDSHAKE_LINE_BYTES))
        assert len(owner.received) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("host", ["10.0.0.1", "nonsense", "127.0.0.1x", ""])
def test_a_peer_outside_the_allowed_networks_is_rejected(host: str) -> None:
    async def scenario() -> None:
        owner = Owner()
        peer = Peer(make_listener(owner), host)
        assert peer.transport.closed
        peer.send(HELLO, call(1))
        assert owner.received == []
        assert peer.transport.written == b""

    asyncio.run(scenario())


def test_a_silent_peer_is_disconnected() -> None:
    async def scenario() -> None:
        listener = make_listener(Owner())
        silent, talking = Peer(listener), Peer(listener)
        talking.send(HELLO)
        (link,) = [link for link in listener.links() if link.peer is not None]
        now = asyncio.get_running_loop().time()
        link.last_received_at = now + SILENCE_SECONDS
        listener.close_silent(now + SILENCE_SECONDS)
        assert (silent.transport.closed, talking.transport.closed) == (True, False)

    asyncio.run(scenario())

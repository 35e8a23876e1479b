"""Late, duplicate, reordered, truncated, corrupt or misaddressed replies on a link are rejected."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from finchshed.configuration.resources import Policy
from finchshed.link.lines import LineProtocol
from finchshed.link.messages import Call, PeerMessage
from tests.daemon.deployment import SERVICE, SERVICE_DECLARATION, eventually
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_control import ScriptedControl
from tests.daemon.scripted_peer import ScriptedPeer, cut_line

Lines = LineProtocol[PeerMessage]


@dataclass
class System:
    """An edge whose only endpoint is a scripted peer."""

    peer: ScriptedPeer
    edge: DaemonProcess
    session: aiohttp.ClientSession

    async def ask(self, path: str, **headers: str) -> tuple[int, str, bytes]:
        """Send a request; return the status, reason and body."""
        sent = {"finchshed-service": SERVICE}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        url = f"http://{self.edge.http_address}{path}"
        async with self.session.get(url, headers=sent) as response:
            body = await response.read()
            return response.status, response.headers.get("finchshed-reason", ""), body


@asynccontextmanager
async def edge_of(on_call: Callable[[ScriptedPeer, Lines, Call], None]) -> AsyncIterator[System]:
    async with ScriptedPeer(on_call) as peer:
        resources = (SERVICE_DECLARATION, Policy(retry_budget=0), peer.endpoint())
        async with (
            ScriptedControl(resources) as control,
            DaemonProcess("edge", control.address) as edge,
            aiohttp.ClientSession() as session,
        ):
            yield System(peer, edge, session)


async def test_duplicate_answers_reach_only_their_request_and_once() -> None:
    def twice(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        lines.send(peer.reply_to(call))
        lines.send(peer.reply_to(call, b"doubled"))

    async with edge_of(twice) as system:
        responses = [await system.ask(f"/{number}") for number in range(20)]
        assert system.peer.links == 1
    assert responses == [(200, "", f"/{number}".encode()) for number in range(20)]


async def test_answers_of_another_epoch_or_identity_are_dropped() -> None:
    def stray(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        lines.send(peer.reply_to(call, b"old", epoch="another"))
        lines.send(peer.reply_to(call, b"stray", call=call.call + 1000))
        lines.send(peer.reply_to(call))

    async with edge_of(stray) as system:
        responses = [await system.ask(f"/{number}") for number in range(10)]
    assert responses == [(200, "", f"/{number}".encode()) for number in range(10)]


async def test_reordered_answers_reach_their_own_callers() -> None:
    held: list[Call] = []

    def reverse(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        held.append(call)
        if len(held) == 30:
            for other in reversed(held):
                lines.send(peer.reply_to(other))

    async with edge_of(reverse) as system:
        responses = await asyncio.gather(*(system.ask(f"/{number}") for number in range(30)))
    assert responses == [(200, "", f"/{number}".encode()) for number in range(30)]


async def test_late_answer_is_dropped_and_its_call_was_cancelled() -> None:
    late: list[Call] = []

    def hold(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        if call.path == "/late":
            late.append(call)
            return
        for other in late:
            lines.send(peer.reply_to(other, b"late"))
        lines.send(peer.reply_to(call))

    async with edge_of(hold) as system:
        first = await system.ask("/late", finchshed_deadline_ms="100")
        await eventually(lambda: system.peer.cancels)
        responses = [await system.ask(f"/{number}") for number in range(5)]
        assert system.peer.cancels == [late[0].call]
    assert first[:2] == (504, "deadline")
    assert responses == [(200, "", f"/{number}".encode()) for number in range(5)]


async def test_answer_that_differs_from_its_digest_is_not_passed_on() -> None:
    def corrupt(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        digest = peer.reply_to(call, b"another").digest
        lines.send(peer.reply_to(call, digest=digest))

    async with edge_of(corrupt) as system:
        response = await system.ask("/a")
    assert response[:2] == (502, "answer_corrupt")


async def test_truncated_line_ends_its_link_and_leaves_its_calls_unknown() -> None:
    held: list[Call] = []

    def cut(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        if call.path == "/after":
            lines.send(peer.reply_to(call))
            return
        held.append(call)
        if len(held) == 3:
            cut_line(lines, peer.reply_to(call))

    async with edge_of(cut) as system:
        responses = await asyncio.gather(*(system.ask(f"/{number}") for number in range(3)))
        await eventually(lambda: system.peer.links == 2)
        after = await _ask_until_answered(system)
    assert [response[:2] for response in responses] == [(502, "link_broken")] * 3
    assert after == (200, "", b"/after")


async def test_malformed_line_ends_only_its_link() -> None:
    def malformed(peer: ScriptedPeer, lines: Lines, call: Call) -> None:
        if call.path == "/bad":
            lines.send_encoded(b'{"type":"reply","epoch":7}\n')
        else:
            lines.send(peer.reply_to(call))

    async with edge_of(malformed) as system:
        response = await system.ask("/bad")
        after = await _ask_until_answered(system)
    assert response[:2] == (502, "link_broken")
    assert after == (200, "", b"/after")


async def _ask_until_answered(system: System) -> tuple[int, str, bytes]:
    """Repeat a request that is refused until the link is reopened."""
    for _ in range(200):
        response = await system.ask("/after")
        if response[0] != 503:
            return response
        await asyncio.sleep(0.02)
    raise AssertionError("the link was not reopened in 200 attempts")

"""Fake peer daemon: speaks the link protocol and replies as a test specifies."""

import asyncio
from collections.abc import Callable

from finchshed.admission.load_report import LoadReport
from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Endpoint
from finchshed.link.digests import digest_of
from finchshed.link.lines import LineProtocol, encode_line
from finchshed.link.messages import (
    Call,
    Cancel,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    Reply,
)
from tests.daemon.deployment import SERVICE

NAME = "licence-1"


class ScriptedPeer:
    """Accepts links in place of the daemon beside a back end; ``on_call`` handles each call."""

    def __init__(
        self, on_call: Callable[["ScriptedPeer", LineProtocol[PeerMessage], Call], None]
    ) -> None:
        self._on_call = on_call
        self.calls: list[Call] = []
        self.cancels: list[int] = []
        self.links = 0
        self._server: asyncio.Server | None = None
        self._open: list[LineProtocol[PeerMessage]] = []
        self.address = ""

    async def __aenter__(self) -> "ScriptedPeer":
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_protocol, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for lines in self._open:
            lines.abort()

    def endpoint(self) -> Endpoint:
        """Return the endpoint resource of this peer."""
        return Endpoint(
            name=NAME,
            service=SERVICE,
            region="north",
            zone="north-1",
            address=self.address,
            slots=64,
        )

    def reply_to(self, call: Call, body: bytes = b"", /, **changed: object) -> Reply:
        """Return a reply to a call, by default with its path as body, with fields ``changed``."""
        whole = body or call.path.encode()
        fields: dict[str, object] = {
            "epoch": call.epoch,
            "call": call.call,
            "outcome": Answered(200, (), whole),
            "spare_attempts": 0,
            "load": LoadReport(),
            "digest": digest_of(whole),
        }
        return Reply(**{**fields, **changed})  # type: ignore[arg-type]

    def _make_protocol(self) -> LineProtocol[PeerMessage]:
        return LineProtocol(PeerMessage, self._on_message, self._on_open)

    def _on_open(self, lines: LineProtocol[PeerMessage]) -> None:
        self.links += 1
        self._open.append(lines)

    def _on_message(self, lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        if isinstance(message, Hello):
            lines.send(Hello(NAME, "i1", message.epoch, SERVICE, "north-1", 1))
        elif isinstance(message, Ping):
            lines.send(Pong(message.epoch, LoadReport(), 1))
        elif isinstance(message, Cancel):
            self.cancels.append(message.call)
        elif isinstance(message, Call):
            self.calls.append(message)
            self._on_call(self, lines, message)


def cut_line(lines: LineProtocol[PeerMessage], reply: Reply) -> None:
    """Send the first half of a line, then close."""
    encoded = encode_line(reply)
    lines.send_encoded(encoded[: len(encoded) // 2])
    lines.close()

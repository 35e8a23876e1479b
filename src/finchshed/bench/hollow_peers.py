"""Peers for measurements of one daemon: many links, answered in this process.

Each peer has an address of its own, as each endpoint has, and answers a call at once or after a
delay. What they cost falls on this process and not on the daemon that is measured.
"""

import asyncio

from finchshed.admission.load_report import LoadReport
from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Endpoint
from finchshed.link.digests import digest_of
from finchshed.link.lines import LineProtocol
from finchshed.link.messages import (
    Call,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    Reply,
)

REVISION = 1


class HollowPeers:
    """Daemons beside back ends, as far as a caller's daemon sees them.

    Parameters
    ----------
    count
        Number of endpoints.
    service, region, zone
        What they belong to.
    """

    def __init__(self, count: int, service: str, region: str, zone: str) -> None:
        self._count = count
        self._service = service
        self._region = region
        self._zone = zone
        self._servers: list[asyncio.Server] = []
        self._open: set[LineProtocol[PeerMessage]] = set()
        self.endpoints: tuple[Endpoint, ...] = ()
        self.delay_seconds = 0.0
        self.body = b"x" * 100

    @property
    def links(self) -> int:
        """Links open."""
        return len(self._open)

    def traffic(self) -> int:
        """Return the bytes exchanged on the links that are open, in both directions."""
        return sum(lines.bytes_sent + lines.bytes_received for lines in self._open)

    async def start(self) -> None:
        """Listen for each peer."""
        endpoints = []
        for number in range(1, self._count + 1):
            address = await self._listen(f"peer-{number}")
            endpoints.append(
                Endpoint(
                    name=f"peer-{number}",
                    service=self._service,
                    region=self._region,
                    zone=self._zone,
                    address=address,
                    slots=10_000,
                )
            )
        self.endpoints = tuple(endpoints)

    def stop(self) -> None:
        """Close the listeners and the links."""
        for server in self._servers:
            server.close()
        for lines in list(self._open):
            lines.abort()

    async def _listen(self, name: str) -> str:
        loop = asyncio.get_running_loop()

        def make_protocol() -> LineProtocol[PeerMessage]:
            return LineProtocol(
                PeerMessage,
                lambda lines, message: self._on_message(name, lines, message),
                self._open.add,
                lambda lines, _error: self._open.discard(lines),
            )

        server = await loop.create_server(make_protocol, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def _on_message(
        self, name: str, lines: LineProtocol[PeerMessage], message: PeerMessage
    ) -> None:
        if isinstance(message, Hello):
            lines.send(Hello(name, "1", message.epoch, self._service, self._zone, REVISION))
        elif isinstance(message, Ping):
            lines.send(Pong(message.epoch, LoadReport(), REVISION))
        elif isinstance(message, Call):
            self._answer(lines, message)

    def _answer(self, lines: LineProtocol[PeerMessage], call: Call) -> None:
        reply = Reply(
            epoch=call.epoch,
            call=call.call,
            outcome=Answered(200, (), self.body),
            spare_attempts=0,
            load=LoadReport(),
            digest=digest_of(self.body),
            revision=REVISION,
        )
        if self.delay_seconds:
            asyncio.get_running_loop().call_later(self.delay_seconds, lines.send, reply)
        else:
            lines.send(reply)

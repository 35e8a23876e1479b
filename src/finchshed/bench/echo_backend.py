"""A back end for measurements: it answers at once with a body of fixed size.

The request is parsed by httptools; nothing else is done, so that the time of a call through the
daemons isn't hidden behind the time of its back end. Run as a process of its own:
``python -m finchshed.bench.echo_backend PORT BODY_BYTES``.
"""

import asyncio
import sys
from typing import cast

import httptools
import uvloop


class EchoConnection(asyncio.Protocol):
    """One connection; each whole request gets the answer at once."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport (asyncio callback)."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Parse what came in (asyncio callback)."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Answer (parser callback)."""
        if self._transport is not None:
            self._transport.write(self._answer)


def answer_of(body_bytes: int) -> bytes:
    """Return a whole HTTP answer with a body of ``body_bytes`` bytes."""
    head = f"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {body_bytes}\r\n\r\n"
    return head.encode() + b"x" * body_bytes


async def serve(port: int, body_bytes: int) -> None:
    """Answer requests until the process is ended."""
    answer = answer_of(body_bytes)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: EchoConnection(answer), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))

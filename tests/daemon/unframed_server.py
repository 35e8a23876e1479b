"""Server process of ``test_cut_answers``: answers every request with a body without a length.

Run as ``python -m tests.daemon.unframed_server BODY_BYTES WRITE_SECONDS GRACE_SECONDS``. It prints
its port, and ``sent`` once the kernel has all of an answer. On SIGTERM it closes its connections
and ends, as a daemon does, once they are closed or at the end of its grace time.
"""

import asyncio
import signal
import socket
import sys

import uvloop

from finchshed.http.connection import InboundConnection
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import InboundRequest, Response
from finchshed.http.simple import SimpleServer

SEND_BUFFER_BYTES = 16_384
"""Small, so that an answer of a megabyte doesn't fit into the buffers of the kernel."""

SWEEP_SECONDS = 0.02
MAX_SECONDS = 30.0
"""The process ends by itself after this time."""


class ReportingServer(SimpleServer):
    """Prints ``sent`` when it has closed a connection, and the kernel has all of its answer."""

    def closed(self, connection: InboundConnection[bool]) -> None:
        """Unregister a connection."""
        super().closed(connection)
        print("sent", flush=True)


def body_of(size: int) -> bytes:
    """Return a body whose parts all differ."""
    lines = (b"line %09d\n" % number for number in range(size // 15 + 1))
    return b"".join(lines)[:size]


async def main(size: int, write_seconds: float, grace_seconds: float) -> None:
    """Serve until a signal."""
    body = body_of(size)

    def answer(request: InboundRequest) -> Response:
        status = 204 if request.target == "/empty" else 200
        return Response(status, (("x-part", "one"),), body, has_length=False)

    server = ReportingServer(answer, 1_000, 10)
    server.limits = ConnectionLimits(write_seconds=write_seconds)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    await asyncio.get_running_loop().create_server(server.make_protocol, sock=listener)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    print(listener.getsockname()[1], flush=True)
    async with asyncio.timeout(MAX_SECONDS):
        while not stopping.is_set():
            await asyncio.sleep(SWEEP_SECONDS)
            server.sweep()
    server.close()
    end = asyncio.get_running_loop().time() + grace_seconds
    while server.connections and asyncio.get_running_loop().time() < end:  # noqa: ASYNC110
        await asyncio.sleep(SWEEP_SECONDS)


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])))

"""A back end in a thread, and a client whose event loop is held up until the back end is done.

The loop then finds the answer's bytes and the end of the connection in one wake-up.
"""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import TypeAlias

import uvloop

from finchshed.daemon.backend.client import BackendRequest, BackendResult
from finchshed.daemon.backend.http_client import HttpBackend

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TIMEOUT_SECONDS = 10.0
ARRIVAL_SECONDS = 0.01
"""Time that bytes and the end of a connection take on the loopback interface."""

MAX_ANSWER_BYTES = 10_000
FIRST_ANSWER = b"HTTP/1.1 200 OK\r\nfinchshed-request: r0\r\ncontent-length: 2\r\n\r\nok"

End: TypeAlias = Callable[[socket.socket], None]
NewLoop: TypeAlias = Callable[[], asyncio.AbstractEventLoop]

LOOPS: dict[str, NewLoop] = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}


def close(connection: socket.socket) -> None:
    """End in good order, with all that the client sent read."""
    connection.settimeout(0.05)
    try:
        while connection.recv(1 << 20):
            pass
    except OSError:
        pass
    connection.close()


def half_close(connection: socket.socket) -> None:
    """End in good order; the connection stays open for what the client sends."""
    connection.shutdown(socket.SHUT_WR)


def reset(connection: socket.socket) -> None:
    """Reset the connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def half_close_and_reset(connection: socket.socket) -> None:
    """Reset the connection after its orderly end."""
    connection.shutdown(socket.SHUT_WR)
    time.sleep(ARRIVAL_SECONDS)
    reset(connection)


class ThreadedBackend:
    """Answers a first request whole, and the second with ``answer`` and ``end``."""

    def __init__(self, answer: bytes, end: End) -> None:
        self._answer = answer
        self._end = end
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.has_ended = threading.Event()
        self.kept: list[socket.socket] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Address of the back end."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def stop(self) -> None:
        """Close the sockets."""
        self._thread.join(TIMEOUT_SECONDS)
        for connection in (self._listener, *self.kept):
            connection.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        self.kept.append(connection)
        connection.recv(65_536)
        connection.sendall(FIRST_ANSWER)
        connection.recv(65_536)
        connection.sendall(self._answer)
        time.sleep(ARRIVAL_SECONDS)
        self._end(connection)
        self.has_ended.set()


async def _result_of(client: HttpBackend, request: BackendRequest) -> BackendResult:
    ended: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
    client.send(request, ended.set_result)
    return await asyncio.wait_for(ended, TIMEOUT_SECONDS)


async def _ask(backend: ThreadedBackend, body: bytes, *, is_held_up: bool) -> BackendResult:
    client = HttpBackend(backend.address, 4, 1.0)
    first = BackendRequest("GET", "/", (), b"", 5.0, MAX_ANSWER_BYTES, request_id="r0")
    await _result_of(client, first)
    request = BackendRequest("POST", "/", (), body, 5.0, MAX_ANSWER_BYTES, request_id="r1")
    asking = asyncio.ensure_future(_result_of(client, request))
    await asyncio.sleep(0)
    if is_held_up:
        assert backend.has_ended.wait(TIMEOUT_SECONDS)
        time.sleep(ARRIVAL_SECONDS)  # noqa: ASYNC251 - the loop is held up
    result = await asking
    await client.close()
    return result


def result_of(
    answer: bytes, end: End, body: bytes, *, new_loop: NewLoop, is_held_up: bool
) -> BackendResult:
    """Return the result of a request whose answer is ``answer`` and ends by ``end``."""
    backend = ThreadedBackend(answer, end)
    loop = new_loop()
    try:
        return loop.run_until_complete(_ask(backend, body, is_held_up=is_held_up))
    finally:
        loop.close()
        backend.stop()

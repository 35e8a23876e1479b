"""The fake back end behaves like a process that ends when it is stopped."""

import asyncio
import socket

import pytest

from tests.daemon.scripted_backend import ScriptedBackend, echo, healthy

LOOP_TURNS = range(8)
ANSWER_SECONDS = 1.0


async def _received_after(connection: socket.socket) -> bytes:
    """Send a request; return what comes back, empty if the connection was closed or reset."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            await loop.sock_sendall(connection, b"GET /a HTTP/1.1\r\n\r\n")
            return await loop.sock_recv(connection, 1)
    except ConnectionError:
        return b""


@pytest.mark.parametrize("turns", LOOP_TURNS)
async def test_connection_accepted_during_a_stop_is_aborted(turns: int) -> None:
    # Guards against a stopped back end that serves on: a daemon's health check got in, and
    # test_a_backend_that_is_gone_means_not_run saw a 200 over its connection.
    async with ScriptedBackend(echo, healthy) as backend:
        host, port = backend.address.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.setblocking(False)
            for _ in range(turns):
                await asyncio.sleep(0)
            await backend.stop()
            assert await _received_after(connection) == b""
    assert not backend.received


async def test_port_stays_reserved_after_a_stop() -> None:
    # Guards against another test's back end that is given the port and answers in its place.
    async with ScriptedBackend(echo, healthy) as backend:
        host, port = backend.address.split(":")
        await backend.stop()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))

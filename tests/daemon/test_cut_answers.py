"""Guards against an answer without a length that the daemon cuts off and that looks whole.

Such an answer has no other end mark than the end of its connection, and the kernel ends the
connections of a killed process in good order.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.daemon.unframed_server import body_of

ROOT = Path(__file__).parents[2]
LARGE_BYTES = 1_000_000
"""More than the kernel's buffers of both sides hold."""

SMALL_BYTES = 4_000
"""Less than they hold."""

RECEIVE_BUFFER_BYTES = 8_192
NEVER_SECONDS = 1_000.0
TIMEOUT_SECONDS = 20.0


@dataclass
class Ending:
    """How an answer ended at its client."""

    body: bytes
    is_orderly: bool


class Client:
    """A client with a small receive buffer, which reads when the test says so."""

    def __init__(self, port: int, request: bytes) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.settimeout(TIMEOUT_SECONDS)
        self._socket.connect(("127.0.0.1", port))
        self._socket.sendall(request)
        self._received = b""

    def read(self, size: int) -> None:
        """Read until ``size`` bytes have come."""
        while len(self._received) < size:
            data = self._socket.recv(size - len(self._received))
            assert data
            self._received += data

    def read_to_end(self) -> Ending:
        """Read until the connection ends."""
        is_orderly = True
        try:
            while data := self._socket.recv(65_536):
                self._received += data
        except ConnectionResetError:
            is_orderly = False
        self._socket.close()
        head, _, body = self._received.partition(b"\r\n\r\n")
        assert b"content-length" not in head
        return Ending(body, is_orderly)


@dataclass
class Server:
    """The server process."""

    process: subprocess.Popen[str]
    port: int

    def ask(self, request: bytes = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n") -> Client:
        """Send a request."""
        return Client(self.port, request)

    def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal and wait for the end of the process."""
        self.process.send_signal(number)
        self.process.wait(TIMEOUT_SECONDS)

    def wait_until_sent(self) -> None:
        """Return once the kernel has all of an answer."""
        assert self.process.stdout is not None
        assert self.process.stdout.readline() == "sent\n"


@contextmanager
def server(
    body_bytes: int, write_seconds: float = NEVER_SECONDS, grace_seconds: float = 0.1
) -> Iterator[Server]:
    """Start the server process and end it afterwards."""
    command = [sys.executable, "-m", "tests.daemon.unframed_server"]
    process = subprocess.Popen(
        [*command, str(body_bytes), str(write_seconds), str(grace_seconds)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        yield Server(process, int(process.stdout.readline()))
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def assert_visibly_cut(ending: Ending) -> None:
    assert len(ending.body) < LARGE_BYTES
    assert not ending.is_orderly


@pytest.mark.parametrize("read_bytes", [1, 500_000, 900_000])
def test_an_answer_cut_by_a_kill_does_not_look_whole(read_bytes: int) -> None:
    with server(LARGE_BYTES) as running:
        client = running.ask()
        client.read(read_bytes)
        running.end()
        assert_visibly_cut(client.read_to_end())


def test_an_answer_cut_by_the_end_of_the_grace_time_does_not_look_whole() -> None:
    with server(LARGE_BYTES) as running:
        client = running.ask()
        client.read(100_000)
        running.end(signal.SIGTERM)
        assert_visibly_cut(client.read_to_end())


def test_an_answer_read_within_the_grace_time_is_whole() -> None:
    with server(LARGE_BYTES, grace_seconds=TIMEOUT_SECONDS) as running:
        client = running.ask()
        client.read(100_000)
        running.process.send_signal(signal.SIGTERM)
        client.read(200_000)
        time.sleep(0.1)
        assert client.read_to_end() == Ending(body_of(LARGE_BYTES), is_orderly=True)
        assert running.process.wait(TIMEOUT_SECONDS) == 0


def test_an_answer_cut_because_its_client_is_slow_does_not_look_whole() -> None:
    with server(LARGE_BYTES, write_seconds=0.1) as running:
        client = running.ask()
        client.read(100_000)
        time.sleep(0.5)
        assert_visibly_cut(client.read_to_end())


def test_an_answer_that_the_kernel_has_arrives_whole_although_the_process_is_killed() -> None:
    with server(SMALL_BYTES) as running:
        client = running.ask()
        running.wait_until_sent()
        running.end()
        assert client.read_to_end() == Ending(body_of(SMALL_BYTES), is_orderly=True)


def test_the_last_bytes_in_the_buffer_of_the_kernel_arrive_although_the_process_is_killed() -> None:
    with server(LARGE_BYTES) as running:
        client = running.ask()
        client.read(LARGE_BYTES)
        running.wait_until_sent()
        running.end()
        assert client.read_to_end() == Ending(body_of(LARGE_BYTES), is_orderly=True)


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET / HTTP/1.0\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\nGET /next HTTP/1.1\r\nhost: a\r\n\r\n",
    ],
)
def test_a_slow_client_gets_the_whole_answer_and_an_orderly_end(request_bytes: bytes) -> None:
    with server(LARGE_BYTES) as running:
        client = running.ask(request_bytes)
        for size in range(100_000, LARGE_BYTES, 100_000):
            client.read(size)
            time.sleep(0.01)
        assert client.read_to_end() == Ending(body_of(LARGE_BYTES), is_orderly=True)


@pytest.mark.parametrize("target", [b"HEAD /", b"GET /empty"])
def test_an_answer_without_a_body_ends_in_order(target: bytes) -> None:
    with server(LARGE_BYTES) as running:
        client = running.ask(target + b" HTTP/1.1\r\nhost: a\r\n\r\n")
        assert client.read_to_end() == Ending(b"", is_orderly=True)

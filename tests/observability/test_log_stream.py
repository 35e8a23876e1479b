"""The log stream: bounded, never waited for, and honest about what it left out."""

import asyncio
import json
import os
import subprocess
import sys
import time

import pytest

from finchshed.observability import log_stream
from finchshed.observability.decisions import StateChanged
from finchshed.observability.log_stream import LogStream


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Reader:
    """Takes up to ``room`` bytes at a time."""

    def __init__(self, room: int = 1 << 20) -> None:
        self.room = room
        self.taken = b""

    def __call__(self, data: bytes) -> int:
        if not self.room:
            raise BlockingIOError
        part = data[: self.room]
        self.taken += part
        return len(part)

    def records(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.taken.splitlines()]


def line(number: int) -> StateChanged:
    return StateChanged(float(number), "info", "tests", f"line {number:06d}")


SIZE = len(json.dumps({"event": "state"})) + 70


def test_lines_come_out_whole_and_in_order() -> None:
    reader = Reader(room=37)
    stream = LogStream(reader, Clock())
    for number in range(10):
        assert stream.offer(line(number))
    for _ in range(100):
        stream.flush()
    assert [record["time"] for record in reader.records()] == [float(n) for n in range(10)]


def test_the_volume_is_bounded_and_failures_come_first() -> None:
    clock, reader = Clock(), Reader()
    stream = LogStream(reader, clock, bytes_per_second=1000, burst_bytes=4000)
    taken = sum(stream.offer(line(number)) for number in range(200))
    assert 0 < taken < 30
    failures = sum(stream.offer(line(number), is_failure=True) for number in range(200))
    assert failures > 0
    stream.flush()
    assert len(reader.taken) < 4000 + 2 * SIZE
    assert reader.records()[-1] == {
        "event": "lines_left_out",
        "time": pytest.approx(time.time(), abs=60),
        "lines": 400 - taken - failures,
    }
    clock.now = 4.0
    assert stream.offer(line(1))


def test_a_reader_that_stops_reading_costs_lines_and_nothing_else() -> None:
    reader = Reader(room=0)
    stream = LogStream(reader, Clock(), burst_bytes=1 << 30, buffer_bytes=5000)
    began = time.monotonic()
    for number in range(20_000):
        stream.offer(line(number))
        stream.flush()
    assert time.monotonic() - began < 5.0
    assert stream.dropped > 19_000
    reader.room = 1 << 20
    stream.flush()
    stream.flush()
    left_out = [item for item in reader.records() if item["event"] == "lines_left_out"]
    assert len(left_out) == 1
    assert len(reader.records()) - 1 + int(str(left_out[0]["lines"])) == 20_000


def test_a_full_pipe_holds_no_process_up() -> None:
    program = (
        "from finchshed.observability import log_stream\n"
        "from finchshed.observability.decisions import StateChanged\n"
        "import sys\n"
        "stream = log_stream.open_standard_output()\n"
        "for number in range(3000):\n"
        "    log_stream.emit(StateChanged(0.0, 'info', 'm', 'x' * 200), is_failure=True)\n"
        "    stream.flush()\n"
        "sys.stderr.write('done')\n"
        "import os; os._exit(0)\n"
    )
    with subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as child:
        assert child.stderr is not None
        assert child.stderr.read(4) == b"done"
        assert child.wait(20) == 0


def test_every_hop_samples_the_same_requests() -> None:
    sampled = [root for root in map(str, range(20_000)) if log_stream.is_sampled(root)]
    assert 0.5 < len(sampled) * log_stream.SAMPLING_INTERVAL / 20_000 < 1.5
    assert sampled == [root for root in sampled if log_stream.is_sampled(root)]


def test_without_a_stream_nothing_is_written() -> None:
    assert not log_stream.is_enabled()
    log_stream.emit(line(1))
    assert os.get_blocking(sys.__stdout__.fileno()) in {True, False}


async def test_lines_are_flushed_soon_and_no_timer_runs_without_any() -> None:
    loop = asyncio.get_running_loop()
    written: list[bytes] = []

    def take(data: bytes) -> int:
        written.append(data)
        return len(data)

    stream = LogStream(take)
    log_stream.schedule_flushes(loop, stream)
    await asyncio.sleep(3 * log_stream.FLUSH_SECONDS)
    assert written == []
    stream.offer(line(1))
    await loop.run_in_executor(None, stream.offer, line(2))
    await asyncio.sleep(2 * log_stream.FLUSH_SECONDS)
    assert b"".join(written).count(b"\n") == 2
    await loop.run_in_executor(None, stream.offer, line(2))
    await asyncio.sleep(2 * log_stream.FLUSH_SECONDS)
    assert b"".join(written).count(b"\n") == 3
    assert not stream.is_waiting

"""The log stream is bounded, never blocks the process and reports dropped lines."""

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
    """Accepts up to ``capacity`` bytes per write."""

    def __init__(self, capacity: int = 1 << 20) -> None:
        self.capacity = capacity
        self.written = b""

    def __call__(self, data: bytes) -> int:
        if not self.capacity:
            raise BlockingIOError
        part = data[: self.capacity]
        self.written += part
        return len(part)

    def records(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.written.splitlines()]


def state_change(number: int) -> StateChanged:
    return StateChanged(float(number), "info", "tests", f"line {number:06d}")


LINE_SIZE = len(json.dumps({"event": "state"})) + 70


def test_lines_are_written_whole_and_in_order() -> None:
    reader = Reader(capacity=37)
    stream = LogStream(reader, Clock())
    for number in range(10):
        assert stream.offer(state_change(number))
    for _ in range(100):
        stream.flush()
    assert [record["time"] for record in reader.records()] == [float(n) for n in range(10)]


def test_the_rate_is_limited_and_failures_have_a_reserve() -> None:
    clock, reader = Clock(), Reader()
    stream = LogStream(reader, clock, bytes_per_second=1000, burst_bytes=4000)
    accepted = sum(stream.offer(state_change(number)) for number in range(200))
    assert 0 < accepted < 30
    failures = sum(stream.offer(state_change(number), is_failure=True) for number in range(200))
    assert failures > 0
    stream.flush()
    assert len(reader.written) < 4000 + 2 * LINE_SIZE
    assert reader.records()[-1] == {
        "event": "lines_left_out",
        "time": pytest.approx(time.time(), abs=60),
        "lines": 400 - accepted - failures,
    }
    clock.now = 4.0
    assert stream.offer(state_change(1))


def test_a_stalled_reader_only_causes_dropped_lines() -> None:
    reader = Reader(capacity=0)
    stream = LogStream(reader, Clock(), burst_bytes=1 << 30, buffer_bytes=5000)
    began = time.monotonic()
    for number in range(20_000):
        stream.offer(state_change(number))
        stream.flush()
    assert time.monotonic() - began < 5.0
    assert stream.dropped > 19_000
    reader.capacity = 1 << 20
    stream.flush()
    stream.flush()
    reports = [item for item in reader.records() if item["event"] == "lines_left_out"]
    assert len(reports) == 1
    assert len(reader.records()) - 1 + int(str(reports[0]["lines"])) == 20_000


def test_a_full_pipe_does_not_block_the_process() -> None:
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
    log_stream.emit(state_change(1))
    assert os.get_blocking(sys.__stdout__.fileno()) in {True, False}


async def test_lines_are_flushed_after_the_interval_also_from_other_threads() -> None:
    loop = asyncio.get_running_loop()
    written: list[bytes] = []

    def write(data: bytes) -> int:
        written.append(data)
        return len(data)

    stream = LogStream(write)
    log_stream.schedule_flushes(loop, stream)
    await asyncio.sleep(3 * log_stream.FLUSH_SECONDS)
    assert written == []
    stream.offer(state_change(1))
    await loop.run_in_executor(None, stream.offer, state_change(2))
    await asyncio.sleep(2 * log_stream.FLUSH_SECONDS)
    assert b"".join(written).count(b"\n") == 2
    await loop.run_in_executor(None, stream.offer, state_change(2))
    await asyncio.sleep(2 * log_stream.FLUSH_SECONDS)
    assert b"".join(written).count(b"\n") == 3
    assert not stream.is_waiting

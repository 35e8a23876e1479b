"""Under injected faults, reported outcomes agree with what the back ends actually ran."""

import asyncio
import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import pytest

from tests.daemon.deployment import Deployment, deployment, make_key
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_backend import Received, answer

REQUESTS = 400
CLIENTS = 12
RESENDS = 3


@dataclass
class Record:
    """What the back ends ran, and what was reported to clients."""

    rng: random.Random
    runs: Counter[str] = field(default_factory=Counter)
    answers: dict[str, set[bytes]] = field(default_factory=dict)
    reported_not_run: set[str] = field(default_factory=set)
    outcomes: Counter[str] = field(default_factory=Counter)

    async def backend(self, received: Received, writer: asyncio.StreamWriter) -> None:
        """Refuse, abort, truncate, delay or complete a request at random."""
        act = self.rng.random()
        if act < 0.1:
            writer.write(answer(b"busy", 503, finchshed_ran="no"))
            return
        self.runs[received.path] += 1
        if act < 0.2:
            writer.transport.abort()
            return
        whole = answer(f"{received.path} run {self.runs[received.path]}".encode())
        if act < 0.3:
            writer.write(whole[:-3])
            writer.close()
            return
        await asyncio.sleep(1.0 if act < 0.4 else self.rng.random() * 0.02)
        writer.write(whole)

    def on_response(self, path: str, status: int, ran: str, reason: str, body: bytes) -> None:
        """Record the response to a client."""
        if not ran:
            assert status == 200
            assert body.startswith(path.encode() + b" run ")
            self.answers.setdefault(path, set()).add(body)
        elif ran == "no":
            self.reported_not_run.add(path)
        self.outcomes[f"ran {ran or 'yes'} {reason}"] += 1


async def send(
    record: Record,
    session: aiohttp.ClientSession,
    edge: DaemonProcess,
    path: str,
    headers: dict[str, str],
) -> str:
    """Send a request, some with a short timeout; return its ``ran`` header, or ``left``."""
    method = "POST" if path.startswith("/buy") else "GET"
    patience = 0.003 if record.rng.random() < 0.1 else 5.0
    timeout = aiohttp.ClientTimeout(total=patience)
    url = f"http://{edge.http_address}{path}"
    try:
        async with session.request(method, url, headers=headers, timeout=timeout) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return "left"
    ran = response.headers.get("finchshed-ran", "")
    record.on_response(
        path, response.status, ran, response.headers.get("finchshed-reason", ""), body
    )
    return ran


async def client(record: Record, number: int, edges: list[DaemonProcess]) -> None:
    """Send requests sequentially, resending non-repeatable ones."""
    async with aiohttp.ClientSession() as session:
        for count in range(REQUESTS // CLIENTS):
            is_bought = record.rng.random() < 0.5
            path = f"/{'buy' if is_bought else 'look'}/{number}-{count}"
            headers = {"finchshed-service": "licence"}
            headers["finchshed-deadline-ms"] = str(record.rng.choice([0, 5, 30, 150, 400]))
            if is_bought:
                headers["idempotency-key"] = make_key()
            for resend in range(RESENDS if is_bought else 1):
                # Repeatable requests are sent once: a resend could run after "did not run".
                await send(record, session, edges[(number + resend) % 2], path, headers)


async def break_daemons(record: Record, system: Deployment) -> None:
    """Periodically kill or suspend a daemon."""
    while True:
        await asyncio.sleep(0.4)
        daemon = record.rng.choice(system.daemons)
        if record.rng.random() < 0.5:
            daemon.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(record.rng.choice([0.1, 1.3]))
            finally:
                daemon.signal(signal.SIGCONT)
        else:
            daemon.signal(signal.SIGKILL)
            await daemon.stopped()
            await daemon.start()


@pytest.mark.parametrize("seed", [1, 2])
async def test_every_refusal_is_true_and_nothing_unrepeatable_runs_twice(seed: int) -> None:
    record = Record(random.Random(seed))
    flags = {"grant-lease-seconds": "0.5", "ledger-timeout-seconds": "0.5"}
    async with deployment(*[record.backend] * 3, flags=flags) as system:
        system.control.grant_delay = 0.002
        other = DaemonProcess("edge-2", system.control.address, flags=flags)
        async with other:
            breaking = asyncio.ensure_future(break_daemons(record, system))
            await asyncio.gather(
                *(client(record, number, [system.edge, other]) for number in range(CLIENTS))
            )
            breaking.cancel()
            await asyncio.gather(breaking, return_exceptions=True)
            # Wait for requests in flight, which must not run late.
            await asyncio.sleep(1.0)
    looks_refused = {path for path in record.reported_not_run if path.startswith("/look")}
    assert [path for path in looks_refused if record.runs[path]] == []
    bought = [path for path in record.runs if path.startswith("/buy")]
    assert [path for path in bought if record.runs[path] > 1] == []
    assert [path for path, bodies in record.answers.items() if len(bodies) > 1] == []
    # Every kind of outcome must have occurred.
    kinds = {outcome.split()[1] for outcome in record.outcomes}
    assert kinds == {"yes", "no", "unknown"}
    assert {"ran unknown outcome_unknown", "ran no deadline"} <= set(record.outcomes)


async def test_a_key_told_not_to_have_run_may_run_later_and_does_so_once() -> None:
    runs: list[str] = []
    refuse = True

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if refuse:
            writer.write(answer(b"busy", 503, finchshed_ran="no"))
            return
        runs.append(received.path)
        writer.write(answer(b"sold"))

    async with deployment(handler) as system:
        key = make_key()
        first = await system.buy(key)
        refuse = False
        responses = [await system.buy(key) for _ in range(4)]
    assert (first.ran, first.reason) == ("no", "backend_refused")
    assert {response.body for response in responses if response.status == 200} == {b"sold"}
    assert len(runs) == 1

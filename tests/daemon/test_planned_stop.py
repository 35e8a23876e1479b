"""Planned stops and restarts of real daemon processes under load fail no request."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from tests.daemon.deployment import Deployment, deployment, eventually, make_key
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_backend import Received, answer

CLIENTS = 6


async def work(received: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.01)
    writer.write(answer(received.path.encode()))


@dataclass
class Load:
    """Clients that send requests sequentially until ``is_over`` is set."""

    system: Deployment
    outcomes: Counter[tuple[int, str]] = field(default_factory=Counter)
    non_repeatable_sent: int = 0
    is_over: bool = False

    async def run(self, number: int, fresh: bool) -> None:
        """Send requests, each on a new connection if ``fresh``."""
        connector = aiohttp.TCPConnector(force_close=fresh)
        async with aiohttp.ClientSession(connector=connector) as session:
            count = 0
            while not self.is_over:
                count += 1
                await self._send(session, f"c{number}-{count}", is_non_repeatable=count % 5 == 0)

    async def _send(
        self, session: aiohttp.ClientSession, name: str, *, is_non_repeatable: bool
    ) -> None:
        path = f"/buy/{name}" if is_non_repeatable else f"/look/{name}"
        headers = {"finchshed-service": "licence"}
        if is_non_repeatable:
            headers["idempotency-key"] = make_key()
        url = f"http://{self.system.edge.http_address}{path}"
        method = "POST" if is_non_repeatable else "GET"
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
                reason = response.headers.get("finchshed-reason", "")
                if body != path.encode():
                    reason = reason or "another answer"
                self.outcomes[response.status, reason] += 1
        except aiohttp.ClientError as error:
            self.outcomes[0, repr(error)] += 1
        self.non_repeatable_sent += is_non_repeatable

    def run_more_than_once(self) -> list[str]:
        """Return the paths of non-repeatable requests that ran more than once."""
        runs = Counter(
            received.path
            for backend in self.system.backends
            for received in backend.received
            if received.path.startswith("/buy")
        )
        return [path for path, count in runs.items() if count > 1]

    async def past(self, answers: int) -> None:
        """Wait for ``answers`` more answers."""
        wanted = self.outcomes.total() + answers
        await eventually(lambda: self.outcomes.total() >= wanted, seconds=20.0)


async def test_a_rolling_restart_of_the_daemons_fails_no_request() -> None:
    async with deployment(work, work, work) as system:
        load = Load(system)
        clients = [asyncio.ensure_future(load.run(n, n % 2 == 0)) for n in range(CLIENTS)]
        for daemon in system.daemons:
            await load.past(60)
            daemon.signal(signal.SIGTERM)
            await load.past(20)
            assert await daemon.stopped() == 0
            await load.past(20)
            await daemon.start()
        await load.past(60)
        load.is_over = True
        await asyncio.gather(*clients)
        assert load.run_more_than_once() == []
    assert set(load.outcomes) == {(200, "")}
    assert load.non_repeatable_sent > 20


async def test_an_edge_hands_its_address_to_its_successor_without_a_failed_request() -> None:
    async with deployment(work, work) as system:
        load = Load(system)
        clients = [asyncio.ensure_future(load.run(n, n % 2 == 0)) for n in range(CLIENTS)]
        edges = [system.edge]
        for number in range(3):
            await load.past(40)
            successor = DaemonProcess(
                node=f"edge-{number}",
                control_address=system.control.address,
                http_address=system.edge.http_address,
                link_address=system.edge.link_address,
            )
            await successor.start()
            edges[-1].signal(signal.SIGTERM)
            assert await edges[-1].stopped() == 0
            edges.append(successor)
        await load.past(40)
        load.is_over = True
        await asyncio.gather(*clients)
        await edges[-1].__aexit__()
        assert load.run_more_than_once() == []
    assert set(load.outcomes) == {(200, "")}


async def test_a_stopping_edge_finishes_what_it_has_and_what_comes_meanwhile() -> None:
    release = asyncio.Event()

    async def held(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/held":
            await release.wait()
        writer.write(answer(received.path.encode()))

    async with deployment(held) as system:
        first = asyncio.ensure_future(system.ask("/held"))
        await eventually(lambda: system.runs("/held"))
        reader, writer = await asyncio.open_connection(*system.edge.http_address.split(":"))
        system.edge.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        writer.write(b"GET /late HTTP/1.1\r\nHost: x\r\nfinchshed-service: licence\r\n\r\n")
        late = await reader.read()
        assert not first.done()
        release.set()
        response = await first
        assert await system.edge.stopped() == 0
        writer.close()
    assert (response.status, response.body) == (200, b"/held")
    assert late.startswith(b"HTTP/1.1 200 ")
    assert late.endswith(b"connection: close\r\n\r\n/late")


async def test_a_stopping_daemon_finishes_the_calls_of_its_backend() -> None:
    async def outer(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/inner":
            writer.write(answer(b"inner"))
            return
        daemon = system.daemons[0]
        daemon.signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        headers = {"finchshed-account": received.headers["finchshed-account"]}
        headers["finchshed-service"] = "licence"
        url = f"http://{daemon.http_address}/inner"
        async with system.session.get(url, headers=headers) as response:
            writer.write(answer(str(response.status).encode() + b" " + await response.read()))

    async def plain(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"inner"))

    async with deployment(outer) as system:
        # Opens the connection before the stop, since new ones are refused afterwards.
        url = f"http://{system.daemons[0].http_address}/none"
        async with system.session.get(url) as response:
            assert response.status == 404
        response = await system.ask("/outer")
        assert await system.daemons[0].stopped() == 0
    assert response.status == 200
    assert response.body.startswith((b"200 inner", b"503"))


async def test_a_drain_past_its_time_sends_sessions_to_other_endpoints() -> None:
    flags = {"drain-seconds": "0.6", "drain-notice-seconds": "0.3"}
    async with deployment(work, work, flags=flags) as system:
        assert (await system.ask("/session/a", finchshed_session="s1")).status == 200
        own = 0 if system.backends[0].received else 1
        system.daemons[own].signal(signal.SIGTERM)
        responses = []
        while system.daemons[own].process.returncode is None:  # type: ignore[union-attr]
            responses.append(await system.ask("/session/a", finchshed_session="s1"))
            await asyncio.sleep(0.02)
        responses.append(await system.ask("/session/a", finchshed_session="s1"))
        assert system.backends[1 - own].received
    assert {response.status for response in responses} == {200}

"""End-to-end tests with real processes on the fake platform."""

import asyncio
import json
import signal
import time
from pathlib import Path

from aiohttp import web

from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import (
    INTERNAL_PORTS,
    FakePlatform,
    document,
    route,
    run_platform,
    wait_until,
)

METRICS_PORT = INTERNAL_PORTS[-1]

RECOVERY_SECONDS = 4.0
"""Time for which a restarted machine still counts as failed."""

ROUTES = (
    route("/buy/", "sales", "unsafe", timeout_s=1),
    route("/look/", "sales"),
    route("/ledger/", "ledger"),
)


async def wait_until_serving(running: FakePlatform) -> None:
    """Apply a configuration and wait until each daemon knows and reaches every back end."""
    await running.put_until_accepted(document(3, 0, *ROUTES))
    services = {"sales": "/look/up", "ledger": "/ledger/up"}

    async def all_answer() -> bool:
        for number, daemon in enumerate(running.daemons):
            for backend in running.backends:
                if f"told of back end {backend.instance} of" not in daemon.log():
                    return False
                answer = await running.send_request(services[backend.service], daemon=number)
                if answer.status != 200:
                    return False
        return True

    await wait_until(all_answer)


async def test_requests_and_back_end_calls_are_served_through_any_daemon(
    tmp_path: Path,
) -> None:
    async def call_ledger(backend: FakeBackend, request: web.Request) -> web.Response:
        parent = request.headers["Request-Id"]
        status = await backend.call(parent, "sales.example", "/ledger/entry")
        return web.Response(body=f"called {status}".encode())

    async with run_platform(
        tmp_path, "sales", "ledger", handlers={"sales": call_ledger}
    ) as running:
        assert (await running.send_request("/look/early")).status in {0, 503}
        await wait_until_serving(running)
        sales, ledger = running.backends
        answer = await running.send_request("/buy/tag?n=1", method="POST", body=b"order", daemon=1)
        assert (answer.status, answer.body) == (200, b"called 200")
        assert answer.headers["server-seal"] == "seal-i-0"
        given = sales.headers[-1]
        assert given["host"] == "sales.example"
        assert given["caller-service"] == "ledger"
        assert given["expect-instance"] == "i-0"
        assert 0 < int(given["deadline-ms"]) <= 1000
        called = ledger.headers[-1]
        assert called["caller-service"] == "sales"
        assert called["request-id"].startswith(f"{given['request-id']}.")
        assert (await running.send_request("/nowhere")).status == 404
        assert (await running.send_request("/look/x", host="other.example")).status == 404


async def test_draining_back_end_gets_no_new_requests_once_acknowledged(
    tmp_path: Path,
) -> None:
    async with run_platform(tmp_path, "sales", "sales") as running:
        await wait_until_serving(running)
        leaving, staying = running.backends
        leaving.state = "draining"
        assert await leaving.send_heartbeat() == 200
        before = len(leaving.executed)
        for number in range(40):
            assert (await running.send_request(f"/look/{number}", daemon=number % 2)).status == 200
        assert len(leaving.executed) == before
        assert await staying.leave() == 200
        answer = await running.send_request("/look/last")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0


async def test_concurrent_configurations_are_decided_at_once(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        second, rival = document(7, 3, *ROUTES), document(8, 3, route("/look/", "sales"))
        statuses = await asyncio.gather(running.put(second, 0), running.put(rival, 1))
        assert sorted(statuses) == [200, 412]


async def test_accepted_configuration_survives_resends_and_a_full_restart(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        second, rival = document(7, 3, *ROUTES), document(8, 3, route("/look/", "sales"))
        statuses = await asyncio.gather(
            running.put_until_decided(second, 0), running.put_until_decided(rival, 1)
        )
        assert sorted(statuses) == [200, 412]
        winner = second if statuses[0] == 200 else rival
        assert [await running.put(winner, control) for control in range(3)] == [200] * 3
        assert await running.put(document(7, 7, route("/look/", "nobody"))) in {400, 412}
        assert await running.put(b'{"version": "r9", "base_ver') == 400
        for machine in running.controls:
            machine.stop()
        for machine in running.controls:
            machine.start(bootstrap=False)

        async def configuration_is_readable() -> bool:
            return (await running.read(1)).status == 200

        await wait_until(configuration_is_readable)
        assert (await running.read(1)).body.decode() == json.dumps(winner)
        assert await running.put(winner, 2) == 200


async def test_control_node_rejoins_after_losing_its_disk(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        running.controls[0].stop()
        running.controls[0].start(bootstrap=False, wipe=True)
        await running.put_until_accepted(document(9, 3, *ROUTES))

        async def node_has_rejoined() -> bool:
            return (await running.read(0)).status == 200

        await wait_until(node_has_rejoined)
        # Losing a second node earlier would exceed the tolerated failures.
        await asyncio.sleep(RECOVERY_SECONDS)
        running.controls[1].stop()
        await running.put_until_accepted(document(11, 9, *ROUTES))


async def test_stopped_daemon_finishes_its_requests_within_the_stop_time(
    tmp_path: Path,
) -> None:
    async def slow(backend: FakeBackend, request: web.Request) -> web.Response:
        await asyncio.sleep(1.0)
        return web.Response(body=b"whole")

    async with run_platform(tmp_path, "sales", "ledger", handlers={"sales": slow}) as running:
        await wait_until_serving(running)
        assert await running.is_ready(0)
        pending = [
            asyncio.create_task(running.send_request("/look/slow", daemon=0)) for _ in range(5)
        ]
        pending += [
            asyncio.create_task(running.send_request("/look/slow", daemon=1)) for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        running.daemons[0].signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert not await running.is_ready(0)
        late = await running.send_request("/ledger/late", daemon=0)
        assert late.status == 200
        answers = await asyncio.gather(*pending)
        assert {(answer.status, answer.body) for answer in answers} == {(200, b"whole")}
        assert await asyncio.to_thread(running.daemons[0].wait, 6.0) == 0


async def test_back_end_of_a_stopping_daemon_is_called_during_drain_notice(
    tmp_path: Path,
) -> None:
    async with run_platform(tmp_path, "sales", "ledger") as running:
        await wait_until_serving(running)
        running.daemons[0].signal(signal.SIGTERM)
        started = time.monotonic()
        last_answered = 0.0
        while running.daemons[0].process.poll() is None:
            answer = await running.send_request("/look/on", daemon=1)
            if answer.status == 200:
                last_answered = time.monotonic() - started
            else:
                assert answer.status == 503
            await asyncio.sleep(0.02)
        assert 1.0 < last_answered < 1.6
        assert time.monotonic() - started < 6.0


async def test_reload_signal_does_not_stop_a_process(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        for machine in [running.daemons[0], running.controls[0]]:
            machine.signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert (await running.send_request("/look/after")).status == 200
        assert (await running.read(0)).status == 200


async def test_changed_seeds_take_effect_without_a_restart(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        daemon = running.daemons[0]
        daemon.fields["seed_nodes"] = ["127.0.0.9:8306"]
        daemon.write_settings()
        daemon.signal(signal.SIGHUP)

        async def new_seed_is_logged() -> bool:
            return "127.0.0.9:7621" in daemon.log()

        await wait_until(new_seed_is_logged)
        daemon.settings.write_text("{")
        daemon.signal(signal.SIGHUP)

        async def reload_error_is_logged() -> bool:
            return "nothing changed" in daemon.log()

        await wait_until(reload_error_is_logged)
        assert (await running.send_request("/look/after")).status == 200


async def test_both_programs_serve_metrics(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales") as running:
        await wait_until_serving(running)
        for machine, name in (
            (running.daemons[0], "finchshed_admission_threshold"),
            (running.controls[0], "finchshed_control_peer_dropped"),
        ):
            async with running.session.get(
                f"http://{machine.ip}:{METRICS_PORT}/metrics"
            ) as response:
                assert response.status == 200
                assert name in await response.text()

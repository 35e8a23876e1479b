"""Tenant keys and rate limits, with real processes on the fake platform."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from aiohttp import web

from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import FakePlatform, document, route, run_platform, wait_until

REVOKE_SECONDS = 3.0
BOUNDS = {"revoke_s": REVOKE_SECONDS, "revoke_fail_closed": True, "quota_slack": 20}
KEYS = ("key-of-officers-1", "key-of-officers-2")
ROUTES = (
    route("/look/", "sales"),
    route("/open/", "sales", public=True),
    route("/ledger/", "ledger"),
)


def document_with_tenant(version: int, base: int, *keys: str, rate: float = 0.0) -> dict[str, Any]:
    """Return a configuration with the tenant ``officers`` and these keys."""
    tenant = {"name": "officers", "api_keys": list(keys), "rate_per_s": rate, "burst": rate}
    return {**document(version, base, *ROUTES), "tenants": [tenant]}


async def wait_until_serving(running: FakePlatform, written: dict[str, Any]) -> None:
    """Apply a configuration and wait until each daemon accepts the first key."""
    await running.put_until_accepted(written)
    await wait_until(lambda: all_answer(running, "/look/up"))


async def all_answer(running: FakePlatform, path: str) -> bool:
    """Return whether each daemon serves a path with the first key."""
    answers = [
        await running.send_request(path, daemon=number, key=KEYS[0])
        for number in range(len(running.daemons))
    ]
    return all(answer.status == 200 for answer in answers)


def all_output(running: FakePlatform) -> str:
    """Return the logs of all processes and the headers received by all back ends."""
    logs = "".join(machine.log() for machine in [*running.controls, *running.daemons])
    return logs + str([backend.headers for backend in running.backends])


async def test_key_selects_its_tenant_and_is_not_disclosed(tmp_path: Path) -> None:
    async def call_ledger(backend: FakeBackend, request: web.Request) -> web.Response:
        status = await backend.call(request.headers["Request-Id"], "sales.example", "/ledger/entry")
        return web.Response(body=f"called {status}".encode())

    handlers = {"sales": call_ledger}
    async with run_platform(
        tmp_path, "sales", "ledger", handlers=handlers, bounds=BOUNDS
    ) as running:
        await wait_until_serving(running, document_with_tenant(3, 0, *KEYS))
        await wait_until(lambda: all_answer(running, "/ledger/up"))
        answer = await running.send_request("/look/1", key=KEYS[1], daemon=1)
        assert (answer.status, answer.body) == (200, b"called 200")
        sales, ledger = running.backends
        assert sales.headers[-1]["tenant"] == "officers"
        assert "tenant" not in ledger.headers[-1]
        assert (await running.send_request("/look/2", key="key-unknown")).status == 401
        assert (await running.send_request("/look/3")).status == 401
        assert (await running.send_request("/open/4")).status == 200
        assert "tenant" not in sales.headers[-1]
        assert sorted(sales.executed).count("") == 0
        read = await running.read()
        assert KEYS[0].encode() in read.body

        async def unknown_key_is_logged() -> bool:
            return "api_key_unknown" in all_output(running)

        await wait_until(unknown_key_is_logged)
        output = all_output(running)
        for key in (*KEYS, "key-unknown"):
            assert key not in output


async def test_revoked_key_is_refused_and_new_key_is_accepted(tmp_path: Path) -> None:
    async with run_platform(tmp_path, "sales", "sales", bounds=BOUNDS) as running:
        await wait_until_serving(running, document_with_tenant(3, 0, KEYS[0]))
        assert (await running.send_request("/look/1", key=KEYS[1])).status == 401
        assert await running.put_until_decided(document_with_tenant(4, 3, KEYS[1]), 0) == 200
        await asyncio.sleep(1.0)
        for daemon in range(2):
            assert (await running.send_request("/look/2", key=KEYS[0], daemon=daemon)).status == 401
            assert (await running.send_request("/look/3", key=KEYS[1], daemon=daemon)).status == 200


async def test_without_control_keys_expire_and_public_routes_stay_available(
    tmp_path: Path,
) -> None:
    async with run_platform(tmp_path, "sales", bounds=BOUNDS) as running:
        await wait_until_serving(running, document_with_tenant(3, 0, *KEYS))
        for machine in running.controls:
            machine.stop()
        stopped = time.monotonic()
        while time.monotonic() < stopped + 0.6 * REVOKE_SECONDS:
            assert (await running.send_request("/look/1", key=KEYS[0])).status == 200
            await asyncio.sleep(0.1)
        await asyncio.sleep(stopped + REVOKE_SECONDS - time.monotonic())
        answer = await running.send_request("/look/2", key=KEYS[0])
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert (await running.send_request("/look/3", key="key-unknown")).status == 503
        assert (await running.send_request("/open/4")).status == 200
        for machine in running.controls:
            machine.start(bootstrap=False)

        async def is_trusted_again() -> bool:
            return (await running.send_request("/look/5", key=KEYS[0])).status == 200

        await wait_until(is_trusted_again)
        log = running.daemons[0].log()
        assert "API keys are not trusted" in log
        assert "API keys are trusted again" in log


async def test_rate_limit_applies_across_daemons(tmp_path: Path) -> None:
    rate, seconds = 20.0, 5.0
    async with run_platform(tmp_path, "sales", "sales", bounds=BOUNDS) as running:
        await wait_until_serving(running, document_with_tenant(3, 0, *KEYS, rate=rate))
        await asyncio.sleep(8.0)
        statuses: Counter[int] = Counter()
        started = time.monotonic()
        retry_after = []
        while time.monotonic() < started + seconds:
            answers = await asyncio.gather(
                *(running.send_request("/look/1", key=KEYS[n % 2], daemon=n % 2) for n in range(10))
            )
            statuses.update(answer.status for answer in answers)
            retry_after += [float(a.headers["retry-after"]) for a in answers if a.status == 429]
            await asyncio.sleep(0.05)
        max_served = (rate * (time.monotonic() - started) + rate) * 1.1 + 20.0
        assert set(statuses) <= {200, 429}
        assert 0.7 * rate * seconds < statuses[200] <= max_served
        assert statuses[429] > 50
        assert all(wait > 0.0 for wait in retry_after)

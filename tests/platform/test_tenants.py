"""Tenants, their keys and their limits on a stand-in of the platform, as separate processes."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from aiohttp import web

from tests.platform.standin import Backend, Platform, document, platform, rule, until

REVOKE_SECONDS = 3.0
BOUNDS = {"revoke_s": REVOKE_SECONDS, "revoke_fail_closed": True, "quota_slack": 20}
KEYS = ("key-of-officers-1", "key-of-officers-2")
RULES = (
    rule("/look/", "sales"),
    rule("/open/", "sales", public=True),
    rule("/ledger/", "ledger"),
)


def with_tenants(version: int, base: int, *keys: str, rate: float = 0.0) -> dict[str, Any]:
    """Return a configuration whose tenant ``officers`` holds these keys."""
    tenant = {"name": "officers", "api_keys": list(keys), "rate_per_s": rate, "burst": rate}
    return {**document(version, base, *RULES), "tenants": [tenant]}


async def serving(running: Platform, written: dict[str, Any]) -> None:
    """Wait until a configuration is in force and each daemon serves with the first key."""
    await running.put_until_taken(written)

    async def all_answer() -> bool:
        answers = [
            await running.ask("/look/up", daemon=number, key=KEYS[0])
            for number in range(len(running.daemons))
        ]
        return all(answer.status == 200 for answer in answers)

    await until(all_answer)


def everything_told(running: Platform) -> str:
    """Return all that the processes wrote and all that back ends were sent."""
    logs = "".join(machine.log() for machine in [*running.controls, *running.daemons])
    return logs + str([backend.headers for backend in running.backends])


async def test_a_key_leads_to_its_tenant_and_goes_nowhere_else(tmp_path: Path) -> None:
    async def call_on(backend: Backend, request: web.Request) -> web.Response:
        status = await backend.call(request.headers["Request-Id"], "sales.example", "/ledger/entry")
        return web.Response(body=f"called {status}".encode())

    works = {"sales": call_on}
    async with platform(tmp_path, "sales", "ledger", works=works, bounds=BOUNDS) as running:
        await serving(running, with_tenants(3, 0, *KEYS))
        answer = await running.ask("/look/1", key=KEYS[1], daemon=1)
        assert (answer.status, answer.body) == (200, b"called 200")
        sales, ledger = running.backends
        assert sales.headers[-1]["tenant"] == "officers"
        assert "tenant" not in ledger.headers[-1]
        assert (await running.ask("/look/2", key="key-unknown")).status == 401
        assert (await running.ask("/look/3")).status == 401
        assert (await running.ask("/open/4")).status == 200
        assert "tenant" not in sales.headers[-1]
        assert sorted(sales.ran).count("") == 0
        read = await running.read()
        assert KEYS[0].encode() in read.body

        async def is_logged() -> bool:
            return "api_key_unknown" in everything_told(running)

        await until(is_logged)
        told = everything_told(running)
        for key in (*KEYS, "key-unknown"):
            assert key not in told


async def test_a_key_that_was_taken_away_ends_and_a_new_one_begins(tmp_path: Path) -> None:
    async with platform(tmp_path, "sales", "sales", bounds=BOUNDS) as running:
        await serving(running, with_tenants(3, 0, KEYS[0]))
        assert (await running.ask("/look/1", key=KEYS[1])).status == 401
        assert await running.put_until_clear(with_tenants(4, 3, KEYS[1]), 0) == 200
        await asyncio.sleep(1.0)
        for daemon in range(2):
            assert (await running.ask("/look/2", key=KEYS[0], daemon=daemon)).status == 401
            assert (await running.ask("/look/3", key=KEYS[1], daemon=daemon)).status == 200


async def test_without_control_keys_are_trusted_for_a_while_and_public_routes_for_good(
    tmp_path: Path,
) -> None:
    async with platform(tmp_path, "sales", bounds=BOUNDS) as running:
        await serving(running, with_tenants(3, 0, *KEYS))
        for machine in running.controls:
            machine.stop()
        stopped = time.monotonic()
        while time.monotonic() < stopped + 0.6 * REVOKE_SECONDS:
            assert (await running.ask("/look/1", key=KEYS[0])).status == 200
            await asyncio.sleep(0.1)
        await asyncio.sleep(stopped + REVOKE_SECONDS - time.monotonic())
        answer = await running.ask("/look/2", key=KEYS[0])
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert (await running.ask("/look/3", key="key-unknown")).status == 503
        assert (await running.ask("/open/4")).status == 200
        for machine in running.controls:
            machine.start(bootstrap=False)

        async def is_trusted_again() -> bool:
            return (await running.ask("/look/5", key=KEYS[0])).status == 200

        await until(is_trusted_again)
        log = running.daemons[0].log()
        assert "API keys are not trusted" in log
        assert "API keys are trusted again" in log


async def test_a_limit_holds_over_all_daemons(tmp_path: Path) -> None:
    rate, seconds = 20.0, 5.0
    async with platform(tmp_path, "sales", "sales", bounds=BOUNDS) as running:
        await serving(running, with_tenants(3, 0, *KEYS, rate=rate))
        await asyncio.sleep(8.0)
        statuses: Counter[int] = Counter()
        began = time.monotonic()
        waits = []
        while time.monotonic() < began + seconds:
            answers = await asyncio.gather(
                *(running.ask("/look/1", key=KEYS[n % 2], daemon=n % 2) for n in range(10))
            )
            statuses.update(answer.status for answer in answers)
            waits += [float(a.headers["retry-after"]) for a in answers if a.status == 429]
            await asyncio.sleep(0.05)
        most = (rate * (time.monotonic() - began) + rate) * 1.1 + 20.0
        assert set(statuses) <= {200, 429}
        assert 0.7 * rate * seconds < statuses[200] <= most
        assert statuses[429] > 50
        assert all(wait > 0.0 for wait in waits)

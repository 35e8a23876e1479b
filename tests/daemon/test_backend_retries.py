"""Retries made by a back end itself are charged to the retry budget."""

import asyncio

from tests.daemon.deployment import deployment
from tests.daemon.scripted_backend import Received, answer

REPEATS = 8
BUDGET = 3


async def test_repeats_of_a_failed_call_stay_within_the_budget() -> None:
    reasons: list[str] = []

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/failing":
            writer.write(answer(b"failed", 500))
            return
        if received.path == "/fine":
            writer.write(answer(b"fine"))
            return
        headers = {
            "finchshed-account": received.headers["finchshed-account"],
            "finchshed-service": "licence",
        }
        base = f"http://{system.daemons[0].http_address}"
        for path in ["/failing"] * REPEATS + ["/fine"] * REPEATS:
            async with system.session.get(f"{base}{path}", headers=headers) as response:
                reasons.append(response.headers.get("finchshed-reason", ""))
                await response.read()
        writer.write(answer(b"done"))

    async with deployment(handler, retry_budget=BUDGET) as system:
        response = await system.ask("/outer")
        assert response.status == 200
        assert 1 < system.runs("/failing") <= 1 + BUDGET
        assert reasons[REPEATS - 1] == "retries_spent"
        assert system.runs("/fine") == REPEATS

"""Refusals, failures, deadlines and cancellation are reported truthfully to the client."""

import asyncio
import signal

from tests.daemon.deployment import deployment, eventually
from tests.daemon.scripted_backend import Received, answer, echo


async def _hang(_: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30.0)


async def test_a_refusal_tells_when_to_come_back() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"busy", 503, finchshed_ran="no"))

    async with deployment(handler, retry_budget=0) as system:
        responses = [await system.ask(f"/{number}") for number in range(5)]
    assert {response.ran for response in responses} == {"no"}
    waits = [int(response.headers["finchshed-retry-after-ms"]) for response in responses]
    assert min(waits) > 0
    assert len(set(waits)) > 1
    assert all(int(response.headers["retry-after"]) >= 1 for response in responses)


async def test_a_backend_that_is_gone_means_not_run() -> None:
    async with deployment(retry_budget=0) as system:
        await system.backends[0].stop()
        response = await system.ask("/a")
    assert (response.status, response.ran, response.reason) == (503, "no", "connect_failed")


async def test_a_connection_cut_after_the_send_means_unknown() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async with deployment(handler, retry_budget=0) as system:
        response = await system.ask("/a")
        assert system.runs("/a") == 1
    assert (response.status, response.ran, response.reason) == (502, "unknown", "backend_broken")


async def test_a_reused_connection_found_closed_is_not_silently_sent_again() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/first":
            writer.write(answer(b"first"))
            return
        writer.transport.abort()

    async with deployment(handler, retry_budget=0) as system:
        await system.ask("/first")
        response = await system.ask("/second")
        assert system.runs("/second") == 1
    assert response.ran == "unknown"


async def test_a_repeatable_call_is_retried_within_its_budget() -> None:
    async def broken(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async with deployment(broken, broken, broken, broken, broken, retry_budget=2) as system:
        response = await system.ask("/a")
        assert system.runs("/a") <= 3
        assert system.runs("/a") >= 2
    assert response.ran == "unknown"


async def test_a_daemon_killed_mid_call_is_answered_by_another() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        writer.write(answer(received.path.encode()))

    async with deployment(handler, handler) as system:
        asked = asyncio.ensure_future(system.ask("/a"))
        await eventually(lambda: system.runs("/a"))
        first = 0 if system.backends[0].received else 1
        system.daemons[first].signal(signal.SIGKILL)
        response = await asked
        assert system.runs("/a") == 2
    assert (response.status, response.body) == (200, b"/a")


async def test_a_frozen_daemon_is_noticed_by_its_silence() -> None:
    async with deployment(echo, echo) as system:
        for number in range(10):
            await system.ask(f"/{number}")
        system.daemons[0].signal(signal.SIGSTOP)
        try:
            responses = await asyncio.gather(*(system.ask(f"/n{number}") for number in range(8)))
        finally:
            system.daemons[0].signal(signal.SIGCONT)
    assert {response.status for response in responses} == {200}


async def test_a_caller_that_closes_cancels_at_the_backend() -> None:
    async with deployment(_hang) as system:
        asked = asyncio.ensure_future(system.ask("/a"))
        await eventually(lambda: system.runs("/a"))
        asked.cancel()
        await eventually(lambda: system.backends[0].closed_early)


async def test_the_deadline_ends_a_call_at_both_sides() -> None:
    async with deployment(_hang) as system:
        response = await system.ask("/a", finchshed_deadline_ms="200")
        await eventually(lambda: system.backends[0].closed_early)
    assert (response.status, response.ran, response.reason) == (504, "unknown", "deadline")


async def test_a_passed_deadline_is_refused_as_not_run() -> None:
    async with deployment() as system:
        response = await system.ask("/a", finchshed_deadline_ms="0")
        assert system.runs("/a") == 0
    assert (response.ran, response.reason) == ("no", "deadline")


async def test_cancellations_racing_the_start_leave_no_call_behind() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.005)
        writer.write(answer(received.path.encode()))

    async with deployment(handler) as system:
        asked = []
        for number in range(60):
            asked.append(asyncio.ensure_future(system.ask(f"/{number}")))
            await asyncio.sleep(0.0005 * (number % 7))
            asked[number // 2].cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        responses = await asyncio.gather(*(system.ask(f"/after{number}") for number in range(8)))
    assert [response.body for response in responses] == [f"/after{n}".encode() for n in range(8)]


async def test_context_and_account_reach_the_backend_and_nested_calls() -> None:
    async def outer(received: Received, writer: asyncio.StreamWriter) -> None:
        headers = {
            name: value for name, value in received.headers.items() if name.startswith("finchshed-")
        }
        if received.path == "/outer":
            url = f"http://{system.daemons[0].http_address}/inner"
            sent = {**headers, "finchshed-service": "licence"}
            async with system.session.get(url, headers=sent) as response:
                inner = await response.read()
            writer.write(answer(headers["finchshed-root"].encode() + b" " + inner))
            return
        writer.write(answer(headers["finchshed-root"].encode()))

    async with deployment(outer) as system:
        response = await system.ask("/outer", finchshed_root="root-7", finchshed_importance="3")
        importances = {
            received.headers["finchshed-importance"] for received in system.backends[0].received
        }
        left = [
            int(received.headers["finchshed-deadline-ms"])
            for received in system.backends[0].received
        ]
    assert response.body == b"root-7 root-7"
    assert importances == {"1"}
    assert 0 < left[1] <= left[0] <= 5000

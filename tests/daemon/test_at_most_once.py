"""Non-repeatable requests run at most once, and resends receive the recorded answer."""

import asyncio
import signal

from tests.daemon.deployment import deployment, eventually, make_key
from tests.daemon.scripted_backend import Received, answer


async def test_a_resend_gets_the_same_whole_answer_and_runs_once() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(f"run {system.runs('/buy/1')}".encode(), 201, X_Receipt="77"))

    async with deployment(handler, handler) as system:
        key = make_key()
        responses = [await system.buy(key) for _ in range(6)]
        assert system.runs("/buy/1") == 1
    assert {(response.status, response.body) for response in responses} == {(201, b"run 1")}
    assert {response.headers["x-receipt"] for response in responses} == {"77"}


async def test_a_key_is_needed_and_another_request_may_not_use_it() -> None:
    async with deployment() as system:
        without = await system.ask("/buy/1", "POST", b"order")
        malformed = await system.buy("no-uuid")
        key = make_key()
        first = await system.buy(key)
        other = await system.buy(key, "/buy/2")
        assert system.runs("/buy/2") == 0
    assert (without.status, without.ran, without.reason) == (400, "no", "key_missing")
    assert (malformed.status, malformed.ran, malformed.reason) == (400, "no", "key_invalid")
    assert first.status == 200
    assert (other.status, other.ran, other.reason) == (422, "no", "key_reused")


async def test_an_expired_key_is_refused_as_not_run() -> None:
    async with deployment() as system:
        response = await system.buy(make_key(age_seconds=100_000.0))
        assert system.runs("/buy/1") == 0
    assert (response.status, response.ran, response.reason) == (409, "no", "key_expired")


async def test_without_a_quorum_only_repeatable_calls_run() -> None:
    async with deployment() as system:
        system.control.has_quorum = False
        response = await system.buy(make_key())
        repeatable = await system.ask("/look")
        assert system.runs("/buy/1") == 0
    assert (response.status, response.ran, response.reason) == (503, "no", "ledger_unavailable")
    assert repeatable.status == 200


async def test_a_run_without_an_answer_is_unknown_and_never_run_again() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async with deployment(handler, handler) as system:
        key = make_key()
        responses = [await system.buy(key) for _ in range(5)]
        assert system.runs("/buy/1") == 1
    assert {response.ran for response in responses} == {"unknown"}
    assert [response.reason for response in responses[1:]] == ["outcome_unknown"] * 4


async def test_a_refusal_by_the_backend_frees_the_key() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        if system.runs("/buy/1") <= 4:
            writer.write(answer(b"busy", 503, finchshed_ran="no"))
        else:
            writer.write(answer(b"sold"))

    async with deployment(handler, retry_budget=0) as system:
        key = make_key()
        refused = await system.buy(key)
        for _ in range(20):
            response = await system.buy(key)
            if response.status == 200:
                break
    assert (refused.ran, refused.reason) == ("no", "backend_refused")
    assert (response.status, response.body) == (200, b"sold")


async def test_a_daemon_frozen_between_grant_and_send_does_not_send() -> None:
    async with deployment(flags={"grant-lease-seconds": "0.5"}) as system:
        daemon = system.daemons[0]
        system.control.grant_delay = 0.3
        key = make_key()
        buying = asyncio.ensure_future(system.buy(key))
        await eventually(lambda: system.control.begun)
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        daemon.signal(signal.SIGCONT)
        frozen = await buying
        await asyncio.sleep(0.3)
        assert system.runs("/buy/1") == 0
        system.control.grant_delay = 0.0
        again = await system.buy(key)
        assert system.runs("/buy/1") == 1
    assert frozen.ran in {"no", "unknown"}
    assert again.status == 200


async def test_a_daemon_killed_mid_run_leaves_the_outcome_unknown() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(30.0)

    async with deployment(handler, handler) as system:
        key = make_key()
        buying = asyncio.ensure_future(system.buy(key))
        await eventually(lambda: system.runs("/buy/1"))
        for daemon, backend in zip(system.daemons, system.backends, strict=True):
            if backend.received:
                daemon.signal(signal.SIGKILL)
        first = await buying
        again = [await system.buy(key) for _ in range(3)]
        assert system.runs("/buy/1") == 1
    assert (first.ran, first.reason) == ("unknown", "link_broken")
    assert {(response.ran, response.reason) for response in again} == {
        ("unknown", "outcome_unknown")
    }


async def test_a_caller_that_leaves_does_not_cut_a_run_that_may_not_be_repeated() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        writer.write(answer(b"sold"))

    async with deployment(handler) as system:
        key = make_key()
        buying = asyncio.ensure_future(system.buy(key))
        await eventually(lambda: system.runs("/buy/1"))
        buying.cancel()
        await asyncio.sleep(0.8)
        response = await system.buy(key)
        assert system.runs("/buy/1") == 1
        assert system.backends[0].closed_early == 0
    assert (response.status, response.body) == (200, b"sold")


async def test_a_repeat_joins_the_request_in_progress() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        writer.write(answer(f"run {system.runs(received.path)}".encode()))

    async with deployment(handler, handler) as system:
        key = make_key()
        bought = await asyncio.gather(*(system.buy(key) for _ in range(5)))
        looked = await asyncio.gather(
            *(system.ask("/look", finchshed_root="same-root") for _ in range(5))
        )
        assert system.runs("/buy/1") == 1
        assert system.runs("/look") == 1
    assert {response.body for response in [*bought, *looked]} == {b"run 1"}


async def test_an_escaped_path_needs_a_key_like_a_plain_one() -> None:
    async with deployment() as system:
        response = await system.ask("/%62uy/1", "POST", b"order")
        assert system.runs("/%62uy/1") == 0
    assert (response.status, response.ran, response.reason) == (400, "no", "key_missing")


async def test_what_the_ledger_says_of_a_key_is_final() -> None:
    async def hang(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async with deployment(hang, hang, hang) as system:
        future = make_key(age_seconds=-100_000.0)
        expired = make_key(age_seconds=100_000.0)
        unknown = make_key()
        await system.buy(unknown)
        system.control.begun.clear()
        responses = [await system.buy(key) for key in (future, expired, unknown)]
        assert len(system.control.begun) == 3
        assert system.runs("/buy/1") == 1
    assert [(response.status, response.ran, response.reason) for response in responses] == [
        (400, "no", "key_invalid"),
        (409, "no", "key_expired"),
        (409, "unknown", "outcome_unknown"),
    ]
    assert ["retry-after" in response.headers for response in responses] == [False, False, True]
    assert "made_in_the_future" in responses[0].body.decode()

"""Truncated, duplicated or misrouted answers of a back end never reach a client."""

import asyncio
import os

from tests.daemon.deployment import MAX_BODY_BYTES, deployment
from tests.daemon.scripted_backend import Received, answer


async def test_answer_and_request_arrive_whole() -> None:
    async with deployment() as system:
        body = os.urandom(50_000)
        response = await system.ask("/a?x=1%20b", "POST", body)
    assert response.status == 200
    assert response.body == b"POST /a?x=1%20b " + body


async def test_status_and_headers_of_the_backend_are_kept() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"gone", 410, X_Edition="7", Connection="X-Hop", X_Hop="1"))

    async with deployment(handler) as system:
        responses = await system.ask("/a")
    assert (responses.status, responses.body, responses.headers["x-edition"]) == (410, b"gone", "7")
    assert "x-hop" not in responses.headers
    assert responses.ran == ""


async def test_an_answer_shorter_than_its_content_length_is_never_passed_on() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        writer.close()

    async with deployment(handler, retry_budget=0) as system:
        response = await system.ask("/a")
    assert (response.status, response.ran, response.reason) == (502, "unknown", "backend_broken")


async def test_a_chunked_answer_cut_short_is_never_passed_on() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
        writer.close()

    async with deployment(handler, retry_budget=0) as system:
        response = await system.ask("/a")
    assert (response.status, response.ran, response.reason) == (502, "unknown", "backend_broken")


async def test_a_whole_chunked_answer_is_passed_on() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"6\r\n world\r\n0\r\n\r\n")

    async with deployment(handler) as system:
        response = await system.ask("/a")
    assert (response.status, response.body) == (200, b"hello world")


async def test_an_answer_that_ends_with_its_connection_is_whole() -> None:
    async def handler(_: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.0 200 OK\r\n\r\nall there is")
        writer.close()

    async with deployment(handler) as system:
        response = await system.ask("/a")
    assert (response.status, response.body) == (200, b"all there is")


async def test_bytes_past_an_answer_never_reach_the_next_request() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        whole = answer(received.path.encode())
        writer.write(whole + answer(b"doubled " + received.path.encode()))

    async with deployment(handler) as system:
        bodies = [(await system.ask(f"/{number}")).body for number in range(10)]
    assert [body for body in bodies if body.startswith(b"doubled")] == []
    assert set(bodies) <= {f"/{number}".encode() for number in range(10)}


async def test_answers_out_of_order_reach_their_own_callers() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        number = int(received.path.rsplit("/", 1)[1])
        await asyncio.sleep((7 - number % 8) * 0.01)
        writer.write(answer(received.path.encode()))

    async with deployment(handler, handler) as system:
        paths = [f"/n/{number}" for number in range(60)]
        responses = await asyncio.gather(*(system.ask(path) for path in paths))
    assert [response.body.decode() for response in responses] == paths


async def test_an_answer_to_a_call_given_up_on_finds_nobody() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/slow":
            await asyncio.sleep(0.3)
        writer.write(answer(received.path.encode()))

    async with deployment(handler) as system:
        late = await system.ask("/slow", finchshed_deadline_ms="100")
        after = [(await system.ask(f"/{number}")).body for number in range(5)]
        await asyncio.sleep(0.4)
        after += [(await system.ask(f"/{number}")).body for number in range(5, 10)]
    assert (late.status, late.ran, late.reason) == (504, "unknown", "deadline")
    assert after == [f"/{number}".encode() for number in range(10)]


async def test_too_large_a_request_is_refused_as_not_run() -> None:
    async with deployment() as system:
        responses = await system.ask("/a", "POST", bytes(MAX_BODY_BYTES + 1))
        assert system.runs("/a") == 0
    assert (responses.status, responses.ran, responses.reason) == (413, "no", "request_too_large")
    assert str(MAX_BODY_BYTES) in responses.body.decode()


async def test_too_large_an_answer_is_told_as_such() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        if received.path == "/declared":
            writer.write(answer(bytes(MAX_BODY_BYTES + 1)))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(MAX_BODY_BYTES // 10_000 + 1):
            writer.write(b"2710\r\n" + bytes(10_000) + b"\r\n")
        writer.write(b"0\r\n\r\n")

    async with deployment(handler) as system:
        declared = await system.ask("/declared")
        chunked = await system.ask("/chunked")
    for response in (declared, chunked):
        assert (response.status, response.ran, response.reason) == (
            502,
            "unknown",
            "answer_too_large",
        )


async def test_an_answer_doubled_late_never_reaches_the_next_request() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received.path.encode()))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(answer(b"doubled " + received.path.encode()))

    async with deployment(handler) as system:
        bodies = []
        for number in range(10):
            bodies.append((await system.ask(f"/{number}")).body)
            await asyncio.sleep(0.05)
    assert [body for body in bodies if body.startswith(b"doubled")] == []
    assert bodies[0] == b"/0"


async def test_a_connection_to_the_backend_is_used_for_one_request_after_the_other() -> None:
    async with deployment() as system:
        bodies = [(await system.ask(f"/{number}")).body for number in range(30)]
        assert system.backends[0].connections == 1
    assert bodies == [f"GET /{number} ".encode() for number in range(30)]


async def test_a_connection_the_backend_closes_is_not_used_again() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(received.path.encode(), Connection="close"))

    async with deployment(handler) as system:
        bodies = [(await system.ask(f"/{number}")).body for number in range(5)]
        assert system.backends[0].connections == 5
    assert bodies == [f"/{number}".encode() for number in range(5)]


async def test_an_answer_that_names_another_request_is_not_handed_on() -> None:
    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        account = received.headers["finchshed-account"]
        own = answer(received.path.encode(), finchshed_account=account)
        if received.path == "/0":
            # Duplicated after the next request has been sent.
            held.append(own)
        writer.write(held.pop() if received.path == "/1" else own)

    held: list[bytes] = []
    async with deployment(handler, retry_budget=0) as system:
        responses = [await system.ask(f"/{number}") for number in range(4)]
    assert [response.body for response in responses if response.status == 200] == [
        b"/0",
        b"/2",
        b"/3",
    ]
    assert (responses[1].ran, responses[1].reason) == ("unknown", "backend_broken")
    assert "finchshed-account" not in responses[0].headers

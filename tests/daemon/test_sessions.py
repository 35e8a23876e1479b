"""Sessions stay on their endpoint, and move without mixing versions of a resource."""

import asyncio
import hashlib
import signal

from tests.daemon.deployment import Answer, Deployment, deployment, eventually, resources_for
from tests.daemon.scripted_backend import Handler, Received, answer

VERSIONS = {"7": hashlib.sha256(b"7").digest() * 2000, "8": hashlib.sha256(b"8").digest() * 2000}
PART = 8000
PATH = "/session/chart"


def chart(version: str, honors_if_range: bool = True) -> Handler:
    """Serve ranges of a resource version; ignore If-Range unless ``honors_if_range``."""

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        content = VERSIONS[version]
        tag = f'"{version}"'
        wanted = received.headers.get("range")
        condition = received.headers.get("if-range", tag)
        if wanted is None or (honors_if_range and condition != tag):
            writer.write(answer(content, 200, ETag=tag))
            return
        first, last = wanted.removeprefix("bytes=").split("-")
        part = content[int(first) : int(last) + 1]
        writer.write(answer(part, 206, ETag=tag))

    return handler


async def ask_part(
    system: Deployment, first: int = 0, session: str = "s1", **headers: str
) -> Answer:
    """Request the part of the resource that begins at ``first``."""
    span = f"bytes={first}-{first + PART - 1}"
    return await system.ask(PATH, finchshed_session=session, range=span, **headers)


def serving(system: Deployment) -> list[int]:
    """Return the indexes of the back ends that received requests."""
    return [number for number, backend in enumerate(system.backends) if backend.received]


async def test_a_session_stays_with_the_endpoint_that_admitted_it() -> None:
    async with deployment(*[chart("7")] * 4) as system:
        for number in range(4):
            for backend in system.backends:
                backend.received.clear()
            responses = [await ask_part(system, session=f"s{number}") for _ in range(15)]
            assert {response.status for response in responses} == {206}
            assert len(serving(system)) == 1


async def test_a_download_goes_on_elsewhere_when_its_daemon_is_killed() -> None:
    async with deployment(*[chart("7")] * 3) as system:
        content = b""
        while len(content) < len(VERSIONS["7"]):
            response = await ask_part(system, len(content))
            assert response.status == 206
            content += response.body
            if len(content) == 2 * PART:
                first = serving(system)
                system.daemons[first[0]].signal(signal.SIGKILL)
        assert content == VERSIONS["7"]
        assert len(first) == 1
        assert len(serving(system)) == 2


async def test_a_session_outlives_the_loss_of_every_other_backend() -> None:
    async with deployment(*[chart("7")] * 3) as system:
        assert (await ask_part(system)).status == 206
        (own,) = serving(system)
        for number, daemon in enumerate(system.daemons):
            if number != own:
                daemon.signal(signal.SIGKILL)
        responses = [await ask_part(system, part * PART) for part in range(8)]
        assert serving(system) == [own]
    assert b"".join(response.body for response in responses) == VERSIONS["7"]


async def test_a_range_after_a_move_never_comes_from_another_edition() -> None:
    async with deployment(chart("7"), chart("8")) as system:
        response = await ask_part(system)
        (own,) = serving(system)
        system.daemons[own].signal(signal.SIGKILL)
        after = await ask_part(system, PART)
        assert serving(system) == [0, 1]
    # The complete other version with status 200, rather than a part of it.
    assert response.status == 206
    assert after.status == 200
    assert after.headers["etag"] != response.headers["etag"]
    assert after.body == VERSIONS[after.headers["etag"].strip('"')]


async def test_a_part_of_another_edition_is_not_handed_on() -> None:
    async with deployment(chart("8", honors_if_range=False), retry_budget=0) as system:
        response = await ask_part(system, if_range='"7"')
        matching = await ask_part(system, if_match='"7", "8"')
        other = await ask_part(system, if_match='"6"')
    assert (response.status, response.ran, response.reason) == (502, "unknown", "answer_corrupt")
    assert (other.status, other.reason) == (502, "answer_corrupt")
    assert matching.status == 206


async def test_a_drain_keeps_sessions_and_sends_new_ones_elsewhere() -> None:
    async with deployment(*[chart("7")] * 2) as system:
        assert (await ask_part(system)).status == 206
        (own,) = serving(system)
        system.daemons[own].signal(signal.SIGTERM)
        await system.daemons[own].draining()
        new = [await ask_part(system, session=f"n{number}") for number in range(3)]
        assert len(system.backends[own].received) == 1
        kept = [await ask_part(system, part * PART) for part in range(8)]
        assert len(system.backends[own].received) == 9
        assert await system.daemons[own].stopped() == 0
        moved = await ask_part(system)
    assert {response.status for response in [*new, *kept, moved]} == {206}
    assert b"".join(response.body for response in kept) == VERSIONS["7"]


async def test_a_surge_of_its_own_class_does_not_cut_a_session() -> None:
    async def slow(received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.03)
        await chart("7")(received, writer)

    async with deployment(slow) as system:
        assert (await ask_part(system)).status == 206
        overload = [
            asyncio.ensure_future(system.ask(f"/s{number}", finchshed_deadline_ms="1500"))
            for number in range(600)
        ]
        responses = [await ask_part(system, part * PART) for part in range(8)]
        others = await asyncio.gather(*overload)
    assert {(response.status, response.reason) for response in responses} == {(206, "")}
    assert b"".join(response.body for response in responses) == VERSIONS["7"]
    assert any(response.ran == "no" for response in others)


async def test_a_session_is_admitted_once_and_as_a_whole() -> None:
    async with deployment(chart("7"), retry_budget=0) as system:
        opened = [await ask_part(system, session=f"s{number}") for number in range(6)]
        running = [await ask_part(system, PART, session=f"s{number}") for number in range(4)]
        await asyncio.sleep(1.3)
        later = await ask_part(system, session="s9")
    assert [response.status for response in opened] == [206] * 4 + [429] * 2
    assert {response.reason for response in opened[4:]} == {"session_limit"}
    assert {response.status for response in running} == {206}
    assert later.status == 206


async def test_an_endpoint_that_is_undeclared_hands_its_sessions_on() -> None:
    async with deployment(*[chart("7")] * 2) as system:
        assert (await ask_part(system)).status == 206
        (own,) = serving(system)
        left = [daemon for number, daemon in enumerate(system.daemons) if number != own]
        system.control.publish(resources_for(left))
        await eventually(lambda: len(serving(system)) < 3)
        await asyncio.sleep(0.3)
        responses = [await ask_part(system, part * PART) for part in range(8)]
        assert serving(system) == [0, 1]
    assert b"".join(response.body for response in responses) == VERSIONS["7"]


async def test_a_session_named_on_another_route_gains_no_rank() -> None:
    seen: list[str] = []

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        seen.append(received.headers.get("finchshed-session", ""))
        writer.write(answer(b"looked"))

    async with deployment(handler) as system:
        assert (await system.ask("/look", finchshed_session="s1")).status == 200
        assert (await system.ask("/session/a", finchshed_session="s1")).status == 200
    assert seen == ["", "s1"]

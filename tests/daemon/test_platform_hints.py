"""A listed machine drains, unless the entry may refer to an earlier machine at its address."""

import asyncio
import random
import signal

from finchshed.configuration.resources import Endpoint
from finchshed.daemon.calling.platform_hints import LocalMachineHints, PlatformHints
from finchshed.distribution.messages import Hints, LeavingHint
from finchshed.routing.endpoint import DrainSource
from finchshed.routing.table import RoutingTable
from tests.daemon.deployment import deployment
from tests.daemon.scripted_backend import echo

LAG = 30.0


def endpoint(name: str) -> Endpoint:
    return Endpoint(name, "s", region="r", zone="z", address="127.0.0.1:9000", slots=4)


def table_of(*names: str) -> tuple[RoutingTable, PlatformHints]:
    table = RoutingTable("z", "r", random.Random(1))
    table.replace([endpoint(name) for name in names])
    return table, PlatformHints(table)


def hints(name: str, listed_seconds: float) -> Hints:
    return Hints((LeavingHint(name, listed_seconds),), LAG)


def is_marked(table: RoutingTable, name: str) -> bool:
    view = table.view(name)
    assert view is not None
    return bool(view.drain_sources & DrainSource.PLATFORM)


def test_a_hint_counts_for_a_machine_linked_before_it_can_have_been_listed() -> None:
    table, platform = table_of("a", "b")
    platform.on_linked("a", "i1", 0.0)
    platform.on_linked("b", "i1", 0.0)
    platform.on_hints(hints("a", 1.0), 100.0)
    assert (is_marked(table, "a"), is_marked(table, "b")) == (True, False)
    platform.on_hints(Hints((), LAG), 101.0)
    assert not is_marked(table, "a")


def test_a_hint_that_may_mean_an_earlier_machine_does_not_count() -> None:
    table, platform = table_of("a")
    platform.on_hints(hints("a", 1.0), 50.0)
    assert not is_marked(table, "a")
    platform.on_linked("a", "i1", 80.0)
    platform.on_hints(hints("a", 51.0), 100.0)
    assert not is_marked(table, "a")


def test_a_machine_that_took_the_place_of_a_listed_one_is_not_marked() -> None:
    table, platform = table_of("a")
    platform.on_linked("a", "i1", 0.0)
    platform.on_hints(hints("a", 1.0), 100.0)
    platform.on_linked("a", "i2", 101.0)
    assert not is_marked(table, "a")


async def test_a_listed_backend_gets_no_new_work() -> None:
    async with deployment(echo, echo) as system:
        await asyncio.gather(*(system.ask(f"/{number}") for number in range(30)))
        assert system.backends[0].received
        system.control.tell(Hints((LeavingHint("licence-1", 0.0),), 0.0))
        await asyncio.sleep(0.3)
        before = len(system.backends[0].received)
        responses = [await system.ask(f"/b{number}") for number in range(30)]
        assert len(system.backends[0].received) == before
        system.control.tell(Hints((), 0.0))
        await asyncio.sleep(0.3)
        responses += await asyncio.gather(*(system.ask(f"/c{number}") for number in range(30)))
        assert len(system.backends[0].received) > before
    assert {response.status for response in responses} == {200}


def test_own_listing_counts_for_a_daemon_older_than_the_lag_only() -> None:
    own = LocalMachineHints("a", 100.0)
    hint = Hints((LeavingHint("a", 1.0),), 30.0)
    assert not own.is_leaving(hint, 130.0)
    assert own.is_leaving(hint, 131.5)
    assert not own.is_leaving(Hints((LeavingHint("b", 1.0),), 30.0), 200.0)
    assert not LocalMachineHints("", 100.0).is_leaving(hint, 200.0)


async def test_a_listed_machine_tells_callers_whose_link_is_new() -> None:
    async with deployment(echo, echo) as system:
        await system.ask("/first")
        system.control.tell(Hints((LeavingHint("licence-1", 0.0),), 0.0))
        await asyncio.sleep(0.3)
        edge = system.edge
        edge.signal(signal.SIGTERM)
        await edge.stopped()
        await edge.start()
        before = len(system.backends[0].received)
        responses = [await system.ask(f"/b{number}") for number in range(30)]
        assert len(system.backends[0].received) == before
    assert {response.status for response in responses} == {200}

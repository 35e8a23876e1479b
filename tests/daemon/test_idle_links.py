"""Links that daemons open to each other and close when they are unused."""

import asyncio
import random
from typing import Any
from unittest.mock import Mock

from finchshed.configuration.resources import Endpoint
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.settings import DaemonSettings
from finchshed.link.peer import PeerLink
from finchshed.link.states import LinkState

IDLE_SECONDS = 0.2


def make_links() -> DaemonLinks:
    settings = DaemonSettings(
        node="d1",
        region="texas",
        zone="a",
        service="sales",
        http_address="",
        link_address="127.0.0.1:9001",
        control_addresses=("127.0.0.1:9002",),
        link_idle_seconds=IDLE_SECONDS,
    )

    async def connect(_factory: Any, _host: str, _port: int) -> None:
        """Open nothing: the state of the link is set by the test."""

    return DaemonLinks(settings, Mock(), random.Random(1), connect)


def open_link(links: DaemonLinks) -> PeerLink:
    endpoint = Endpoint(
        name="e0", service="sales", region="texas", zone="a", address="127.0.0.1:9003", slots=8
    )
    links.open_links((endpoint,))
    (link,) = links._by_link
    link.state = LinkState.OPEN
    return link


# A link that was opened ahead of its first call isn't closed as idle at once.
async def test_link_without_a_call_is_kept_for_the_idle_time() -> None:
    links = make_links()
    link = open_link(links)
    await asyncio.sleep(0.0)
    links.close_idle()
    assert link.state is LinkState.OPEN
    await asyncio.sleep(1.5 * IDLE_SECONDS)
    links.close_idle()
    assert link.state is LinkState.CLOSED

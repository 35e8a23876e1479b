"""Guards against a load page that daemons of the platform don't serve, or not without control."""

import asyncio
from pathlib import Path

import pytest

from finchshed.observability.load_page import EndpointsSection, GateSection, RetriesSection
from tests.ctl.runner import CtlRunner
from tests.ctl.test_load import read_page
from tests.platform.fake_backend import working
from tests.platform.fake_platform import (
    INTERNAL_PORTS,
    ZONES,
    route,
    run_platform,
    wait_until_known,
)

ROUTES = (route("/look/", "sales"),)
WORK_SECONDS = 1.0
LONG_ENOUGH_SECONDS = 0.4
"""Time after which requests that are sent have reached a back end, and none has ended."""


async def test_load_page_tells_the_load_without_control(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    handlers = {"sales": working(WORK_SECONDS)}
    async with run_platform(
        tmp_path, *["sales"] * 2, handlers=handlers, zones=ZONES[:1]
    ) as running:
        await wait_until_known(running, *ROUTES)
        for control in running.controls:
            control.stop()
        asked = [
            asyncio.create_task(running.send_request(f"/look/{number}")) for number in range(6)
        ]
        await asyncio.sleep(LONG_ENOUGH_SECONDS)
        ctl = CtlRunner(capsys)
        at_backends = 0
        for number, daemon in enumerate(running.daemons):
            page = await read_page(ctl, f"{daemon.ip}:{INTERNAL_PORTS[1]}")
            gate, endpoints, retries, *_ = page.sections
            assert isinstance(gate, GateSection)
            assert isinstance(endpoints, EndpointsSection)
            assert isinstance(retries, RetriesSection)
            assert gate.slots == running.backends[number].slots
            assert gate.running == running.backends[number].running
            at_backends += gate.running
            if number == 0:
                (service,) = endpoints.services
                assert (service.known, service.in_flight) == (2, len(asked))
        assert at_backends == len(asked)
        assert {response.status for response in await asyncio.gather(*asked)} == {200}

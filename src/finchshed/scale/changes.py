"""The operator of a scale run: makes changes at a steady rate, over gRPC, in a thread."""

import asyncio
import itertools
import threading
import time
from collections.abc import Iterator

import msgspec

from finchshed.common.errors import ControlUnavailableError, FinchshedError
from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Endpoint, Resource
from finchshed.ctl.changes import read_in_force, submit
from finchshed.ctl.client import OperatorClient
from finchshed.scale.in_force import AcceptedChange

CLIENT_TIMEOUT_SECONDS = 30.0


class ChangeRun(msgspec.Struct):
    """What came of a stretch of changes.

    Attributes
    ----------
    unavailable
        Changes for which no quorum answered within the client's time. Each was sent again under
        its identity until it was answered, or until the stretch was ended.
    """

    accepted: list[AcceptedChange] = msgspec.field(default_factory=list)
    unavailable: int = 0


class ChangeMaker:
    """Makes changes, one after another.

    Parameters
    ----------
    addresses
        RPC addresses of the control nodes.
    source
        Endless changed resources.
    """

    def __init__(self, addresses: tuple[str, ...], token: str, source: Iterator[Endpoint]) -> None:
        self._addresses = addresses
        self._token = token
        self._source = source
        self._numbers = itertools.count(1)
        self.revision = 0

    async def bootstrap(self, token: str, resources: tuple[Resource, ...]) -> AcceptedChange:
        """Make the first change, which declares everything."""
        return await asyncio.to_thread(self._bootstrap, token, resources)

    async def run(
        self,
        rate_per_second: float,
        count: int,
        stopped: threading.Event,
        timeout_seconds: float = CLIENT_TIMEOUT_SECONDS,
    ) -> ChangeRun:
        """Make ``count`` changes, fewer once ``stopped`` is set.

        Parameters
        ----------
        timeout_seconds
            Longest time for a change over all control nodes before it counts as unavailable.
        """
        return await asyncio.to_thread(self._run, rate_per_second, count, stopped, timeout_seconds)

    def _bootstrap(self, token: str, resources: tuple[Resource, ...]) -> AcceptedChange:
        client = OperatorClient(self._addresses, token, CLIENT_TIMEOUT_SECONDS)
        try:
            return self._make(client, Difference(resources, ()), "bootstrap")
        finally:
            client.close()

    def _run(
        self, rate: float, count: int, stopped: threading.Event, timeout_seconds: float
    ) -> ChangeRun:
        result = ChangeRun()
        client = OperatorClient(self._addresses, self._token, timeout_seconds)
        started = time.monotonic()
        try:
            for number in range(count):
                wait = started + number / rate - time.monotonic()
                if stopped.wait(max(0.0, wait)):
                    break
                self._make_one(client, result, stopped)
        finally:
            client.close()
        return result

    def _make_one(
        self, client: OperatorClient, result: ChangeRun, stopped: threading.Event
    ) -> None:
        change = Difference((next(self._source),), ())
        identity = f"scale-{next(self._numbers)}"
        submitted_at = time.monotonic()
        while not stopped.is_set():
            try:
                accepted = self._make(client, change, identity)
            except ControlUnavailableError:
                result.unavailable += 1
                continue
            result.accepted.append(
                AcceptedChange(accepted.revision, submitted_at, accepted.accepted_at)
            )
            return

    def _make(self, client: OperatorClient, change: Difference, identity: str) -> AcceptedChange:
        submitted_at = time.monotonic()
        answer = submit(client, identity, self.revision, change)
        accepted_at = time.monotonic()
        if not isinstance(answer, Accepted):
            raise FinchshedError(f"change {identity} was not accepted: {answer}")
        self.revision = answer.revision
        return AcceptedChange(answer.revision, submitted_at, accepted_at)

    def read_revision(self) -> int:
        """Return the revision a quorum confirms, and go on from it. Blocks."""
        client = OperatorClient(self._addresses, self._token, CLIENT_TIMEOUT_SECONDS)
        try:
            self.revision = read_in_force(client).revision
        finally:
            client.close()
        return self.revision

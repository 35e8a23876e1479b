"""Follows the load that the back end reports in answers, health checks and heartbeats.

While the back end reports that it is slow, callers send it little, so that few answers show the end
of the slow period. With ``polls_slow_backend``, it is therefore polled as long as it is slow.
Callers get reports of a changed slowdown between replies (see
:mod:`finchshed.limit.sent_slowdown`).
"""

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger

from finchshed.common.min_interval import MinInterval
from finchshed.common.units import MILLISECONDS
from finchshed.daemon import metrics
from finchshed.daemon.backend.client import BackendAnswer, BackendClient, BackendResult
from finchshed.daemon.backend.events import AnswerEvent
from finchshed.daemon.backend.health import HEALTH_PATH, check_health
from finchshed.daemon.backend.load_header import read_load
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.directory.instance_run import InstanceRun
from finchshed.directory.registrar import BackendHeartbeat
from finchshed.limit.backend_load import BackendLoad, BackendLoadRecord, LoadSource
from finchshed.limit.slowdown_history import MAX_REPORT_AGE_SECONDS, SLOW_FACTOR
from finchshed.link.listener import AcceptedLink
from finchshed.runtime import clock

POLL_SECONDS = 0.1
"""A slow back end is polled when its newest report is older than this."""

LONG_POLL_SECONDS = 0.4
"""The same, once it has been slow for a second."""

MIN_TELL_INTERVAL_SECONDS = 0.02
"""Minimum interval between two walks over the links of callers, caused by answers."""

MIN_LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between log lines about reports that can't be read."""

MAX_QUOTED_CHARACTERS = 60
"""Characters of a report that can't be read that are logged."""


class LoadMonitor:
    """Feeds the record of the back end's load, and tells callers of changes.

    Parameters
    ----------
    record
        Record of the present run.
    run
        Returns the present run of the back end; reports of other runs are ignored.
    links
        Returns the links of callers.
    polls
        Whether a slow back end is polled by health checks.

    Attributes
    ----------
    health_path
        Path of health checks.
    """

    def __init__(
        self,
        record: BackendLoadRecord,
        *,
        identity: EndpointIdentity,
        backend: BackendClient,
        run: Callable[[], InstanceRun],
        links: Callable[[], Iterable[AcceptedLink]],
        polls: bool = True,
    ) -> None:
        self.health_path = HEALTH_PATH
        self.record = record
        self._identity = identity
        self._backend = backend
        self._run = run
        self._links = links
        self._polls = polls
        self._polling: asyncio.Task[None] | None = None
        self._log_interval = MinInterval(MIN_LOG_INTERVAL_SECONDS)
        self._slow_log_interval = MinInterval(MIN_LOG_INTERVAL_SECONDS)
        self._tell_interval = MinInterval(MIN_TELL_INTERVAL_SECONDS)
        self._last_told = 0.0
        self._last_text = ""
        self._last_load: BackendLoad | None = None

    def on_answer(self, event: AnswerEvent) -> None:
        """Process an answer to a call; one of an earlier run says nothing of this one."""
        if event.answer.load and event.run.is_same(self._run()):
            self._on_text(event.answer.load, LoadSource.ANSWER, event.answer.head_received_at)

    def on_health(self, result: BackendResult) -> None:
        """Process the result of a health check of the present run."""
        if isinstance(result, BackendAnswer) and result.load:
            self._on_text(result.load, LoadSource.HEALTH_CHECK, result.head_received_at)

    def on_heartbeat(self, heartbeat: BackendHeartbeat) -> None:
        """Process a heartbeat that the registrar accepted."""
        self.record.on_cold_remaining(heartbeat.cold_remaining_seconds, clock.now())

    def close(self) -> None:
        """Stop polling."""
        if self._polling is not None:
            self._polling.cancel()

    def _on_text(self, text: str, source: LoadSource, received_at: float) -> None:
        if text != self._last_text:
            self._last_text = text
            self._last_load = read_load(text)
        load = self._last_load
        if load is None:
            self._report_unreadable(text)
            return
        self.record.on_load(load, source, received_at)
        now = clock.now()
        slowdown = self.record.slowdown_for_callers(now)
        metrics.SLOWDOWN.set(slowdown)
        if not slowdown:
            return
        if slowdown != self._last_told and self._tell_interval.has_passed(now):
            self._tell_callers()
        if self._is_slow() and self._polling is None:
            self._log_slow(source, slowdown, now - received_at)
            if self._polls:
                self._polling = asyncio.get_running_loop().create_task(self._poll())

    def _is_slow(self) -> bool:
        return self.record.slowdown(clock.now()) >= SLOW_FACTOR

    async def _poll(self) -> None:
        """Poll until the back end is as fast as usual, or its reports are too old to count."""
        began = clock.now()
        try:
            while self._is_slow():
                is_long = clock.now() - began > MAX_REPORT_AGE_SECONDS
                interval = LONG_POLL_SECONDS if is_long else POLL_SECONDS
                await asyncio.sleep(interval)
                age = self.record.age(clock.now())
                if interval <= age < MAX_REPORT_AGE_SECONDS:
                    await self._check(MAX_REPORT_AGE_SECONDS - age)
                self._tell_callers()
        finally:
            self._polling = None
        metrics.SLOWDOWN.set(self.record.slowdown_for_callers(clock.now()))
        self._tell_callers()

    async def _check(self, seconds: float) -> None:
        """Check the back end's health, for as long as the newest report counts."""
        run = self._run()
        try:
            async with asyncio.timeout(seconds):
                result = await check_health(self._backend, self.health_path)
        except TimeoutError:
            return
        if run.is_same(self._run()):
            self.on_health(result)

    def _tell_callers(self) -> None:
        """Send the load to callers that know a different slowdown."""
        now = clock.now()
        slowdown = self._last_told = self.record.slowdown(now)
        links = list(self._links())
        for link in links:
            silent_seconds = now - link.last_received_at
            if link.sent_slowdown.is_due(
                slowdown, now, callers=len(links), silent_seconds=silent_seconds
            ):
                link.send_load()

    def _log_slow(self, source: LoadSource, slowdown: float, age: float) -> None:
        if self._slow_log_interval.has_passed(clock.now()):
            logger.info(
                "back end {} of {} is slow: slowdown {:.2f}, told by its {} {:.1f} ms ago",
                self._identity.name,
                self._identity.service,
                slowdown,
                source,
                age * MILLISECONDS,
            )

    def _report_unreadable(self, text: str) -> None:
        metrics.LOAD_UNREADABLE.inc()
        if self._log_interval.has_passed(clock.now()):
            logger.warning(
                "back end {} reports a load that can't be read: {!r}",
                self._identity.name,
                text[:MAX_QUOTED_CHARACTERS],
            )

"""Simulated caller: sends requests at seeded times and verifies each response.

Arrivals are open-loop, so a slow response does not delay later requests. A request without a
complete response is retried after the delay given by the refusal, or after the load's own backoff.
"""

import asyncio
import itertools
import random
import time

import aiohttp
import msgspec
import numpy

from finchshed.common.context import HEADER_SESSION_AT
from finchshed.ledger.keys import new_key
from finchshed.proof.history import HEADER_CALL
from finchshed.standins import answers
from finchshed.standins.arrivals import StandinArrival, schedule
from finchshed.standins.downloads import FULL_CONTENT_STATUS, PRECONDITION_FAILED_STATUS
from finchshed.standins.outgoing import (
    OutgoingRequest,
    StandinReply,
    attempt_record,
    find_reply_problem,
    is_permanent_refusal,
    may_retry,
    request_target,
)
from finchshed.standins.records import (
    AttemptRecord,
    CallerOutcome,
    CallerRecord,
    RecordWriter,
    monotonic,
)
from finchshed.standins.serving import stop_event
from finchshed.standins.settings import CallerSettings, RetryBehavior, StandinLoad

RESPONSE_GRACE_SECONDS = 5.0
"""How long a caller waits for a response beyond the request's deadline."""

MAX_CONNECTIONS = 512
"""Limit of open connections, above what callers of the examples need during a surge."""


class StandinCaller:
    """Sends the requests of one caller process and records their outcomes."""

    def __init__(self, settings: CallerSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self._session = session
        self._records = RecordWriter(settings.record_path)
        self._random = random.Random(settings.seed)
        self._session_endpoints: dict[tuple[str, str], str] = {}
        """Last endpoint received for each (service, session)."""

    async def run(self, stopped: asyncio.Event, begin_at: float) -> None:
        """Send all requests, starting the first phase at ``begin_at``, and wait for them to end."""
        arrivals = self._arrivals()
        started_at = max(begin_at, monotonic())
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                delay = started_at + arrival.at - monotonic()
                if delay > 0.0:
                    await _sleep_until_stopped(stopped, delay)
                if stopped.is_set():
                    break
                group.create_task(self._serve_arrival(arrival))

    def _arrivals(self) -> list[StandinArrival]:
        generator = numpy.random.default_rng(self.settings.seed)
        return schedule(self.settings.loads, self.settings.phases, generator)

    async def _serve_arrival(self, arrival: StandinArrival) -> None:
        load = self.settings.loads[arrival.load]
        request = f"{self.settings.name}-{arrival.number}"
        outgoing = OutgoingRequest(
            request=request,
            load=load,
            phase=arrival.phase,
            caller=f"{self.settings.name}-{load.name}-{arrival.caller}",
            key=new_key(time.time(), self._random) if load.keyed else "",
            session=f"{request}-{self.settings.seed}" if load.download_bytes else "",
        )
        started_at = monotonic()
        if load.download_bytes:
            attempts = await self._download(outgoing)
        else:
            attempts, _ = await self._attempts(outgoing)
        self._write(outgoing, started_at, attempts)

    async def _download(self, outgoing: OutgoingRequest) -> list[AttemptRecord]:
        """Fetch a download in ranges within one session; restart it if the edition changes.

        Only the edge that served the earlier ranges knows the edition of an unconditional
        download, so such a download restarts at the next edge if an edge does not respond.
        """
        load = outgoing.load
        numbers = itertools.count()
        attempts: list[AttemptRecord] = []
        validator = ""
        offset = 0
        edge_index = 0
        while offset < load.download_bytes:
            last = min(offset + load.range_bytes, load.download_bytes) - 1
            range_request = msgspec.structs.replace(
                outgoing,
                request=f"{outgoing.request}-{next(numbers)}",
                wanted=answers.RangeRequest(first=offset, last=last),
                validator=validator,
            )
            new_attempts, reply = await self._attempts(range_request, edge_index)
            attempts += new_attempts
            if new_attempts[-1].outcome is not CallerOutcome.ANSWERED:
                edge_index += 1
                if load.conditional or edge_index == len(self.settings.edge_addresses):
                    break
                validator, offset = "", 0
                continue
            if reply.status == PRECONDITION_FAILED_STATUS:
                validator, offset = "", 0
                continue
            if reply.status == FULL_CONTENT_STATUS:
                break
            validator = reply.headers.get("etag", "")
            offset = last + 1
        return attempts

    async def _attempts(
        self, outgoing: OutgoingRequest, edge_index: int = 0
    ) -> tuple[list[AttemptRecord], StandinReply]:
        load = outgoing.load
        session = (load.service, outgoing.session)
        body = answers.answer_body(outgoing.identity, load.body_bytes) if load.body_bytes else b""
        attempts: list[AttemptRecord] = []
        for number in itertools.count():
            call = f"{outgoing.request}/{number}"
            edge = self._edge(load, edge_index, number)
            started_at = monotonic()
            headers = outgoing.headers(self._session_endpoints.get(session, ""))
            reply = await self._send(load, edge, {**headers, HEADER_CALL: call}, body)
            if outgoing.session and HEADER_SESSION_AT in reply.headers:
                self._session_endpoints[session] = reply.headers[HEADER_SESSION_AT]
            problem = find_reply_problem(outgoing, reply, body)
            record = attempt_record(call, edge, started_at, reply, problem)
            if outgoing.wanted is not None:
                record = msgspec.structs.replace(record, offset=outgoing.wanted.first)
            attempts.append(record)
            if record.outcome is CallerOutcome.ANSWERED or is_permanent_refusal(record):
                break
            if not may_retry(load, number):
                break
            await asyncio.sleep(self._pause(load, record))
        return attempts, reply

    def _edge(self, load: StandinLoad, edge_index: int, number: int) -> str:
        edges = self.settings.edge_addresses
        if load.download_bytes and not load.conditional:
            return edges[edge_index]
        return edges[number % len(edges)]

    async def _send(
        self, load: StandinLoad, edge: str, headers: dict[str, str], body: bytes
    ) -> StandinReply:
        delay = self.settings.client_delay_seconds
        await asyncio.sleep(delay)
        timeout = aiohttp.ClientTimeout(total=load.deadline_seconds + RESPONSE_GRACE_SECONDS)
        try:
            async with self._session.request(
                load.method,
                f"http://{edge}{request_target(load)}",
                headers=headers,
                data=body or None,
                timeout=timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return StandinReply(
                status=0, headers={}, body=b"", error=f"{type(error).__name__}: {error}"
            )
        await asyncio.sleep(delay)
        received = {name.lower(): value for name, value in response.headers.items()}
        return StandinReply(status=response.status, headers=received, body=content)

    def _pause(self, load: StandinLoad, record: AttemptRecord) -> float:
        if load.retry is RetryBehavior.HARD:
            return load.backoff_seconds * (0.5 + self._random.random())
        return record.retry_after

    def _write(
        self, outgoing: OutgoingRequest, started_at: float, attempts: list[AttemptRecord]
    ) -> None:
        problems = [attempt.problem for attempt in attempts if attempt.problem]
        self._records.write(
            CallerRecord(
                request=outgoing.request,
                load=outgoing.load.name,
                phase=outgoing.phase,
                service=outgoing.load.service,
                caller=outgoing.caller,
                begun=started_at,
                ended=monotonic(),
                outcome=attempts[-1].outcome,
                attempts=tuple(attempts),
                path=outgoing.load.path,
                key=outgoing.key,
                session=outgoing.session,
                problem=problems[0] if problems else "",
            )
        )


async def _sleep_until_stopped(stopped: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(stopped.wait(), seconds)
    except TimeoutError:
        return


async def run_caller(settings: CallerSettings, begin_at: float = 0.0) -> int:
    """Send all requests of ``settings`` from ``begin_at`` on; return the exit code."""
    stopped = stop_event()
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        await StandinCaller(settings, session).run(stopped, begin_at)
    return 0

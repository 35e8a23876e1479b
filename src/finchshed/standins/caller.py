"""Stand-in caller: sends requests at seeded times and checks that each answer is its own.

Arrivals are open-loop: a slow answer holds nothing back. Every request that got no whole answer
is repeated as its load's habit says: after what the refusal asked for, at once, or not at all.
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
from finchshed.standins.downloads import EDITION_CHANGED_STATUS, WHOLE_STATUS
from finchshed.standins.outgoing import (
    Outgoing,
    StandinReply,
    attempt_record,
    is_final,
    may_repeat,
    path_of,
    problem_of,
)
from finchshed.standins.records import (
    AttemptRecord,
    CallerOutcome,
    CallerRecord,
    RecordWriter,
    monotonic,
)
from finchshed.standins.serving import stop_event
from finchshed.standins.settings import CallerSettings, RetryHabit, StandinLoad

PATIENCE_SECONDS = 5.0
"""How much longer than its deadline a caller waits for an answer; chosen, not measured."""

MAX_CONNECTIONS = 512
"""More than the callers of the examples have open at a surge; chosen, not measured."""


class StandinCaller:
    """Sends the requests of one caller process."""

    def __init__(self, settings: CallerSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self._session = session
        self._records = RecordWriter(settings.record_path)
        self._entropy = random.Random(settings.seed)
        self._places: dict[tuple[str, str], str] = {}
        """Endpoint of each session as last told, by service and session."""

    async def run(self, stopped: asyncio.Event, begin_at: float) -> None:
        """Send all arrivals, the first phase from ``begin_at`` on, then wait for the last."""
        arrivals = self._arrivals()
        begun = max(begin_at, monotonic())
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                delay = begun + arrival.at - monotonic()
                if delay > 0.0:
                    await _sleep_unless(stopped, delay)
                if stopped.is_set():
                    break
                group.create_task(self._serve_arrival(arrival))

    def _arrivals(self) -> list[StandinArrival]:
        generator = numpy.random.default_rng(self.settings.seed)
        return schedule(self.settings.loads, self.settings.phases, generator)

    async def _serve_arrival(self, arrival: StandinArrival) -> None:
        load = self.settings.loads[arrival.load]
        request = f"{self.settings.name}-{arrival.number}"
        outgoing = Outgoing(
            request=request,
            load=load,
            phase=arrival.phase,
            caller=f"{self.settings.name}-{load.name}-{arrival.caller}",
            key=new_key(time.time(), self._entropy) if load.keyed else "",
            session=f"{request}-{self.settings.seed}" if load.download_bytes else "",
        )
        begun = monotonic()
        if load.download_bytes:
            attempts = await self._download(outgoing)
        else:
            attempts, _ = await self._attempts(outgoing)
        self._write(outgoing, begun, attempts)

    async def _download(self, outgoing: Outgoing) -> list[AttemptRecord]:
        """Fetch a download in ranges within one session; begin anew if the edition changes.

        A download that leaves its edition to the system begins anew at the next edge when one
        gives no answer: only the edge that it came in at knows which edition it has.
        """
        load = outgoing.load
        numbers = itertools.count()
        attempts: list[AttemptRecord] = []
        validator = ""
        offset = 0
        edge = 0
        while offset < load.download_bytes:
            last = min(offset + load.range_bytes, load.download_bytes) - 1
            part = msgspec.structs.replace(
                outgoing,
                request=f"{outgoing.request}-{next(numbers)}",
                wanted=answers.RangeRequest(first=offset, last=last),
                validator=validator,
            )
            made, reply = await self._attempts(part, edge)
            attempts += made
            if made[-1].outcome is not CallerOutcome.ANSWERED:
                edge += 1
                if load.conditional or edge == len(self.settings.edge_addresses):
                    break
                validator, offset = "", 0
                continue
            if reply.status == EDITION_CHANGED_STATUS:
                validator, offset = "", 0
                continue
            if reply.status == WHOLE_STATUS:
                break
            validator = reply.headers.get("etag", "")
            offset = last + 1
        return attempts

    async def _attempts(
        self, outgoing: Outgoing, home: int = 0
    ) -> tuple[list[AttemptRecord], StandinReply]:
        load = outgoing.load
        session = (load.service, outgoing.session)
        body = answers.answer_body(outgoing.identity, load.body_bytes) if load.body_bytes else b""
        attempts: list[AttemptRecord] = []
        for number in itertools.count():
            call = f"{outgoing.request}/{number}"
            edge = self._edge(load, home, number)
            begun = monotonic()
            headers = outgoing.headers(self._places.get(session, ""))
            reply = await self._send(load, edge, {**headers, HEADER_CALL: call}, body)
            if outgoing.session and HEADER_SESSION_AT in reply.headers:
                self._places[session] = reply.headers[HEADER_SESSION_AT]
            problem = problem_of(outgoing, reply, body)
            record = attempt_record(call, edge, begun, reply, problem)
            if outgoing.wanted is not None:
                record = msgspec.structs.replace(record, offset=outgoing.wanted.first)
            attempts.append(record)
            if record.outcome is CallerOutcome.ANSWERED or is_final(record):
                break
            if not may_repeat(load, number):
                break
            await asyncio.sleep(self._pause(load, record))
        return attempts, reply

    def _edge(self, load: StandinLoad, home: int, number: int) -> str:
        edges = self.settings.edge_addresses
        if load.download_bytes and not load.conditional:
            return edges[home]
        return edges[number % len(edges)]

    async def _send(
        self, load: StandinLoad, edge: str, headers: dict[str, str], body: bytes
    ) -> StandinReply:
        delay = self.settings.client_delay_seconds
        await asyncio.sleep(delay)
        timeout = aiohttp.ClientTimeout(total=load.deadline_seconds + PATIENCE_SECONDS)
        try:
            async with self._session.request(
                load.method,
                f"http://{edge}{path_of(load)}",
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
        if load.retry is RetryHabit.HARD:
            return load.backoff_seconds * (0.5 + self._entropy.random())
        return record.retry_after

    def _write(self, outgoing: Outgoing, begun: float, attempts: list[AttemptRecord]) -> None:
        problems = [attempt.problem for attempt in attempts if attempt.problem]
        self._records.write(
            CallerRecord(
                request=outgoing.request,
                load=outgoing.load.name,
                phase=outgoing.phase,
                service=outgoing.load.service,
                caller=outgoing.caller,
                begun=begun,
                ended=monotonic(),
                outcome=attempts[-1].outcome,
                attempts=tuple(attempts),
                path=outgoing.load.path,
                key=outgoing.key,
                session=outgoing.session,
                problem=problems[0] if problems else "",
            )
        )


async def _sleep_unless(stopped: asyncio.Event, seconds: float) -> None:
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

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

from finchshed.common.context import (
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_RAN,
    HEADER_REASON,
    HEADER_RETRY_AFTER_MS,
    HEADER_SERVICE,
    HEADER_SESSION,
)
from finchshed.ledger.keys import new_key
from finchshed.proof.history import HEADER_ANSWER_DIGEST, HEADER_ANSWER_ROOT, HEADER_CALL
from finchshed.standins import answers
from finchshed.standins.arrivals import Arrival, schedule
from finchshed.standins.records import (
    AttemptRecord,
    CallerOutcome,
    CallerRecord,
    RecordWriter,
    monotonic,
)
from finchshed.standins.serving import stop_event
from finchshed.standins.settings import CallerSettings, Load, RetryHabit

SUCCESS_BELOW = 400
EDITION_CHANGED_STATUS = 412
FINAL_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Statuses of refusals that a resend would get again (RFC 9110, 15.5)."""
PATIENCE_SECONDS = 5.0
"""How much longer than its deadline a caller waits for an answer."""


class Reply(msgspec.Struct, frozen=True):
    """What came back over HTTP; ``status`` 0 if nothing whole did."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""


class Outgoing(msgspec.Struct, frozen=True, kw_only=True):
    """A request, or one range of a download, that a caller wants answered."""

    request: str
    load: Load
    phase: str
    caller: str
    key: str = ""
    session: str = ""
    wanted: answers.RangeRequest | None = None
    validator: str = ""

    def headers(self) -> dict[str, str]:
        """Return the headers that every attempt carries."""
        headers = {
            HEADER_SERVICE: self.load.service,
            HEADER_CALLER: self.caller,
            HEADER_DEADLINE: str(int(self.load.deadline_seconds * 1000)),
        }
        if self.key:
            headers[HEADER_IDEMPOTENCY_KEY] = self.key
        if self.session:
            headers[HEADER_SESSION] = self.session
        if self.wanted is not None:
            headers["Range"] = f"bytes={self.wanted.first}-{self.wanted.last}"
        if self.validator:
            headers["If-Match"] = self.validator
        return headers


class Caller:
    """Sends the requests of one caller process."""

    def __init__(self, settings: CallerSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self._session = session
        self._records = RecordWriter(settings.record_path)
        self._key_entropy = random.Random(settings.seed)

    async def run(self, stopped: asyncio.Event, begin_at: float) -> None:
        """Send all arrivals, the first phase from ``begin_at`` on, then wait for the last."""
        generator = numpy.random.default_rng(self.settings.seed)
        arrivals = schedule(self.settings.loads, self.settings.phases, generator)
        begun = max(begin_at, monotonic())
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                delay = begun + arrival.at - monotonic()
                if delay > 0.0:
                    await _sleep_unless(stopped, delay)
                if stopped.is_set():
                    break
                group.create_task(self._serve_arrival(arrival))

    async def _serve_arrival(self, arrival: Arrival) -> None:
        load = self.settings.loads[arrival.load]
        request = f"{self.settings.name}-{arrival.number}"
        unique = f"{request}-{self.settings.seed}"
        outgoing = Outgoing(
            request=request,
            load=load,
            phase=arrival.phase,
            caller=f"{self.settings.name}-{load.name}-{arrival.caller}",
            key=new_key(time.time(), self._key_entropy) if load.keyed else "",
            session=unique if load.download_bytes else "",
        )
        begun = monotonic()
        if load.download_bytes:
            attempts = await self._download(outgoing)
        else:
            attempts, _ = await self._attempts(outgoing)
        self._write(outgoing, begun, attempts)

    async def _download(self, outgoing: "Outgoing") -> list[AttemptRecord]:
        """Fetch a download in ranges within one session; begin anew if the edition changes."""
        load = outgoing.load
        numbers = itertools.count()
        attempts: list[AttemptRecord] = []
        validator = ""
        offset = 0
        while offset < load.download_bytes:
            last = min(offset + load.range_bytes, load.download_bytes) - 1
            part = msgspec.structs.replace(
                outgoing,
                request=f"{outgoing.request}-{next(numbers)}",
                wanted=answers.RangeRequest(first=offset, last=last),
                validator=validator,
            )
            made, reply = await self._attempts(part)
            attempts += made
            if made[-1].outcome is not CallerOutcome.ANSWERED:
                break
            if reply.status == EDITION_CHANGED_STATUS:
                validator, offset = "", 0
                continue
            validator = reply.headers.get("etag", "")
            offset = last + 1
        return attempts

    async def _attempts(self, outgoing: "Outgoing") -> tuple[list[AttemptRecord], "Reply"]:
        load = outgoing.load
        headers = outgoing.headers()
        body = answers.answer_body(outgoing.request, load.body_bytes) if load.body_bytes else b""
        attempts: list[AttemptRecord] = []
        for number in itertools.count():
            call = f"{outgoing.request}.{number}"
            edge = self.settings.edge_addresses[number % len(self.settings.edge_addresses)]
            begun = monotonic()
            reply = await self._send(load, edge, {**headers, HEADER_CALL: call}, body)
            problem = _problem(outgoing, call, reply, body)
            record = _attempt_record(call, edge, begun, reply, problem)
            attempts.append(record)
            if record.outcome is CallerOutcome.ANSWERED or _is_final(record):
                break
            if not _may_repeat(load, number):
                break
            await asyncio.sleep(self._pause(load, record))
        return attempts, reply

    async def _send(self, load: Load, edge: str, headers: dict[str, str], body: bytes) -> Reply:
        delay = self.settings.client_delay_seconds
        await asyncio.sleep(delay)
        timeout = aiohttp.ClientTimeout(total=load.deadline_seconds + PATIENCE_SECONDS)
        try:
            async with self._session.request(
                load.method,
                f"http://{edge}{_path_of(load)}",
                headers=headers,
                data=body or None,
                timeout=timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Reply(status=0, headers={}, body=b"", error=f"{type(error).__name__}: {error}")
        await asyncio.sleep(delay)
        received = {name.lower(): value for name, value in response.headers.items()}
        return Reply(status=response.status, headers=received, body=content)

    def _pause(self, load: Load, record: AttemptRecord) -> float:
        if load.retry is RetryHabit.HARD:
            return 0.0
        return record.retry_after

    def _write(self, outgoing: "Outgoing", begun: float, attempts: list[AttemptRecord]) -> None:
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


def _path_of(load: Load) -> str:
    if load.download_bytes:
        return f"{load.path}?size={load.download_bytes}"
    return load.path


def _is_final(record: AttemptRecord) -> bool:
    """Whether the same request would get the same refusal again: none says when to come back."""
    return record.outcome is CallerOutcome.REFUSED and record.status in FINAL_STATUSES


def _may_repeat(load: Load, number: int) -> bool:
    return load.retry is not RetryHabit.NONE and number + 1 < load.max_attempts


def _is_answer(reply: Reply) -> bool:
    return 0 < reply.status < SUCCESS_BELOW or reply.status == EDITION_CHANGED_STATUS


def _problem(outgoing: Outgoing, call: str, reply: Reply, sent: bytes) -> str:
    """Say why an answer isn't this request's whole answer; empty if it is, or is none."""
    if not _is_answer(reply):
        return ""
    if outgoing.wanted is not None:
        return _range_problem(outgoing, call, reply)
    identity = answers.identity_of(call, outgoing.key)
    return answers.problem_of(identity, reply.body, reply.headers, sent)


def _range_problem(outgoing: Outgoing, call: str, reply: Reply) -> str:
    named = reply.headers.get(answers.HEADER_IDENTITY)
    if named != call:
        return f"answer names request {named!r}"
    if reply.status == EDITION_CHANGED_STATUS:
        return ""
    tag = reply.headers.get("etag", "")
    edition = tag.strip('"').rpartition("-")[2]
    if not edition.isdigit():
        return f"answer has no edition: {tag!r}"
    if outgoing.validator and tag != outgoing.validator:
        return f"edition changed from {outgoing.validator} to {tag}"
    wanted = outgoing.wanted
    if wanted is not None:
        content = answers.edition_bytes(outgoing.load.path, int(edition), wanted)
        if reply.body != content:
            return "range differs from its edition"
    return ""


def _attempt_record(
    call: str, edge: str, begun: float, reply: Reply, problem: str
) -> AttemptRecord:
    answered = _is_answer(reply)
    ran = "yes" if answered else reply.headers.get(HEADER_RAN, "unknown")
    outcome = CallerOutcome.FAILED
    if answered:
        outcome = CallerOutcome.ANSWERED
    elif ran == "no":
        outcome = CallerOutcome.REFUSED
    return AttemptRecord(
        call=call,
        edge=edge,
        begun=begun,
        ended=monotonic(),
        outcome=outcome,
        ran=ran,
        status=reply.status,
        reason=reply.headers.get(HEADER_REASON, reply.error),
        retry_after=_retry_after(reply),
        root=reply.headers.get(HEADER_ANSWER_ROOT, ""),
        digest=reply.headers.get(HEADER_ANSWER_DIGEST, ""),
        problem=problem,
    )


def _retry_after(reply: Reply) -> float:
    milliseconds = reply.headers.get(HEADER_RETRY_AFTER_MS, "")
    if milliseconds:
        return float(milliseconds) / 1000.0
    seconds = reply.headers.get("retry-after", "")
    return float(seconds) if seconds else 0.0


async def _sleep_unless(stopped: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(stopped.wait(), seconds)
    except TimeoutError:
        return


async def run_caller(settings: CallerSettings, begin_at: float = 0.0) -> int:
    """Send all requests of ``settings`` from ``begin_at`` on; return the exit code."""
    stopped = stop_event()
    connector = aiohttp.TCPConnector(limit=settings.max_connections)
    async with aiohttp.ClientSession(connector=connector) as session:
        await Caller(settings, session).run(stopped, begin_at)
    return 0

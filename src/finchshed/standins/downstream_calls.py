"""Calls that a simulated backend makes to other services through its own daemon.

Assigns the identity of each call and records it. Retries and retry budgets are left to the daemon.
"""

import asyncio
import itertools

import aiohttp
import msgspec
from aiohttp import web

from finchshed.common.context import HEADER_RAN, HEADER_REASON, HEADER_SERVICE
from finchshed.proof.history import HEADER_ANSWER_ROOT, HEADER_CALL
from finchshed.standins import answers
from finchshed.standins.records import BackendEvent, BackendRecord, RecordWriter, monotonic
from finchshed.standins.settings import BackendSettings, DownstreamCall

CONTEXT_PREFIX = "finchshed-"
FIRST_ERROR_STATUS = 400
"""Lowest status of client and server errors (RFC 9110, 15)."""


class DownstreamCallError(Exception):
    """A downstream service refused a call or failed."""

    def __init__(self, service: str, status: int, retry_after: str) -> None:
        super().__init__(f"{service} answered {status}")
        self.retry_after = retry_after


class DownstreamCallResult(msgspec.Struct, frozen=True):
    """Result of a call to a downstream service."""

    status: int = 0
    ran: str = ""
    reason: str = ""
    root: str = ""
    problem: str = ""


class DownstreamCalls:
    """Makes all downstream calls of a request concurrently."""

    def __init__(
        self, settings: BackendSettings, session: aiohttp.ClientSession, records: RecordWriter
    ) -> None:
        self._backend = settings.name
        self._calls = settings.calls
        self._base = f"http://{settings.daemon_address}"
        self._session = session
        self._records = records

    async def call_all(self, run: str, request: web.Request) -> None:
        """Make all downstream calls that ``run`` needs to serve ``request``.

        Raises
        ------
        DownstreamCallError
            If a service refused a call, failed or could not be reached.
        """
        context = {
            name.lower(): value
            for name, value in request.headers.items()
            if name.lower().startswith(CONTEXT_PREFIX)
        }
        numbers = itertools.count()
        outcomes = await asyncio.gather(
            *(
                self._call(call, run, f"{run}/{next(numbers)}", context)
                for call in self._calls
                if request.path.startswith(call.prefix)
            ),
            return_exceptions=True,
        )
        for outcome in outcomes:
            if isinstance(outcome, BaseException):
                raise outcome

    async def _call(
        self, call: DownstreamCall, run: str, name: str, context: dict[str, str]
    ) -> None:
        headers = {
            **context,
            HEADER_SERVICE: call.service,
            HEADER_CALL: name,
            answers.HEADER_IDENTITY: name,
        }
        self._record_event(BackendEvent.CALL_BEGAN, call, run, name)
        try:
            async with self._session.get(self._base + call.path, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientError as error:
            self._record_event(
                BackendEvent.CALL_ENDED, call, run, name, DownstreamCallResult(ran="unknown")
            )
            raise DownstreamCallError(call.service, 0, "") from error
        received = {key.lower(): value for key, value in response.headers.items()}
        succeeded = response.status < FIRST_ERROR_STATUS
        result = DownstreamCallResult(
            status=response.status,
            ran=received.get(HEADER_RAN, "yes" if succeeded else "unknown"),
            reason=received.get(HEADER_REASON, ""),
            root=received.get(HEADER_ANSWER_ROOT, ""),
            problem=answers.find_answer_problem(name, body, received, b"") if succeeded else "",
        )
        self._record_event(BackendEvent.CALL_ENDED, call, run, name, result)
        if not succeeded:
            retry_after = received.get("retry-after", "")
            raise DownstreamCallError(call.service, response.status, retry_after)

    def _record_event(
        self,
        event: BackendEvent,
        call: DownstreamCall,
        run: str,
        name: str,
        result: DownstreamCallResult | None = None,
    ) -> None:
        result = result or DownstreamCallResult()
        self._records.write(
            BackendRecord(
                at=monotonic(),
                backend=self._backend,
                event=event,
                call=name,
                run=run,
                root=result.root,
                service=call.service,
                status=result.status,
                ran=result.ran,
                reason=result.reason,
                problem=result.problem,
            )
        )

"""Calls a stand-in back end makes on to further services, through its own daemon.

Owns the names of these calls and their records; relies on the daemon for repeats and budgets.
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
from finchshed.standins.settings import BackendSettings, CallOn

CONTEXT_PREFIX = "finchshed-"
SUCCESS_BELOW = 400
"""Statuses from here on are refusals and errors (RFC 9110, 15)."""


class ChildRefusedError(Exception):
    """A further service gave no whole answer."""

    def __init__(self, service: str, status: int, retry_after: str) -> None:
        super().__init__(f"{service} answered {status}")
        self.retry_after = retry_after


class CallEnd(msgspec.Struct, frozen=True):
    """How a call on to another service ended."""

    status: int = 0
    ran: str = ""
    reason: str = ""
    root: str = ""
    problem: str = ""


class ChildCalls:
    """Makes the calls a request needs, all at once."""

    def __init__(
        self, settings: BackendSettings, session: aiohttp.ClientSession, records: RecordWriter
    ) -> None:
        self._backend = settings.name
        self._calls = settings.calls
        self._base = f"http://{settings.daemon_address}"
        self._session = session
        self._records = records

    async def call_all(self, run: str, request: web.Request) -> None:
        """Make all calls that ``run`` needs to serve ``request``.

        Raises
        ------
        ChildRefusedError
            If a service refused or failed.
        """
        context = {
            name.lower(): value
            for name, value in request.headers.items()
            if name.lower().startswith(CONTEXT_PREFIX)
        }
        numbers = itertools.count()
        results = await asyncio.gather(
            *(
                self._call(call, run, f"{run}/{next(numbers)}", context)
                for call in self._calls
                if request.path.startswith(call.prefix)
            ),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _call(self, call: CallOn, run: str, name: str, context: dict[str, str]) -> None:
        headers = {
            **context,
            HEADER_SERVICE: call.service,
            HEADER_CALL: name,
            answers.HEADER_IDENTITY: name,
        }
        self._note(BackendEvent.CALL_BEGAN, call, run, name)
        try:
            async with self._session.get(self._base + call.path, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientError as error:
            self._note(BackendEvent.CALL_ENDED, call, run, name, CallEnd(ran="unknown"))
            raise ChildRefusedError(call.service, 0, "") from error
        received = {key.lower(): value for key, value in response.headers.items()}
        succeeded = response.status < SUCCESS_BELOW
        ended = CallEnd(
            status=response.status,
            ran=received.get(HEADER_RAN, "yes" if succeeded else "unknown"),
            reason=received.get(HEADER_REASON, ""),
            root=received.get(HEADER_ANSWER_ROOT, ""),
            problem=answers.problem_of(name, body, received, b"") if succeeded else "",
        )
        self._note(BackendEvent.CALL_ENDED, call, run, name, ended)
        if not succeeded:
            retry_after = received.get("retry-after", "")
            raise ChildRefusedError(call.service, response.status, retry_after)

    def _note(
        self, event: BackendEvent, call: CallOn, run: str, name: str, ended: CallEnd | None = None
    ) -> None:
        ended = ended or CallEnd()
        self._records.write(
            BackendRecord(
                at=monotonic(),
                backend=self._backend,
                event=event,
                call=name,
                run=run,
                root=ended.root,
                service=call.service,
                status=ended.status,
                ran=ended.ran,
                reason=ended.reason,
                problem=ended.problem,
            )
        )

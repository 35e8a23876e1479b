"""Sessions at the serving side of an emulated daemon: which requests open one, and which may.

Owns the production ``SessionTable`` of one life of the daemon.
"""

from typing import Final

from finchshed.common.outcomes import RefusalReason
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.daemons.work import Work
from finchshed.session.table import NotOpened, SessionTable

SESSION_IDLE_SECONDS: Final = 60.0
"""A session unused for this long has ended; the default of a declared service."""


class ServingSessions:
    """Sessions admitted at one back end."""

    def __init__(self, process: Process, back_end: BackEnd) -> None:
        self._process = process
        self._back_end = back_end
        self._table = SessionTable()

    def is_running(self, work: Work) -> bool:
        """Whether the call belongs to a session that was opened here."""
        return bool(work.session and self._table.get(work.session))

    def open_for(self, work: Work) -> RefusalReason | None:
        """Open the call's session, if it has one; return why that can't be."""
        session = work.session
        if not session:
            return None
        opened = self._table.open(
            session,
            self._back_end.service,
            self._back_end.endpoint,
            max_sessions=self._back_end.max_sessions,
            idle_seconds=SESSION_IDLE_SECONDS,
            now=self._process.now,
        )
        if isinstance(opened, NotOpened):
            return opened.reason
        work.opens_session = opened.is_new
        self._table.on_request(session, self._process.now)
        return None

    def admitted(self, work: Work) -> None:
        """Take note that the gate let the call in."""
        if work.session:
            self._table.admit(work.session)

    def refused(self, work: Work) -> None:
        """Take note that the gate refused the call: a session it would have opened is none."""
        if work.opens_session:
            self._table.refuse(work.session)

    def answered(self, work: Work) -> None:
        """Take note of the end of the call."""
        if work.session:
            self._table.on_answer(work.session, self._process.now)

    def end_all(self) -> None:
        """Send the sessions away: their requests are refused as draining from now on."""
        self._table = SessionTable()

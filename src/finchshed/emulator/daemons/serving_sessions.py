"""Sessions at the serving side of an emulated daemon, over the production ``SessionTable``."""

from typing import Final

from finchshed.common.outcomes import RefusalReason
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.daemons.inbound_call import SimulatedInboundCall
from finchshed.emulator.daemons.process import Process
from finchshed.session.table import NotOpened, SessionTable

SESSION_IDLE_SECONDS: Final = 60.0
"""Idle timeout of a session; the default of a declared service."""


class ServingSessions:
    """Sessions of one back end, for one generation of its daemon."""

    def __init__(self, process: Process, back_end: BackEnd) -> None:
        self._process = process
        self._back_end = back_end
        self._table = SessionTable()

    def is_running(self, inbound: SimulatedInboundCall) -> bool:
        """Whether the call belongs to a session opened at this back end."""
        return bool(inbound.session and self._table.get(inbound.session))

    def open_for(self, inbound: SimulatedInboundCall) -> RefusalReason | None:
        """Open the call's session if it has one; return the reason if it is refused."""
        session = inbound.session
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
        inbound.opens_session = opened.is_new
        self._table.on_request(session, self._process.now)
        return None

    def admitted(self, inbound: SimulatedInboundCall) -> None:
        """Handle the admission of the call."""
        if inbound.session:
            self._table.admit(inbound.session)

    def refused(self, inbound: SimulatedInboundCall) -> None:
        """Handle the refusal of the call, which discards a session that it opened."""
        if inbound.opens_session:
            self._table.refuse(inbound.session)

    def answered(self, inbound: SimulatedInboundCall) -> None:
        """Handle the end of the call."""
        if inbound.session:
            self._table.on_answer(inbound.session, self._process.now)

    def end_all(self) -> None:
        """End all sessions; their requests are refused as draining from now on."""
        self._table = SessionTable()

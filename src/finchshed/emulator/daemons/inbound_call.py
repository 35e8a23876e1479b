"""State of a call that an emulated daemon serves."""

from dataclasses import dataclass

import msgspec

from finchshed.common.context import CallContext
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.emulator.daemons.accepted_link import CallMessage, SimulatedAcceptedLink
from finchshed.emulator.request import Cancel


@dataclass(slots=True, eq=False)
class SimulatedInboundCall:
    """A call from its arrival until its reply."""

    token: int
    link: SimulatedAcceptedLink
    message: CallMessage
    deadline: float
    state: InboundCallState = InboundCallState.QUEUED
    is_cancelled: bool = False
    account: str = ""
    opens_session: bool = False
    ledger_attempt: str = ""
    ledger_requested_at: float = 0.0
    cancel_back_end: Cancel | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.message.request.repeatable

    @property
    def session(self) -> str:
        """Session pinned to this back end, or empty for nested calls, which only carry its name."""
        request = self.message.request
        return "" if request.parent else request.session

    def rank_context(self) -> CallContext:
        """Return the context used for ranking, without the session if this call opens it."""
        context = self.message.context
        return msgspec.structs.replace(context, session="") if self.opens_session else context

"""One call being served by an emulated daemon."""

from dataclasses import dataclass

import msgspec

from finchshed.common.context import CallContext
from finchshed.daemon.serving.work_state import WorkState
from finchshed.emulator.daemons.accepted_link import AcceptedLink, CallMessage
from finchshed.emulator.request import Cancel


@dataclass(slots=True, eq=False)
class Work:
    """One call being served."""

    token: int
    link: AcceptedLink
    message: CallMessage
    deadline: float
    state: WorkState = WorkState.QUEUED
    abandoned: bool = False
    account: str = ""
    opens_session: bool = False
    ledger_attempt: str = ""
    asked_at: float = 0.0
    cancel_back_end: Cancel | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.message.request.repeatable

    @property
    def session(self) -> str:
        """Session that is pinned to this back end; calls further down only carry its name."""
        request = self.message.request
        return "" if request.parent else request.session

    def rank_context(self) -> CallContext:
        """Return the context the call is ranked by: a session it opens is not running yet."""
        context = self.message.context
        return msgspec.structs.replace(context, session="") if self.opens_session else context

"""State of one call received from another daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.common.context import CallContext
from finchshed.common.memory_budget import Holding
from finchshed.daemon.backend.client import BackendResult
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.daemon.serving.served_requests import ServedRequest
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call


@dataclass(slots=True)
class InboundCall:
    """A call in progress. Times are in monotonic seconds.

    Attributes
    ----------
    token
        Identifies the call at the gate and in the suspect queue.
    context
        Determines the call's admission rank and is inherited by the calls made for it.
    route
        Prefix of the matched route, or the route's name if it was matched by host.
    repeatable
        Whether it may run more than once.
    opens_session
        Whether it is the first call of its session, which ends if the call is refused.
    abandoned
        Whether the caller cancelled. A non-repeatable call that was already sent still runs to its
        end, so that a resend gets its answer.
    started
        When it was sent to the back end; 0 before.
    ledger_key
        Key in the at-most-once ledger, for a non-repeatable call.
    attempt
        Identity of this attempt in the ledger.
    memory
        Memory of its body.
    result
        Latest result of the back end; None before.
    signature
        Computes the signature shared by all attempts of the same request.
    """

    token: int
    link: AcceptedLink
    call: Call
    context: CallContext
    arrived: float
    deadline: float
    route: str
    repeatable: bool
    in_session: bool
    opens_session: bool
    max_body_bytes: int
    state: InboundCallState = InboundCallState.QUEUED
    abandoned: bool = False
    served: ServedRequest | None = None
    cancel_backend: Callable[[], object] | None = None
    started: float = 0.0
    ledger_key: str = ""
    attempt: str = ""
    result: BackendResult | None = None
    memory: Holding | None = None
    signature: Callable[[], str] = str

    @property
    def is_by_host(self) -> bool:
        """Whether the calling daemon routed it by host."""
        return bool(self.call.route)

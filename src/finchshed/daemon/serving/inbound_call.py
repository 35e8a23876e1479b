"""One call from another daemon, on its way through the daemon beside the back end."""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.common.context import CallContext
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.daemon.serving.served_requests import ServedRequest
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call


@dataclass(slots=True)
class InboundCall:
    """A call in progress. Times are monotonic seconds; ``started`` is 0 until it was sent.

    ``context`` is what it is ranked by and what its own calls inherit. ``route`` is the prefix of
    the route it falls under. ``opens_session``: its session was admitted with it, and
    ends if it is refused. ``abandoned``: the caller has given up; what may not be
    repeated and was sent is nevertheless run to its end, so that a resend gets its answer.
    ``signature`` gives what is equal for all tries of the same work.
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
    signature: Callable[[], str] = str

    @property
    def is_by_host(self) -> bool:
        """Whether the calling daemon took it under a route of its host."""
        return bool(self.call.route)

"""One attempt of a call, as passed from the call to :class:`DaemonLinks`."""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.common.outcomes import RefusalReason
from finchshed.daemon.request import Request
from finchshed.link.messages import Reply
from finchshed.link.peer import PeerLink


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to an endpoint.

    Exactly one of ``on_reply`` and ``on_unsent`` is called, or neither if the attempt is cancelled.

    Attributes
    ----------
    allocated_attempts
        Retries from the root request's budget that the callee may spend.
    admitted_fraction
        Lowest admitted fraction of the request's class along the path so far.
    deadline
        Monotonic seconds.
    repeated
        Whether an earlier attempt of the call may have run.
    on_reply
        Called with the reply, or with None if the link broke after the request was sent.
    on_unsent
        Called with the reason and detail if the request was never sent.
    link
        Link the request was sent on; set by :class:`DaemonLinks`.
    call_number
        Number of the call on ``link``; set by :class:`DaemonLinks`.
    """

    request: Request
    allocated_attempts: int
    admitted_fraction: float
    deadline: float
    on_reply: Callable[[Reply | None], None]
    on_unsent: Callable[[RefusalReason, str], None]
    repeated: bool = False
    is_cancelled: bool = False
    link: PeerLink | None = None
    call_number: int = 0

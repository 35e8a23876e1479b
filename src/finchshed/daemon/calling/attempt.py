"""One attempt of a call, as it is handed to the links.

Owned by the call; the links fill in the last fields when they send it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from finchshed.common.outcomes import RefusalReason
from finchshed.daemon.request import Request
from finchshed.link.messages import Reply
from finchshed.link.peer import PeerLink


@dataclass(slots=True)
class Attempt:
    """One attempt of a call on its way to an endpoint.

    ``on_reply`` is called with the reply, or None if the link broke after the send;
    ``on_unsent`` if it was never sent. Exactly one of them is called, unless it is withdrawn.

    Attributes
    ----------
    lent_attempts
        Spare attempts of the root request that go with it.
    admitted_fraction
        Least fraction of its class that was admitted on the way.
    deadline
        Monotonic seconds.
    number
        That of the call on ``link``.
    """

    request: Request
    lent_attempts: int
    admitted_fraction: float
    deadline: float
    on_reply: Callable[[Reply | None], None]
    on_unsent: Callable[[RefusalReason, str], None]
    is_cancelled: bool = False
    link: PeerLink | None = None
    call_number: int = 0

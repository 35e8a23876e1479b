"""The context a request carries along its call graph, and its HTTP headers.

A back end that calls on copies the ``finchshed-*`` headers of the request it serves to the
requests it sends through its own daemon; it need not understand them.
"""

import msgspec

from finchshed.common.importance import Importance

HEADER_ROOT = "finchshed-root"
"""Identity of the root request; equal on every hop and on every repeat."""

HEADER_ACCOUNT = "finchshed-account"
"""Identity of the retry account that the daemon beside the back end keeps for this call."""

HEADER_DEADLINE = "finchshed-deadline-ms"
"""Milliseconds left until the root request's deadline, at the time of sending."""

HEADER_IMPORTANCE = "finchshed-importance"
"""Importance of the root request, as a decimal number."""

HEADER_SESSION = "finchshed-session"
"""Identity of the session the request belongs to, if any."""

HEADER_SESSION_AT = "finchshed-session-at"
"""Name of the endpoint that serves the session: on its answers, and sent back by the client."""

HEADER_SERVICE = "finchshed-service"
"""Name of the service a caller asks for."""

HEADER_CALLER = "finchshed-caller"
"""Identity of the outside caller, used for fairness within a class."""

HEADER_DOWNSTREAM = "finchshed-downstream"
"""On a server error: reason why a call the back end made for this request was not answered.

Set by the daemon beside the back end, which saw that call end; the back end is not at fault.
"""

HEADER_RAN = "finchshed-ran"
"""On a refusal or failure: ``no`` or ``unknown``."""

HEADER_REASON = "finchshed-reason"
"""On a refusal or failure: the reason's name."""

HEADER_RETRY_AFTER_MS = "finchshed-retry-after-ms"
"""On a refusal or failure: when to come back, finer than Retry-After (RFC 9110, 10.2.3)."""

HEADER_IDEMPOTENCY_KEY = "idempotency-key"
"""Key of a request that may not be repeated (IETF draft-ietf-httpapi-idempotency-key-header)."""


class CallContext(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a call inherits from its root request.

    Attributes
    ----------
    root
        Identity of the root request.
    importance
        Class the request is shed by.
    remaining_seconds
        Time left until the deadline when the message was sent. Clocks of machines are not
        compared.
    spare_attempts
        Retries this call, with everything below it, may still spend.
    depth
        Number of hops from the root request.
    caller
        Identity of the outside caller, for fairness within a class.
    session
        Identity of the session, or empty.
    key
        Idempotency key of a request that may not be repeated, or empty.
    position
        Position of the root request within its class, set where it enters so that no caller
        of a class crowds out the others (see :mod:`finchshed.admission.fairness`); -1 if not set.
    is_call
        Whether it is a call made for a request that was admitted as a whole.
    admitted_fraction
        Fraction of its class that was admitted when its root request was.
    announced_calls
        Calls to the service that this one stands for in estimates of demand. The first call of a
        request stands for all that it is expected to make there and the later ones for none, so
        a request that breaks off early doesn't hide what it would have asked for.
    """

    root: str
    importance: Importance
    remaining_seconds: float
    spare_attempts: int = 0
    depth: int = 0
    caller: str = ""
    session: str = ""
    key: str = ""
    position: int = -1
    is_call: bool = False
    admitted_fraction: float = msgspec.field(default=1.0, name="admitted_share")
    announced_calls: float = 1.0

    @property
    def is_admitted(self) -> bool:
        """Whether it belongs to something admitted as a whole: it waits, and isn't shed."""
        return self.is_call or bool(self.session)

    def for_attempt(
        self, remaining_seconds: float, spare_attempts: int, admitted_fraction: float = 1.0
    ) -> "CallContext":
        """Return the context as one attempt carries it to the next hop."""
        return CallContext(
            self.root,
            self.importance,
            remaining_seconds,
            spare_attempts,
            self.depth,
            self.caller,
            self.session,
            self.key,
            self.position,
            self.is_call,
            min(self.admitted_fraction, admitted_fraction),
            self.announced_calls,
        )

"""Context that a request carries along its call graph, and its HTTP headers.

A back end copies the ``finchshed-*`` headers of the request it serves to the calls it makes through
its daemon, without interpreting them.
"""

import msgspec

from finchshed.common.importance import Importance

HEADER_ROOT = "finchshed-root"
"""Identity of the root request; the same on every hop and every retry."""

HEADER_ACCOUNT = "finchshed-account"
"""Identity of the retry account that the back end's daemon keeps for this call."""

HEADER_DEADLINE = "finchshed-deadline-ms"
"""Milliseconds left until the root request's deadline, at the time of sending."""

HEADER_IMPORTANCE = "finchshed-importance"
"""Importance of the root request, as a decimal number."""

HEADER_SESSION = "finchshed-session"
"""Identity of the session the request belongs to, if any."""

HEADER_SESSION_AT = "finchshed-session-at"
"""Name of the endpoint that serves the session; set on answers and returned by the client."""

HEADER_SERVICE = "finchshed-service"
"""Name of the requested service."""

HEADER_CALLER = "finchshed-caller"
"""Identity of the external caller, used for fairness within a class."""

HEADER_DOWNSTREAM = "finchshed-downstream"
"""On a server error: why a downstream call made for this request was not answered.

Set by the back end's daemon; shows that the back end itself is not at fault.
"""

HEADER_RAN = "finchshed-ran"
"""On a refusal or failure: whether the request ran, ``no`` or ``unknown``."""

HEADER_REASON = "finchshed-reason"
"""On a refusal or failure: name of the reason."""

HEADER_RETRY_AFTER_MS = "finchshed-retry-after-ms"
"""On a refusal or failure: retry-after time, finer than Retry-After (RFC 9110, 10.2.3)."""

HEADER_IDEMPOTENCY_KEY = "idempotency-key"
"""Key of a request that must not run twice (IETF draft-ietf-httpapi-idempotency-key-header)."""


class CallContext(msgspec.Struct, frozen=True, omit_defaults=True):
    """Properties that a call inherits from its root request.

    Attributes
    ----------
    root
        Identity of the root request.
    importance
        Importance class, which determines how early the request is shed.
    remaining_seconds
        Time left until the deadline when the message was sent; absolute clocks are not compared.
    spare_attempts
        Retries still available to this call and its downstream calls.
    depth
        Number of hops from the root request.
    caller
        Identity of the external caller, for fairness within a class.
    session
        Identity of the session, or empty.
    key
        Idempotency key of a request that must not run twice, or empty.
    position
        Position of the root request within its class, assigned at the edge for fairness between
        callers (see :mod:`finchshed.admission.fairness`); -1 if not set.
    is_call
        Whether it is a call made for a request that was already admitted.
    admitted_fraction
        Fraction of its class that was admitted when its root request was.
    announced_calls
        Number of calls to the service that this one represents in demand estimates. The first call
        of a request represents all that it is expected to make there, and later ones none, so that
        demand isn't underestimated if the request ends early.
    remaining_calls
        Number of calls that the root request is still expected to make after this one.
    repeated
        Whether the execution that makes this call repeats an earlier one; in the context of an
        attempt, whether its own execution may do so.
    returning
        Whether the root request came back at the time reserved for it after a refusal.
    target_seconds
        Latency objective, which bounds the time in the queue of a gate; 0 for no such bound.
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
    remaining_calls: int = 0
    repeated: bool = False
    returning: bool = False
    target_seconds: float = 0.0

    @property
    def is_admitted(self) -> bool:
        """Whether its session or root request was already admitted, so that it isn't shed."""
        return self.is_call or bool(self.session)

    def for_attempt(
        self,
        remaining_seconds: float,
        spare_attempts: int,
        admitted_fraction: float = 1.0,
        *,
        repeated: bool = False,
    ) -> "CallContext":
        """Return the context that one attempt passes to the next hop.

        ``repeated`` tells whether an earlier attempt of the call may have run.
        """
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
            self.remaining_calls,
            self.repeated or repeated,
            self.returning,
            self.target_seconds,
        )

"""What the state machine of a call asks its runner to do."""

from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import Outcome
from finchshed.configuration.resources import Endpoint


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send attempt number ``attempt`` to an endpoint.

    Attributes
    ----------
    allocated_attempts
        Spare attempts that it carries in its context.
    report_age, in_flight
        What the endpoint was chosen by, for the log: seconds since its load report (negative: none
        came), and the calls under way there.
    admitted_fraction
        Fraction of the request's class admitted with it.
    """

    attempt: int
    endpoint: Endpoint
    allocated_attempts: int
    report_age: float = -1.0
    in_flight: int = 0
    admitted_fraction: float = 1.0


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Cancel the attempt at its endpoint; its outcome is no longer wanted."""

    attempt: int
    endpoint: Endpoint


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Call ``CallStateMachine.on_timer`` at ``at`` (monotonic seconds); it replaces a timer set."""

    at: float


class Finish(msgspec.Struct, frozen=True, gc=False):
    """The call is over. ``spare_returned`` attempts of what the call was lent are left."""

    outcome: Outcome
    spare_returned: int


CallerEffect: TypeAlias = SendAttempt | CancelAttempt | SetTimer | Finish

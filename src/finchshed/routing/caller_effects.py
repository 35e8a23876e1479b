"""Effects returned by the state machine of a call, carried out by its runner."""

from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import Outcome
from finchshed.configuration.resources import Endpoint


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send attempt number ``attempt`` to an endpoint.

    Attributes
    ----------
    allocated_attempts
        Spare attempts passed on in its context.
    report_age, in_flight
        State of the endpoint when it was chosen, for the log: seconds since its load report
        (negative: no report), and calls in flight.
    admitted_fraction
        Fraction of the request's class that the endpoint admits.
    repeated
        Whether an earlier attempt of the call may have run.
    """

    attempt: int
    endpoint: Endpoint
    allocated_attempts: int
    report_age: float = -1.0
    in_flight: int = 0
    admitted_fraction: float = 1.0
    repeated: bool = False


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Cancel an attempt; its outcome will be ignored."""

    attempt: int
    endpoint: Endpoint


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Call ``CallStateMachine.on_timer`` at ``at`` (monotonic seconds); replaces other timers."""

    at: float


class Finish(msgspec.Struct, frozen=True, gc=False):
    """End the call. ``spare_returned`` of its allocated attempts are unused."""

    outcome: Outcome
    spare_returned: int


CallerEffect: TypeAlias = SendAttempt | CancelAttempt | SetTimer | Finish

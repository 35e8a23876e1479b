"""Records of decisions, one line each in the log stream. See docs/OPERATIONS.md for their use.

Times are Unix seconds; durations are in milliseconds, as their names say. ``id`` is the identity a
caller gave its request, ``root`` that of the request all of it began with.
"""

import msgspec


class AttemptRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One sending of a request to an endpoint, and why that endpoint.

    Attributes
    ----------
    report_ms
        Age of the endpoint's load report when it was chosen; negative: there was none.
    in_flight
        Calls that this daemon had under way there.
    """

    endpoint: str
    outcome: str
    ms: float
    reason: str = ""
    report_ms: float = -1.0
    in_flight: int = 0


class RequestEnded(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="request_ended", tag_field="event"
):
    """A request that a daemon took has its final outcome.

    ``attempts`` is empty where it was refused before any sending, ``service`` where that was so
    before one was chosen. ``revision`` is that of the configuration in force, ``tenant`` the one
    that holds the request's API key. ``signature`` is equal for all tries of the same work; it is
    told of what failed.
    """

    time: float
    id: str
    root: str
    service: str
    route: str
    importance: int
    outcome: str
    ms: float
    reason: str = ""
    detail: str = ""
    status: int = 0
    retry_after_ms: float = 0.0
    is_call: bool = False
    revision: int = 0
    tenant: str = ""
    signature: str = ""
    attempts: tuple[AttemptRecord, ...] = ()


class CallEnded(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="call_ended", tag_field="event"
):
    """A call that came to the daemon beside a back end has ended there.

    Attributes
    ----------
    instance
        Start of the back end it was for.
    queued_ms, ran_ms
        Time it waited and time at the back end; ``ran_ms`` is negative where it was never sent.
    rank, threshold
        What it was admitted by: its admission rank and the threshold in force at its end.
    running, queued, limit
        Load of the gate at its end.
    """

    time: float
    id: str
    root: str
    service: str
    instance: str
    outcome: str
    queued_ms: float
    ran_ms: float = -1.0
    reason: str = ""
    detail: str = ""
    status: int = 0
    rank: int = 0
    threshold: int = 0
    running: int = 0
    queued: int = 0
    limit: int = 0
    caller: str = ""
    signature: str = ""


class BackendEnded(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="backend_ended", tag_field="event"
):
    """A back end ended while it ran requests: their connections broke, and it takes no new ones.

    Attributes
    ----------
    running
        Requests that broke with it.
    signatures
        Theirs, the first ones of many.
    """

    time: float
    instance: str
    service: str
    running: int
    signatures: tuple[str, ...]


class StateChanged(msgspec.Struct, frozen=True, omit_defaults=True, tag="state", tag_field="event"):
    """The process started, stopped, or believes something else than before."""

    time: float
    level: str
    module: str
    message: str

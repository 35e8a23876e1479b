"""Log stream records of admission and routing decisions. See docs/OPERATIONS.md for their use.

Times are Unix seconds; durations are in milliseconds (``_ms``). ``id`` is the identity that the
caller assigned to its request, ``root`` the identity of the root request of the call tree.
"""

import msgspec


class AttemptRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt to send a request to an endpoint.

    Attributes
    ----------
    report_ms
        Age of the endpoint's load report when it was selected; negative if there was none.
    in_flight
        Calls of this daemon in progress at the endpoint.
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
    """A request received by a daemon reached its final outcome.

    ``attempts`` is empty if the request was refused before the first attempt; ``service`` is empty
    if it was refused before routing. ``revision`` is the configuration revision in force, and
    ``tenant`` is the owner of the request's API key. ``signature`` is the same for all retries of
    the same work; it is set for failures.
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


class ReturnTold(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="return_told", tag_field="event"
):
    """A refused client was told when to return; precedes its answer.

    Attributes
    ----------
    reason
        Reason of the refusal.
    retry_after_ms
        Time until the return.
    is_reserved
        Whether capacity is reserved for it then.
    returned
        Whether the request had returned with a reservation: ``due``, ``early`` or ``none``.
    requests_per_second
        Upcoming capacity that reservations are made of: admitted requests of the last second.
    ahead
        Reservations of its class made before.
    left_ms
        Time left until the client's deadline; negative if it states none.
    """

    time: float
    id: str
    service: str
    importance: int
    reason: str
    retry_after_ms: float
    is_reserved: bool = False
    returned: str = "none"
    requests_per_second: float = 0.0
    ahead: int = 0
    left_ms: float = -1.0


class SendingRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a call was sent to the back end, and which answer was taken as its own.

    Attributes
    ----------
    connection
        Number of the connection, in the order in which the daemon opened them.
    request
        Number of the request on it, from 1.
    status
        Status of the answer; 0 if none was taken.
    not_run
        What in the answer says that the call did not run, ``header`` or ``status``; empty if
        nothing does.
    """

    connection: int
    request: int
    status: int = 0
    not_run: str = ""


class ExtraAnswer(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="extra_answer", tag_field="event"
):
    """The back end sent bytes that answer no request, or another one than the one in progress.

    Attributes
    ----------
    id
        Identity of the request that waits for its answer; empty if none does.
    connection, request
        Number of the connection, and of the latest request on it.
    size
        Number of the bytes.
    named
        Identity that the answer names; empty if it names none or wasn't read.
    """

    time: float
    id: str
    connection: int
    request: int
    size: int
    named: str = ""


class CallEnded(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="call_ended", tag_field="event"
):
    """A call received by the daemon of a back end ended there.

    Attributes
    ----------
    instance
        Identity of the back end process, which changes at each start.
    queued_ms, ran_ms
        Time in the queue and at the back end; ``ran_ms`` is negative if the call was never sent.
    rank, threshold
        Admission rank of the call and the threshold in force when it ended.
    running, queued, limit
        Load of the admission gate when the call ended.
    sending
        How it was sent to the back end; None if it wasn't, or its connection was closed first.
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
    sending: SendingRecord | None = None


class BackendEnded(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="backend_ended", tag_field="event"
):
    """A back end exited or crashed while running requests.

    Attributes
    ----------
    running
        Number of requests that were interrupted.
    signatures
        Signatures of those requests, truncated if there are many.
    """

    time: float
    instance: str
    service: str
    running: int
    signatures: tuple[str, ...]


class StateChanged(msgspec.Struct, frozen=True, omit_defaults=True, tag="state", tag_field="event"):
    """The process started, stopped or changed its view of the system."""

    time: float
    level: str
    module: str
    message: str

"""Requests that reach an emulated daemon: of outside callers, and of the back end beside it.

Owns the root requests in progress with the repeats that joined them, the session pins and the
retry buckets of one life of the daemon. Every decision is a production class's; counterpart of
:mod:`finchshed.daemon.ingress`.
"""

from dataclasses import dataclass, field

from finchshed.admission.fairness import FairPositions
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.configuration.resources import Policy
from finchshed.daemon.calling.session_pins import SessionPins
from finchshed.daemon.request import Request as DaemonRequest
from finchshed.emulator.daemons.callee import SimulatedCallee
from finchshed.emulator.daemons.outgoing import CallingProcess, OnFinish, SimulatedOutgoingCall
from finchshed.emulator.daemons.serving_sessions import SESSION_IDLE_SECONDS
from finchshed.emulator.request import Cancel, Done, SimulatedRequest
from finchshed.retry.account import RetryAccounts
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.policy import retry_after
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.table import RoutingTable


@dataclass(slots=True, eq=False)
class _Joined:
    """A root request in progress, and the repeats that joined it."""

    outgoing: SimulatedOutgoingCall
    waiting: dict[str, Done] = field(default_factory=dict)


class IncomingRequests:
    """Sends on the requests that come in, in one life of a daemon.

    Attributes
    ----------
    in_progress
        Number of requests sent on and not ended yet.
    """

    def __init__(
        self,
        process: CallingProcess,
        table: RoutingTable,
        accounts: RetryAccounts,
        callee: SimulatedCallee | None,
    ) -> None:
        self._process = process
        self._table = table
        self._accounts = accounts
        self._callee = callee
        self._policy = Policy()
        self._buckets: dict[str, RetryBucket] = {}
        self._joined: dict[str, _Joined] = {}
        self._pins = SessionPins()
        self._fair = FairPositions(process.now)
        self.in_progress = 0

    def set_policy(self, policy: Policy) -> None:
        """Act on a policy; another ratio of retries begins with new buckets."""
        if policy.retry_ratio != self._policy.retry_ratio:
            self._buckets.clear()
        self._policy = policy

    def take(self, request: SimulatedRequest, answer: Done) -> Cancel:
        """Send a request on; one of a root request in progress joins it."""
        if request.parent:
            return self._call_on(request, answer)
        held = self._joined.get(request.root)
        if held is not None:
            held.waiting[request.call] = answer
        else:
            held = self._start_root(request, answer)
        joined = held
        return lambda: self._leave(joined, request.call)

    def _start_root(self, request: SimulatedRequest, answer: Done) -> _Joined:
        context = CallContext(
            request.root,
            request.importance,
            request.deadline - self._process.now,
            self._policy.retry_budget,
            0,
            request.caller,
            request.session,
            request.key,
            self._fair.assign_position(
                request.caller, request.importance, request.root, self._process.now
            ),
        )

        def finished(outcome: Outcome, _spare: int) -> None:
            self.in_progress -= 1
            self._joined.pop(request.root, None)
            self._pins.on_request_ended(
                pinned, joined.outgoing.endpoint, outcome, self._process.now
            )
            waiting = list(joined.waiting.values())
            joined.waiting.clear()
            for waiter in waiting:
                waiter(outcome)

        pinned = _as_pinned(request, context)
        endpoint = self._pins.pinned_endpoint(pinned, self._table, self._process.now)
        joined = _Joined(self._outgoing(request, context, endpoint, finished))
        joined.waiting[request.call] = answer
        self._joined[request.root] = joined
        self.in_progress += 1
        joined.outgoing.begin()
        self._pins.on_request_sent(
            pinned, joined.outgoing.endpoint, SESSION_IDLE_SECONDS, self._process.now
        )
        return joined

    def _leave(self, joined: _Joined, call: str) -> None:
        if joined.waiting.pop(call, None) is not None and not joined.waiting:
            joined.outgoing.cancel()

    def _call_on(self, request: SimulatedRequest, answer: Done) -> Cancel:
        served = None if self._callee is None else self._callee.served(request.account)
        if self._callee is None or served is None:
            answer(Refused(RefusalReason.CANCELLED, retry_after(0.0, self._process.random)))
            return nothing
        self._callee.call_on_began(request.account, request)
        lent = self._accounts.allocate(request.account)
        context = CallContext(
            request.root,
            request.importance,
            served.deadline - self._process.now,
            lent,
            1,
            request.caller,
            served.context.session,
            request.key,
            served.context.position,
        )

        def finished(outcome: Outcome, spare: int) -> None:
            self.in_progress -= 1
            self._accounts.refund(request.account, lent, spare)
            if result_of(outcome) is not CallResult.OK:
                self._accounts.on_call_failed(request.account, request.call)
            answer(outcome)

        outgoing = self._outgoing(request, context, "", finished)
        self.in_progress += 1
        outgoing.begin()
        return outgoing.cancel

    def _outgoing(
        self, request: SimulatedRequest, context: CallContext, pinned: str, finished: OnFinish
    ) -> SimulatedOutgoingCall:
        service = request.hop.service
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = RetryBucket(
                self._policy.retry_ratio, self._process.now
            )
        logic = CallStateMachine(
            self._table,
            bucket,
            service,
            context,
            repeatable=request.repeatable,
            rng=self._process.random,
            pinned=pinned,
            route=request.kind,
        )
        return SimulatedOutgoingCall(self._process, logic, request, context, finished)


def _as_pinned(request: SimulatedRequest, context: CallContext) -> DaemonRequest:
    """Return the request as session pins see it."""
    return DaemonRequest(
        service=request.hop.service,
        method="GET",
        path="/",
        headers=(),
        body=b"",
        context=context,
        in_session=bool(request.session),
    )


def nothing() -> None:
    """Cancel a call that has ended already."""

"""HTTP requests to an emulated daemon, from external callers and from the local back end.

Repeats of a root request in progress share its outcome. Counterpart of
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
class _RootRequest:
    """A root request in progress and the callers that wait for its outcome."""

    outgoing: SimulatedOutgoingCall
    waiters: dict[str, Done] = field(default_factory=dict)


class IncomingRequests:
    """Forwards incoming requests, for one generation of a daemon.

    Attributes
    ----------
    in_progress
        Number of forwarded requests that have not finished.
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
        self._root_requests: dict[str, _RootRequest] = {}
        self._pins = SessionPins()
        self._fair_positions = FairPositions(process.now)
        self.in_progress = 0

    def set_policy(self, policy: Policy) -> None:
        """Apply a policy; a changed retry ratio resets the retry buckets."""
        if policy.retry_ratio != self._policy.retry_ratio:
            self._buckets.clear()
        self._policy = policy

    def handle(self, request: SimulatedRequest, answer: Done) -> Cancel:
        """Forward a request; a repeat of a root request in progress waits for its outcome."""
        if request.parent:
            return self._forward_nested(request, answer)
        existing = self._root_requests.get(request.root)
        if existing is not None:
            existing.waiters[request.call] = answer
        else:
            existing = self._start_root(request, answer)
        root_request = existing
        return lambda: self._remove_waiter(root_request, request.call)

    def _start_root(self, request: SimulatedRequest, answer: Done) -> _RootRequest:
        context = CallContext(
            request.root,
            request.importance,
            request.deadline - self._process.now,
            self._policy.retry_budget,
            0,
            request.caller,
            request.session,
            request.key,
            self._fair_positions.assign_position(
                request.caller, request.importance, request.root, self._process.now
            ),
        )

        def finished(outcome: Outcome, _spare: int) -> None:
            self.in_progress -= 1
            self._root_requests.pop(request.root, None)
            self._pins.on_request_ended(
                session_request, root_request.outgoing.endpoint, outcome, self._process.now
            )
            waiters = list(root_request.waiters.values())
            root_request.waiters.clear()
            for waiter in waiters:
                waiter(outcome)

        session_request = _to_daemon_request(request, context)
        endpoint = self._pins.pinned_endpoint(session_request, self._table, self._process.now)
        root_request = _RootRequest(
            self._create_outgoing_call(request, context, endpoint, finished)
        )
        root_request.waiters[request.call] = answer
        self._root_requests[request.root] = root_request
        self.in_progress += 1
        root_request.outgoing.begin()
        self._pins.on_request_sent(
            session_request, root_request.outgoing.endpoint, SESSION_IDLE_SECONDS, self._process.now
        )
        return root_request

    def _remove_waiter(self, root_request: _RootRequest, call: str) -> None:
        if root_request.waiters.pop(call, None) is not None and not root_request.waiters:
            root_request.outgoing.cancel()

    def _forward_nested(self, request: SimulatedRequest, answer: Done) -> Cancel:
        served = None if self._callee is None else self._callee.served(request.account)
        if self._callee is None or served is None:
            answer(Refused(RefusalReason.CANCELLED, retry_after(0.0, self._process.random)))
            return cancel_nothing
        self._callee.on_nested_call(request.account, request)
        allocated = self._accounts.allocate(request.account)
        context = CallContext(
            request.root,
            request.importance,
            served.deadline - self._process.now,
            allocated,
            1,
            request.caller,
            served.context.session,
            request.key,
            served.context.position,
        )

        def finished(outcome: Outcome, spare: int) -> None:
            self.in_progress -= 1
            self._accounts.refund(request.account, allocated, spare)
            if result_of(outcome) is not CallResult.OK:
                self._accounts.on_call_failed(request.account, request.call)
            answer(outcome)

        outgoing = self._create_outgoing_call(request, context, "", finished)
        self.in_progress += 1
        outgoing.begin()
        return outgoing.cancel

    def _create_outgoing_call(
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


def _to_daemon_request(request: SimulatedRequest, context: CallContext) -> DaemonRequest:
    """Return the request in the form that session pins expect."""
    return DaemonRequest(
        service=request.hop.service,
        method="GET",
        path="/",
        headers=(),
        body=b"",
        context=context,
        in_session=bool(request.session),
    )


def cancel_nothing() -> None:
    """Cancel function of a call that has already ended."""

"""Admits requests of rate-limited tenants by token, or refuses them.

Owns the token requests (asks) to the leader and the requests that wait for them. Token accounting
is in :mod:`finchshed.quota.daemon_share`.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.daemon import metrics
from finchshed.daemon.catalogue import Catalogue
from finchshed.distribution.client import ControlClient
from finchshed.quota.daemon_share import REPORT_INTERVAL_SECONDS, DaemonShare, TokenDecision
from finchshed.quota.messages import QuotaAnswer, QuotaAsk, QuotaShares, QuotaTokens
from finchshed.retry.policy import RETRY_AFTER_SPREAD, retry_after
from finchshed.runtime import clock

TOKEN_REQUEST_TIMEOUT_SECONDS = 0.15
"""Timeout of a token request; the leader normally answers within milliseconds."""

MAX_TOKENS_PER_REQUEST = 100
"""Maximum number of tokens requested at once."""

# Details of refusals for lack of a confirmation.
NO_ANSWER = "no token is held here, and control doesn't answer"
NEW_LEADER = "no token is held here, and a new leader doesn't know all shares in use yet"
OnDecided = Callable[[Refused | None], None]


@dataclass(slots=True)
class _TenantQueue:
    """A tenant's token request in progress, and the client requests that wait for tokens."""

    ask: QuotaAsk | None = None
    timer: asyncio.TimerHandle | None = None
    waiting: deque[OnDecided] = field(default_factory=deque)


class QuotaGate:
    """Rate limiter for requests at one daemon.

    Parameters
    ----------
    incarnation
        Identifier of this run of the daemon.
    started_ms
        Start of this run in Unix milliseconds.
    """

    def __init__(
        self, client: ControlClient, incarnation: str, started_ms: int, rng: random.Random
    ) -> None:
        self._client = client
        self._client.on_quota = self._on_answer
        self._share = DaemonShare(incarnation, started_ms)
        self._rng = rng
        self._queues: dict[str, _TenantQueue] = {}
        self._tenant_by_request_number: dict[int, str] = {}
        self._report_timer: asyncio.TimerHandle | None = None

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a new configuration."""
        tenants = catalogue.tenants.tenants.values()
        self._share.configure(tenants, catalogue.policy, clock.now())
        if self._share.has_limits and self._report_timer is None:
            self._report()
        elif not self._share.has_limits:
            self.close()

    def close(self) -> None:
        """Stop reporting to the leader."""
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None

    def admit(self, tenant: str, on_decided: OnDecided) -> Callable[[], None]:
        """Request a token; ``on_decided`` is called once, with None if granted or with the refusal.

        Return a callback that stops waiting for the decision.
        """
        if not self._share.is_limited(tenant):
            on_decided(None)
            return _no_op
        match self._share.take(tenant, clock.now()):
            case TokenDecision.TAKEN:
                on_decided(None)
            case TokenDecision.ASK:
                return self._wait(tenant, on_decided)
            case refused:
                on_decided(self._refusal(tenant, refused))
        return _no_op

    def refund(self, tenant: str) -> None:
        """Return the token of a request that did not run."""
        self._share.refund(tenant, clock.now())

    def _wait(self, tenant: str, on_decided: OnDecided) -> Callable[[], None]:
        queue = self._queues.setdefault(tenant, _TenantQueue())
        queue.waiting.append(on_decided)
        if queue.ask is None:
            self._request_tokens(tenant, queue)

        def stop_waiting() -> None:
            if on_decided in queue.waiting:
                queue.waiting.remove(on_decided)

        return stop_waiting

    def _request_tokens(self, tenant: str, queue: _TenantQueue) -> None:
        ask = self._share.next_token_request(
            tenant, min(MAX_TOKENS_PER_REQUEST, len(queue.waiting))
        )
        if not self._client.send_quota(ask):
            self._on_unanswered(tenant, queue)
            return
        queue.ask = ask
        self._tenant_by_request_number[ask.number] = tenant
        loop = asyncio.get_running_loop()
        queue.timer = loop.call_later(
            TOKEN_REQUEST_TIMEOUT_SECONDS, self._on_unanswered, tenant, queue
        )

    def _on_answer(self, answer: QuotaAnswer) -> None:
        now = clock.now()
        if isinstance(answer, QuotaShares):
            self._share.on_shares(answer, now)
            return
        tenant = self._tenant_by_request_number.get(answer.number)
        if tenant is not None and self._share.matches_incarnation(answer):
            self._on_tokens(tenant, self._queues[tenant], answer, now)

    def _on_tokens(self, tenant: str, queue: _TenantQueue, answer: QuotaTokens, now: float) -> None:
        ask = self._finish_token_request(queue)
        if ask is None:
            return
        self._share.on_tokens(ask, answer, self._rng.random(), now)
        for _ in range(answer.tokens):
            if queue.waiting:
                queue.waiting.popleft()(None)
            else:
                self._share.refund(tenant, now)  # the request has been cancelled
        if answer.tokens >= ask.tokens and queue.waiting:
            self._request_tokens(tenant, queue)
            return
        while queue.waiting:
            notify = queue.waiting.popleft()
            has_own = self._share.take_local(tenant, now)
            notify(None if has_own else self._refusal(tenant, self._share.denial_of(tenant)))

    def _on_unanswered(self, tenant: str, queue: _TenantQueue) -> None:
        self._finish_token_request(queue)
        now = clock.now()
        self._share.on_token_request_timeout(now)
        while queue.waiting:
            notify = queue.waiting.popleft()
            has_own = self._share.take_local(tenant, now)
            notify(None if has_own else self._unconfirmed_refusal(NO_ANSWER))

    def _finish_token_request(self, queue: _TenantQueue) -> QuotaAsk | None:
        """Clear the token request in progress and return it, or None if there is none."""
        ask, queue.ask = queue.ask, None
        if queue.timer is not None:
            queue.timer.cancel()
            queue.timer = None
        if ask is not None:
            del self._tenant_by_request_number[ask.number]
        return ask

    def _report(self) -> None:
        report = self._share.next_report(clock.now())
        if report is not None:
            self._client.send_quota(report)
        loop = asyncio.get_running_loop()
        self._report_timer = loop.call_later(REPORT_INTERVAL_SECONDS, self._report)

    def _refusal(self, tenant: str, decision: TokenDecision) -> Refused:
        match decision:
            case TokenDecision.UNREACHED:
                return self._unconfirmed_refusal(NO_ANSWER)
            case TokenDecision.UNCONFIRMED:
                return self._unconfirmed_refusal(NEW_LEADER)
            case _:
                return self._limit_refusal(tenant)

    def _limit_refusal(self, tenant: str) -> Refused:
        metrics.QUOTA_REFUSED.labels("above_limit").inc()
        seconds = self._share.retry_after_seconds(tenant, clock.now())
        spread = seconds * (1.0 + RETRY_AFTER_SPREAD * self._rng.random())
        return Refused(RefusalReason.QUOTA_EXCEEDED, spread, f"tenant {tenant} is above its limit")

    def _unconfirmed_refusal(self, detail: str) -> Refused:
        metrics.QUOTA_REFUSED.labels("unconfirmed").inc()
        return Refused(RefusalReason.QUOTA_UNCONFIRMED, retry_after(0.0, self._rng), detail)


def _no_op() -> None:
    """Do nothing; the request is already decided."""

"""Gets each request of a limited tenant its token, or refuses it.

Owns the questions to the leader and the requests that wait for an answer. The decisions are those
of the daemon's share (:mod:`finchshed.quota.daemon_share`); relies on the connection to control.
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

ASK_TIMEOUT_SECONDS = 0.15
"""Longest wait, seconds, for tokens of the reserve; an answer takes some milliseconds in a sound
network. Chosen, not measured."""

MAX_ASKED = 100
"""Most tokens asked for at once; chosen, not measured."""

OnDecided = Callable[[Refused | None], None]


@dataclass(slots=True)
class _Asking:
    """An ask under way for a tenant, and the requests that wait for it or the next."""

    ask: QuotaAsk | None = None
    timer: asyncio.TimerHandle | None = None
    waiting: deque[OnDecided] = field(default_factory=deque)


class QuotaGate:
    """Tokens for requests of one daemon.

    Parameters
    ----------
    incarnation
        This life of the daemon.
    started_ms
        When it began, Unix milliseconds.
    """

    def __init__(
        self, client: ControlClient, incarnation: str, started_ms: int, rng: random.Random
    ) -> None:
        self._client = client
        self._client.on_quota = self._on_answer
        self._share = DaemonShare(incarnation, started_ms)
        self._rng = rng
        self._asking: dict[str, _Asking] = {}
        self._by_number: dict[int, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        tenants = catalogue.tenants.tenants.values()
        self._share.configure(tenants, catalogue.policy, clock.now())
        if self._share.has_limits and self._timer is None:
            self._report()
        elif not self._share.has_limits:
            self.close()

    def close(self) -> None:
        """Report nothing more to the leader."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def admit(self, tenant: str, on_decided: OnDecided) -> Callable[[], None]:
        """Have ``on_decided`` called once: with None for a token, else with the refusal.

        Return what makes a request wait no more.
        """
        if not self._share.is_limited(tenant):
            on_decided(None)
            return _nothing
        match self._share.take(tenant, clock.now()):
            case TokenDecision.TAKEN:
                on_decided(None)
            case TokenDecision.ASK:
                return self._wait(tenant, on_decided)
            case TokenDecision.DENIED:
                on_decided(self._above_limit(tenant))
            case TokenDecision.UNREACHED:
                on_decided(self._unconfirmed())
        return _nothing

    def give_back(self, tenant: str) -> None:
        """Take back the token of a request that did not run."""
        self._share.refund(tenant, clock.now())

    def _wait(self, tenant: str, on_decided: OnDecided) -> Callable[[], None]:
        asking = self._asking.setdefault(tenant, _Asking())
        asking.waiting.append(on_decided)
        if asking.ask is None:
            self._ask(tenant, asking)

        def stop_waiting() -> None:
            if on_decided in asking.waiting:
                asking.waiting.remove(on_decided)

        return stop_waiting

    def _ask(self, tenant: str, asking: _Asking) -> None:
        ask = self._share.next_ask(tenant, min(MAX_ASKED, len(asking.waiting)))
        if not self._client.send_quota(ask):
            self._on_unanswered(tenant, asking)
            return
        asking.ask = ask
        self._by_number[ask.number] = tenant
        loop = asyncio.get_running_loop()
        asking.timer = loop.call_later(ASK_TIMEOUT_SECONDS, self._on_unanswered, tenant, asking)

    def _on_answer(self, answer: QuotaAnswer) -> None:
        now = clock.now()
        if isinstance(answer, QuotaShares):
            self._share.on_shares(answer, now)
            return
        tenant = self._by_number.get(answer.number)
        if tenant is not None and self._share.matches_incarnation(answer):
            self._on_tokens(tenant, self._asking[tenant], answer, now)

    def _on_tokens(self, tenant: str, asking: _Asking, answer: QuotaTokens, now: float) -> None:
        asked = self._end_question(asking)
        if asked is None:
            return
        self._share.on_tokens(asked, answer, self._rng.random(), now)
        for _ in range(answer.tokens):
            if asking.waiting:
                asking.waiting.popleft()(None)
            else:
                self._share.refund(tenant, now)  # of a request that left meanwhile
        if answer.tokens >= asked.tokens and asking.waiting:
            self._ask(tenant, asking)
            return
        while asking.waiting:
            decided = asking.waiting.popleft()
            has_own = self._share.take_local(tenant, now)
            decided(None if has_own else self._above_limit(tenant))

    def _on_unanswered(self, tenant: str, asking: _Asking) -> None:
        self._end_question(asking)
        now = clock.now()
        self._share.on_ask_timeout(now)
        while asking.waiting:
            decided = asking.waiting.popleft()
            decided(None if self._share.take_local(tenant, now) else self._unconfirmed())

    def _end_question(self, asking: _Asking) -> QuotaAsk | None:
        """End the ask under way, and return it."""
        ask, asking.ask = asking.ask, None
        if asking.timer is not None:
            asking.timer.cancel()
            asking.timer = None
        if ask is not None:
            del self._by_number[ask.number]
        return ask

    def _report(self) -> None:
        report = self._share.next_report(clock.now())
        if report is not None:
            self._client.send_quota(report)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_SECONDS, self._report)

    def _above_limit(self, tenant: str) -> Refused:
        metrics.QUOTA_REFUSED.labels("above_limit").inc()
        seconds = self._share.retry_after_seconds(tenant, clock.now())
        spread = seconds * (1.0 + RETRY_AFTER_SPREAD * self._rng.random())
        return Refused(RefusalReason.QUOTA_EXCEEDED, spread, f"tenant {tenant} is above its limit")

    def _unconfirmed(self) -> Refused:
        metrics.QUOTA_REFUSED.labels("unconfirmed").inc()
        detail = "no token is held here, and control doesn't answer"
        return Refused(RefusalReason.QUOTA_UNCONFIRMED, retry_after(0.0, self._rng), detail)


def _nothing() -> None:
    """Leave a request that is decided."""

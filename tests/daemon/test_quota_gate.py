"""Quota gate: tokens come from the local bucket or the leader; other requests are refused."""

import asyncio
import random

import pytest

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Tenant
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.ingress.quota_gate import TOKEN_REQUEST_TIMEOUT_SECONDS, QuotaGate
from finchshed.quota.messages import (
    GrantedShare,
    QuotaAnswer,
    QuotaAsk,
    QuotaReport,
    QuotaRequest,
    QuotaShares,
    QuotaTokens,
)

LIMITED = Tenant("t", requests_per_second=100.0, burst_requests=100.0)
INCARNATION = "life"


class FakeClient:
    """Records requests sent to the leader."""

    def __init__(self) -> None:
        self.sent: list[QuotaRequest] = []
        self.is_connected = True
        self.on_quota = lambda answer: None

    def send_quota(self, request: QuotaRequest) -> bool:
        if self.is_connected:
            self.sent.append(request)
        return self.is_connected

    def asks(self) -> list[QuotaAsk]:
        return [item for item in self.sent if isinstance(item, QuotaAsk)]

    def answer(self, answer: QuotaAnswer) -> None:
        self.on_quota(answer)  # type: ignore[no-untyped-call]


class QuotaFixture:
    """A quota gate with a fake client."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.gate = QuotaGate(self.client, INCARNATION, 1, random.Random(1))  # type: ignore[arg-type]
        self.gate.configure(Catalogue((LIMITED, Tenant("free"))))
        self.decisions: list[Refused | None] = []

    def ask(self, count: int = 1, tenant: str = "t") -> None:
        for _ in range(count):
            self.cancel = self.gate.admit(tenant, self.decisions.append)

    def grant(self, tokens: int, incarnation: str = INCARNATION) -> None:
        number = self.client.asks()[-1].number
        self.client.answer(QuotaTokens(incarnation, number, tokens, 0.1))

    def reasons(self) -> list[RefusalReason | None]:
        return [None if item is None else item.reason for item in self.decisions]


@pytest.fixture
async def quotas() -> QuotaFixture:
    return QuotaFixture()


async def test_tenant_without_a_limit_needs_no_token(quotas: QuotaFixture) -> None:
    quotas.ask(3, "free")
    assert quotas.decisions == [None, None, None]
    assert not quotas.client.asks()


async def test_one_token_request_at_a_time_covers_all_waiting_requests(
    quotas: QuotaFixture,
) -> None:
    quotas.ask(4)
    assert [ask.tokens for ask in quotas.client.asks()] == [1]
    quotas.grant(1)
    assert quotas.decisions == [None]
    assert [ask.tokens for ask in quotas.client.asks()] == [1, 3]
    quotas.grant(2)
    assert quotas.reasons() == [None, None, None, RefusalReason.QUOTA_EXCEEDED]
    refused = quotas.decisions[-1]
    assert refused is not None
    assert refused.retry_after > 0.0
    assert "tenant t" in refused.detail


async def test_answer_to_an_earlier_incarnation_is_ignored(quotas: QuotaFixture) -> None:
    quotas.ask()
    quotas.grant(1, incarnation="former")
    assert not quotas.decisions


async def test_missing_answer_is_not_refused_as_quota_exceeded(quotas: QuotaFixture) -> None:
    quotas.ask(2)
    await asyncio.sleep(2.0 * TOKEN_REQUEST_TIMEOUT_SECONDS)
    assert quotas.reasons() == [RefusalReason.QUOTA_UNCONFIRMED] * 2
    quotas.grant(1)
    quotas.ask()
    assert quotas.reasons() == [RefusalReason.QUOTA_UNCONFIRMED] * 3


async def test_no_request_waits_without_a_connection(quotas: QuotaFixture) -> None:
    quotas.client.is_connected = False
    quotas.ask()
    assert quotas.reasons() == [RefusalReason.QUOTA_UNCONFIRMED]


async def test_token_of_a_cancelled_request_goes_to_the_next(quotas: QuotaFixture) -> None:
    quotas.ask()
    number = next(item for item in quotas.client.sent if isinstance(item, QuotaReport)).number
    quotas.client.answer(QuotaShares(INCARNATION, number, (GrantedShare("t", 0.0, 5.0),)))
    quotas.cancel()
    quotas.grant(1)
    assert not quotas.decisions
    quotas.ask()
    assert quotas.decisions == [None]


async def test_bucket_admits_without_a_token_request(quotas: QuotaFixture) -> None:
    number = next(item for item in quotas.client.sent if isinstance(item, QuotaReport)).number
    quotas.ask()
    quotas.client.answer(QuotaShares(INCARNATION, number, (GrantedShare("t", 0.0, 5.0, 3.0),)))
    quotas.grant(0)
    quotas.ask(2)
    assert quotas.decisions == [None, None, None]
    assert len(quotas.client.asks()) == 1


async def test_removing_the_limit_ends_the_reports(quotas: QuotaFixture) -> None:
    quotas.gate.configure(Catalogue((Tenant("t"),)))
    quotas.ask()
    assert quotas.decisions == [None]
    sent = len(quotas.client.sent)
    await asyncio.sleep(0.6)
    assert len(quotas.client.sent) == sent

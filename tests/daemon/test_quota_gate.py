"""A daemon's gate of quotas: tokens from its bucket or the leader, and what is refused."""

import asyncio
import random

import pytest

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Tenant
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.ingress.quota_gate import ASK_TIMEOUT_SECONDS, QuotaGate
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
LIFE = "life"


class FakeClient:
    """Keeps what is sent to the leader."""

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


class Deployed:
    """A gate over a fake client."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.gate = QuotaGate(self.client, LIFE, 1, random.Random(1))  # type: ignore[arg-type]
        self.gate.configure(Catalogue((LIMITED, Tenant("free"))))
        self.decided: list[Refused | None] = []

    def ask(self, count: int = 1, tenant: str = "t") -> None:
        for _ in range(count):
            self.leave = self.gate.admit(tenant, self.decided.append)

    def tokens(self, tokens: int, incarnation: str = LIFE) -> None:
        number = self.client.asks()[-1].number
        self.client.answer(QuotaTokens(incarnation, number, tokens, 0.1))

    def reasons(self) -> list[RefusalReason | None]:
        return [None if item is None else item.reason for item in self.decided]


@pytest.fixture
async def deployed() -> Deployed:
    return Deployed()


async def test_a_tenant_without_a_limit_needs_no_token(deployed: Deployed) -> None:
    deployed.ask(3, "free")
    assert deployed.decided == [None, None, None]
    assert not deployed.client.asks()


async def test_requests_wait_for_one_ask_and_the_next_asks_for_all_that_wait(
    deployed: Deployed,
) -> None:
    deployed.ask(4)
    assert [ask.tokens for ask in deployed.client.asks()] == [1]
    deployed.tokens(1)
    assert deployed.decided == [None]
    assert [ask.tokens for ask in deployed.client.asks()] == [1, 3]
    deployed.tokens(2)
    assert deployed.reasons() == [None, None, None, RefusalReason.QUOTA_EXCEEDED]
    refused = deployed.decided[-1]
    assert refused is not None
    assert refused.retry_after > 0.0
    assert "tenant t" in refused.detail


async def test_an_answer_to_a_former_life_is_passed_over(deployed: Deployed) -> None:
    deployed.ask()
    deployed.tokens(1, incarnation="former")
    assert not deployed.decided


async def test_without_an_answer_nothing_is_said_of_the_limit(deployed: Deployed) -> None:
    deployed.ask(2)
    await asyncio.sleep(2.0 * ASK_TIMEOUT_SECONDS)
    assert deployed.reasons() == [RefusalReason.QUOTA_UNCONFIRMED] * 2
    deployed.tokens(1)
    deployed.ask()
    assert deployed.reasons() == [RefusalReason.QUOTA_UNCONFIRMED] * 3


async def test_without_a_connection_nothing_waits(deployed: Deployed) -> None:
    deployed.client.is_connected = False
    deployed.ask()
    assert deployed.reasons() == [RefusalReason.QUOTA_UNCONFIRMED]


async def test_a_request_that_left_leaves_its_token_to_the_next(deployed: Deployed) -> None:
    deployed.ask()
    number = next(item for item in deployed.client.sent if isinstance(item, QuotaReport)).number
    deployed.client.answer(QuotaShares(LIFE, number, (GrantedShare("t", 0.0, 5.0),)))
    deployed.leave()
    deployed.tokens(1)
    assert not deployed.decided
    deployed.ask()
    assert deployed.decided == [None]


async def test_the_bucket_serves_without_asking(deployed: Deployed) -> None:
    number = next(item for item in deployed.client.sent if isinstance(item, QuotaReport)).number
    deployed.ask()
    deployed.client.answer(QuotaShares(LIFE, number, (GrantedShare("t", 0.0, 5.0, 3.0),)))
    deployed.tokens(0)
    deployed.ask(2)
    assert deployed.decided == [None, None, None]
    assert len(deployed.client.asks()) == 1


async def test_a_limit_that_goes_ends_the_reports(deployed: Deployed) -> None:
    deployed.gate.configure(Catalogue((Tenant("t"),)))
    deployed.ask()
    assert deployed.decided == [None]
    sent = len(deployed.client.sent)
    await asyncio.sleep(0.6)
    assert len(deployed.client.sent) == sent

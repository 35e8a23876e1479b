"""Leases expire while the machine is suspended, although the monotonic clock then stops."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from unittest.mock import Mock

import pytest

from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.configuration.resources import Policy
from finchshed.daemon.ingress.key_lease_renewal import KeyLeaseRenewal
from finchshed.daemon.serving.at_most_once import AtMostOnceRunner
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.distribution.messages import LeaseRenewed, LedgerGranted
from finchshed.quota.messages import GrantedShare, QuotaReport, QuotaShares
from tests.daemon.test_host_requests import HostFixture, route
from tests.daemon.test_quota_gate import INCARNATION, QuotaFixture
from tests.daemon.test_tenants import KEY, TENANT

SUSPENDED_SECONDS = 30.0


@dataclass
class Machine:
    """Simulates a suspension by advancing CLOCK_BOOTTIME only."""

    suspended_seconds: float = 0.0


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    suspended = Machine()
    real = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return real(clock) + (suspended.suspended_seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return suspended


async def test_api_keys_are_not_trusted_past_their_lease(machine: Machine) -> None:
    client = Mock()
    renewal = KeyLeaseRenewal(client)
    fixture = HostFixture(route("/a/"), TENANT, lease=renewal.lease)
    catalogue = Mock(policy=Policy(key_trust_seconds=3.0), revision=1, tenants={"officers": TENANT})
    renewal.configure(catalogue)
    client.on_lease(LeaseRenewed(1, 1))
    assert fixture.ask("/a/1", x_api_key=KEY).status == 200
    machine.suspended_seconds = SUSPENDED_SECONDS
    assert fixture.ask("/a/1", x_api_key=KEY).status == 503
    renewal.close()


async def test_a_share_of_a_limit_ends_with_its_lease(machine: Machine) -> None:
    quotas = QuotaFixture()
    report = next(item for item in quotas.client.sent if isinstance(item, QuotaReport))
    quotas.ask()
    shares = (GrantedShare("t", 0.0, 5.0, 5.0),)
    quotas.client.answer(QuotaShares(INCARNATION, report.number, shares))
    quotas.grant(0)
    quotas.client.is_connected = False
    quotas.ask()
    assert quotas.reasons() == [None, None]
    machine.suspended_seconds = SUSPENDED_SECONDS
    quotas.ask()
    assert quotas.reasons()[-1] is RefusalReason.QUOTA_UNCONFIRMED


async def test_a_grant_of_the_ledger_is_not_used_after_its_lease(machine: Machine) -> None:
    answers: list[Callable[[LedgerGranted], None]] = []
    ledger = Mock()
    ledger.begin = lambda key, attempt, timeout, done: answers.append(done)
    settings = Mock(ledger_timeout_seconds=2.0, grant_lease_seconds=1.0)
    runner = AtMostOnceRunner(settings, ledger, random.Random(1))
    inbound = Mock(
        spec=InboundCall, deadline=float("inf"), abandoned=False, ledger_key="k", attempt=""
    )
    sent: list[InboundCall] = []
    ended: list[Outcome] = []
    runner.begin(inbound, sent.append, lambda _work, outcome: ended.append(outcome))
    machine.suspended_seconds = SUSPENDED_SECONDS
    answers[0](LedgerGranted(1))
    assert not sent
    assert isinstance(ended[0], Refused)
    ledger.cancel.assert_called_once()

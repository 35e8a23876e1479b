"""Tests of a daemon's quota buckets, reports and token requests."""

import pytest

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.daemon_share import (
    DENIED_BACKOFF_SECONDS,
    REPORT_INTERVAL_SECONDS,
    RETRY_AFTER_SECONDS_MAX,
    UNREACHED_BACKOFF_SECONDS,
    DaemonShare,
    TokenDecision,
)
from finchshed.quota.lease import ANSWER_TIMEOUT_SECONDS, LEASE_SECONDS
from finchshed.quota.messages import GrantedShare, QuotaReport, QuotaShares, QuotaTokens

TENANT = Tenant("t", requests_per_second=100.0, burst_requests=100.0)


def limited_share(*tenants: Tenant) -> DaemonShare:
    share = DaemonShare("life")
    share.configure(tenants or (TENANT,), Policy(), 0.0)
    return share


def require_report(share: DaemonShare, now: float) -> QuotaReport:
    report = share.next_report(now)
    assert report is not None
    return report


def apply_grant(
    share: DaemonShare, now: float, rate: float, capacity: float, **fields: object
) -> bool:
    """Make the daemon report and apply a grant in answer; return whether it was accepted."""
    number = require_report(share, now).number
    grant = GrantedShare("t", rate, capacity, **fields)  # type: ignore[arg-type]
    return share.on_shares(QuotaShares("life", number, (grant,)), now)


def test_daemon_without_a_bucket_requests_tokens() -> None:
    share = limited_share()
    assert share.take("t", 1.0) is TokenDecision.ASK
    assert share.is_limited("t")
    assert not share.is_limited("other")


def test_granted_bucket_is_used_until_its_lease_ends() -> None:
    share = limited_share()
    share.take("t", 1.0)
    assert apply_grant(share, 1.0, 10.0, 5.0, tokens=2.0)
    assert share.take("t", 1.0) is TokenDecision.TAKEN
    assert share.take("t", 1.0) is TokenDecision.TAKEN
    assert share.take("t", 1.0) is TokenDecision.ASK
    assert share.take("t", 1.0 + LEASE_SECONDS - 0.01) is TokenDecision.TAKEN
    assert share.take("t", 1.0 + LEASE_SECONDS) is TokenDecision.ASK


def test_bucket_with_an_expired_lease_is_not_reported_and_is_emptied() -> None:
    share = limited_share()
    share.take("t", 1.0)
    assert apply_grant(share, 1.0, 10.0, 5.0)
    share.take("t", 1.0 + LEASE_SECONDS)
    (held,) = require_report(share, 1.0 + LEASE_SECONDS).shares
    assert (held.rate, held.capacity) == (0.0, 0.0)


def test_only_a_timely_answer_to_the_last_report_is_applied() -> None:
    share = limited_share()
    share.take("t", 1.0)
    first = require_report(share, 1.0).number
    share.take("t", 1.2)
    second = require_report(share, 1.5).number
    grant = (GrantedShare("t", 10.0, 5.0, 5.0),)
    assert not share.on_shares(QuotaShares("life", first, grant), 1.6)
    assert not share.on_shares(QuotaShares("former", second, grant), 1.6)
    assert not share.on_shares(QuotaShares("life", second, grant), 1.51 + ANSWER_TIMEOUT_SECONDS)
    assert share.take("t", 1.6) is TokenDecision.ASK
    assert share.on_shares(QuotaShares("life", second, grant), 1.6)
    assert share.take("t", 1.6) is TokenDecision.TAKEN


def test_no_tokens_are_requested_shortly_after_a_denial() -> None:
    share = limited_share()
    share.take("t", 1.0)
    ask = share.next_token_request("t", 3)
    share.on_tokens(ask, QuotaTokens("life", ask.number, 1, 0.4), 0.0, 1.0)
    assert share.take("t", 1.0 + DENIED_BACKOFF_SECONDS - 0.01) is TokenDecision.DENIED
    assert share.take("t", 1.0 + DENIED_BACKOFF_SECONDS) is TokenDecision.ASK
    share.on_token_request_timeout(2.0)
    assert share.take("t", 2.0) is TokenDecision.UNREACHED
    assert share.take("t", 2.0 + UNREACHED_BACKOFF_SECONDS) is TokenDecision.ASK


def test_tokens_of_requests_that_did_not_run_are_refunded() -> None:
    share = limited_share()
    share.take("t", 1.0)
    apply_grant(share, 1.0, 0.0, 5.0, tokens=1.0)
    assert share.take("t", 1.0) is TokenDecision.TAKEN
    share.refund("t", 1.0)
    share.refund("unknown", 1.0)
    assert share.take("t", 1.0) is TokenDecision.TAKEN


def test_surplus_tokens_are_returned_to_a_reserve_that_is_not_full() -> None:
    share = limited_share()
    share.take("t", 1.0)
    apply_grant(share, 1.0, 2.0, 5.0, tokens=5.0)
    assert require_report(share, 1.5).shares[0].returned == 0.0
    apply_grant(share, 2.0, 2.0, 5.0, fill=0.5)
    (held,) = require_report(share, 2.5).shares
    assert (held.returned, held.level) == (2.5, 2.5)


def test_idle_tenant_has_no_bucket() -> None:
    share = limited_share()
    share.take("t", 0.1)
    assert require_report(share, 0.5).shares[0].demand > 0.0
    reports = [
        require_report(share, 0.5 + REPORT_INTERVAL_SECONDS * number) for number in range(1, 100)
    ]
    assert reports[0].shares
    assert reports[-1].shares == ()


def test_no_report_is_sent_without_limits() -> None:
    assert limited_share(Tenant("free")).next_report(1.0) is None


def test_tokens_above_a_reduced_capacity_are_returned() -> None:
    share = limited_share()
    share.take("t", 1.0)
    apply_grant(share, 1.0, 0.0, 5.0, tokens=5.0)
    share.take("t", 1.5)
    apply_grant(share, 1.5, 0.0, 1.0)
    assert require_report(share, 2.0).shares[0].returned >= 3.0


def test_lowered_limit_shrinks_a_bucket_immediately() -> None:
    share = limited_share()
    share.take("t", 1.0)
    apply_grant(share, 1.0, 50.0, 50.0)
    lower = Tenant("t", requests_per_second=10.0, burst_requests=10.0)
    share.configure((lower,), Policy(), 1.0)
    assert share.rates()["t"][0] == 5.0
    share.configure((), Policy(), 1.0)
    assert not share.has_limits
    assert not share.rates()


def test_retry_after_times_spread_out_refused_callers() -> None:
    share = limited_share()
    share.take("t", 1.0)
    apply_grant(share, 1.0, 40.0, 50.0)
    waits = [share.retry_after_seconds("t", 1.0) for _ in range(300)]
    assert waits == sorted(waits)
    assert waits[0] == DENIED_BACKOFF_SECONDS
    assert waits[39] == pytest.approx(1.0)
    assert waits[-1] == RETRY_AFTER_SECONDS_MAX

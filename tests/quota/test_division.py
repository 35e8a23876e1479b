"""Tests of the leader's allocation of tenant limits to daemons."""

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.allocator import QuotaAllocator
from finchshed.quota.lease import DAEMON_EXPIRY_SECONDS, LEADER_LEASE_SECONDS, SETTLE_SECONDS
from finchshed.quota.limits import limit_of
from finchshed.quota.messages import GrantedShare, HeldShare, QuotaAsk, QuotaReport

TENANT = Tenant("t", requests_per_second=100.0, burst_requests=100.0)
LIMIT = limit_of(TENANT, Policy())
assert LIMIT is not None
SETTLED = SETTLE_SECONDS + 0.1


def make_allocator(tenant: Tenant = TENANT, now: float = 0.0) -> QuotaAllocator:
    allocator = QuotaAllocator(now)
    allocator.configure((tenant,), Policy(), now)
    allocator.on_recorded(("a", "b"), ())
    return allocator


def send_report(
    allocator: QuotaAllocator,
    daemon: str,
    number: int,
    held: GrantedShare | HeldShare | None = None,
    *,
    demand: float = 50.0,
    now: float = SETTLED,
    incarnation: str = "1",
    returned: float = 0.0,
) -> GrantedShare:
    rate, capacity = (0.0, 0.0) if held is None else (held.rate, held.capacity)
    share = HeldShare("t", demand, rate, capacity, level=capacity, returned=returned)
    answer = allocator.on_report(daemon, QuotaReport(incarnation, number, (share,)), now)
    assert answer is not None
    assert answer.number == number
    return answer.shares[0]


def test_limit_includes_the_burst_and_the_overshoot() -> None:
    assert LIMIT is not None
    assert LIMIT.rate == 100.0
    window_max = (100.0 * 5.0 + 100.0) * 1.1 + 20.0
    assert LIMIT.capacity + 5.0 * LIMIT.rate < window_max
    assert limit_of(Tenant("free"), Policy()) is None


def test_shares_follow_demand_within_the_limit() -> None:
    assert LIMIT is not None
    allocator = make_allocator()
    first, second = send_report(allocator, "a", 1), send_report(allocator, "b", 1)
    for number in range(2, 12):
        first = send_report(allocator, "a", number, first, demand=90.0)
        second = send_report(allocator, "b", number, second, demand=30.0)
        rate, capacity = allocator.held_total("t")
        assert rate <= LIMIT.daemon_rate + 1e-9
        assert capacity <= LIMIT.daemon_capacity + 1e-9
    assert first.rate > 2.0 * second.rate > 0.0


def test_shrunk_share_is_freed_once_the_daemon_reports_it() -> None:
    allocator = make_allocator()
    alone = send_report(allocator, "a", 1)
    alone = send_report(allocator, "a", 2, alone, demand=100.0)
    held_before, _ = allocator.held_total("t")
    shrunk = send_report(allocator, "a", 3, alone, demand=5.0)
    assert shrunk.rate < alone.rate
    assert allocator.held_total("t")[0] == held_before
    send_report(allocator, "a", 4, shrunk, demand=5.0)
    assert allocator.held_total("t")[0] == shrunk.rate


def test_silent_daemon_keeps_its_share_until_its_lease_has_ended() -> None:
    allocator = make_allocator()
    gone = send_report(allocator, "a", 1, demand=100.0)
    send_report(allocator, "b", 1, now=SETTLED + LEADER_LEASE_SECONDS - 0.1)
    assert allocator.held_total("t")[0] >= gone.rate
    late = send_report(allocator, "b", 2, demand=100.0, now=SETTLED + LEADER_LEASE_SECONDS + 0.1)
    assert late.rate >= gone.rate
    assert allocator.held_total("t")[0] == late.rate


def test_reported_share_that_is_not_counted_is_ignored() -> None:
    assert LIMIT is not None
    allocator = make_allocator()
    send_report(allocator, "a", 1, demand=100.0)
    claimed = HeldShare("t", 100.0, LIMIT.daemon_rate, LIMIT.daemon_capacity)
    granted = send_report(allocator, "b", 7, claimed)
    assert allocator.held_total("t")[0] <= LIMIT.daemon_rate + 1e-9
    assert granted.rate < claimed.rate


def test_new_leader_grows_shares_once_all_holders_have_reported() -> None:
    allocator = QuotaAllocator(0.0, ("a", "b"))
    allocator.configure((TENANT,), Policy(), 0.0)
    held = HeldShare("t", 50.0, 20.0, 30.0)
    assert send_report(allocator, "b", 1, now=0.5).rate == 0.0
    assert send_report(allocator, "a", 7, held, now=1.1).rate == 20.0
    assert send_report(allocator, "b", 2, now=1.2).rate > 0.0
    assert allocator.held_total("t")[0] <= 80.0


def test_daemon_gets_a_share_once_it_is_recorded() -> None:
    allocator = make_allocator()
    assert allocator.unrecorded_daemons() == ()
    assert send_report(allocator, "c", 1).rate == 0.0
    assert allocator.unrecorded_daemons() == ("c",)
    allocator.on_recorded(("c",), ())
    assert send_report(allocator, "c", 2).rate > 0.0
    assert allocator.unrecorded_daemons() == ()


def test_record_of_a_long_silent_daemon_is_removed() -> None:
    allocator = QuotaAllocator(0.0, ("a", "b"))
    allocator.on_report("a", QuotaReport("1", 1, ()), 0.5 * DAEMON_EXPIRY_SECONDS)
    assert allocator.expired_daemons(DAEMON_EXPIRY_SECONDS - 0.1) == ()
    assert allocator.expired_daemons(DAEMON_EXPIRY_SECONDS + 0.1) == ("b",)
    allocator.on_recorded((), ("b",))
    assert allocator.expired_daemons(DAEMON_EXPIRY_SECONDS + 0.1) == ()


def test_new_leader_accepts_reported_shares_without_growing_them() -> None:
    allocator = QuotaAllocator(0.0, ("a", "b", "gone"))
    allocator.configure((TENANT,), Policy(), 0.0)
    held = HeldShare("t", 50.0, 20.0, 30.0)
    assert send_report(allocator, "a", 7, held, now=1.5).rate == 20.0
    assert send_report(allocator, "b", 1, now=1.5).rate == 0.0
    assert send_report(allocator, "b", 2, now=SETTLED, demand=80.0).rate > 0.0


def test_older_report_is_ignored() -> None:
    allocator = make_allocator()
    send_report(allocator, "a", 2)
    assert allocator.on_report("a", QuotaReport("1", 1, ()), SETTLED) is None
    assert allocator.on_report("a", QuotaReport("1", 2, ()), SETTLED) is None


def test_restarted_daemon_releases_the_shares_of_its_previous_incarnation() -> None:
    allocator = make_allocator()
    send_report(allocator, "a", 1, demand=100.0)
    assert allocator.on_report("a", QuotaReport("2", 1, (), started_ms=5), SETTLED) is None
    assert allocator.held_total("t") == (0.0, 0.0)


def test_late_report_of_an_old_incarnation_does_not_affect_the_new_one() -> None:
    allocator = make_allocator()
    late = QuotaReport("1", 9, (), started_ms=1)
    shares = (HeldShare("t", 100.0, 0.0, 0.0),)
    for number in (1, 2):
        allocator.on_report("a", QuotaReport("2", number, shares, started_ms=2), SETTLED)
    held = allocator.held_total("t")
    assert held[0] > 0.0
    allocator.on_report("a", late, SETTLED)
    assert allocator.held_total("t") == held


def test_reserve_grants_tokens_and_reports_when_more_arrive() -> None:
    allocator = make_allocator()
    answer = allocator.on_token_request(QuotaAsk("1", 1, "t", 5), SETTLED)
    assert (answer.tokens, answer.seconds_until_more) == (5, 0.0)
    answer = allocator.on_token_request(QuotaAsk("1", 2, "t", 100_000), SETTLED)
    assert 0 < answer.tokens < 1000
    assert answer.seconds_until_more > 0.0
    assert allocator.on_token_request(QuotaAsk("1", 3, "unknown", 1), SETTLED).tokens == 0


def test_returned_tokens_can_be_requested() -> None:
    allocator = make_allocator()
    share = send_report(allocator, "a", 1, demand=100.0)
    allocator.on_token_request(QuotaAsk("1", 2, "t", 100_000), SETTLED)
    assert allocator.on_token_request(QuotaAsk("1", 3, "t", 7), SETTLED).tokens == 0
    send_report(allocator, "a", 4, share, demand=100.0, returned=7.0)
    assert allocator.on_token_request(QuotaAsk("1", 5, "t", 7), SETTLED).tokens == 7


def test_lowered_limit_is_sent_with_the_answer_to_the_next_report() -> None:
    allocator = make_allocator()
    share = send_report(allocator, "a", 1, demand=60.0)
    lower = Tenant("t", requests_per_second=10.0, burst_requests=10.0)
    allocator.configure((lower,), Policy(), SETTLED)
    limit = limit_of(lower, Policy())
    assert limit is not None
    assert send_report(allocator, "a", 2, share, demand=60.0).rate <= limit.daemon_rate
    allocator.configure((Tenant("t"),), Policy(), SETTLED)
    answer = allocator.on_report(
        "a", QuotaReport("1", 3, (HeldShare("t", 1.0, 1.0, 1.0),)), SETTLED
    )
    assert answer is not None
    assert answer.shares == ()

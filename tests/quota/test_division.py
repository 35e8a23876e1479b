"""The leader's division of limits among daemons."""

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.allocator import QuotaAllocator
from finchshed.quota.lease import DAEMON_EXPIRY_SECONDS, LEADER_LEASE_SECONDS, SETTLE_SECONDS
from finchshed.quota.limits import limit_of
from finchshed.quota.messages import GrantedShare, HeldShare, QuotaAsk, QuotaReport

TENANT = Tenant("t", requests_per_second=100.0, burst_requests=100.0)
LIMIT = limit_of(TENANT, Policy())
assert LIMIT is not None
SETTLED = SETTLE_SECONDS + 0.1


def division(tenant: Tenant = TENANT, now: float = 0.0) -> QuotaAllocator:
    made = QuotaAllocator(now)
    made.configure((tenant,), Policy(), now)
    made.on_recorded(("a", "b"), ())
    return made


def report(
    made: QuotaAllocator,
    daemon: str,
    number: int,
    held: GrantedShare | HeldShare | None = None,
    *,
    demand: float = 50.0,
    now: float = SETTLED,
    life: str = "1",
    returned: float = 0.0,
) -> GrantedShare:
    rate, capacity = (0.0, 0.0) if held is None else (held.rate, held.capacity)
    share = HeldShare("t", demand, rate, capacity, level=capacity, returned=returned)
    answer = made.on_report(daemon, QuotaReport(life, number, (share,)), now)
    assert answer is not None
    assert answer.number == number
    return answer.shares[0]


def test_a_limit_leaves_room_for_its_burst_and_what_may_be_over() -> None:
    assert LIMIT is not None
    assert LIMIT.rate == 100.0
    most_in_5_seconds = (100.0 * 5.0 + 100.0) * 1.1 + 20.0
    assert LIMIT.capacity + 5.0 * LIMIT.rate < most_in_5_seconds
    assert limit_of(Tenant("free"), Policy()) is None


def test_shares_follow_demand_and_are_never_more_than_the_limit() -> None:
    assert LIMIT is not None
    made = division()
    first, second = report(made, "a", 1), report(made, "b", 1)
    for number in range(2, 12):
        first = report(made, "a", number, first, demand=90.0)
        second = report(made, "b", number, second, demand=30.0)
        rate, capacity = made.held_total("t")
        assert rate <= LIMIT.daemon_rate + 1e-9
        assert capacity <= LIMIT.daemon_capacity + 1e-9
    assert first.rate > 2.0 * second.rate > 0.0


def test_a_share_that_shrinks_is_free_once_the_daemon_has_told_of_it() -> None:
    made = division()
    alone = report(made, "a", 1)
    alone = report(made, "a", 2, alone, demand=100.0)
    held_before, _ = made.held_total("t")
    shrunk = report(made, "a", 3, alone, demand=5.0)
    assert shrunk.rate < alone.rate
    assert made.held_total("t")[0] == held_before
    report(made, "a", 4, shrunk, demand=5.0)
    assert made.held_total("t")[0] == shrunk.rate


def test_a_daemon_that_falls_silent_keeps_its_share_until_that_must_have_ended() -> None:
    made = division()
    gone = report(made, "a", 1, demand=100.0)
    report(made, "b", 1, now=SETTLED + LEADER_LEASE_SECONDS - 0.1)
    assert made.held_total("t")[0] >= gone.rate
    late = report(made, "b", 2, demand=100.0, now=SETTLED + LEADER_LEASE_SECONDS + 0.1)
    assert late.rate >= gone.rate
    assert made.held_total("t")[0] == late.rate


def test_what_a_daemon_claims_without_being_counted_is_not_believed() -> None:
    assert LIMIT is not None
    made = division()
    report(made, "a", 1, demand=100.0)
    claimed = HeldShare("t", 100.0, LIMIT.daemon_rate, LIMIT.daemon_capacity)
    granted = report(made, "b", 7, claimed)
    assert made.held_total("t")[0] <= LIMIT.daemon_rate + 1e-9
    assert granted.rate < claimed.rate


def test_a_new_leader_lets_shares_grow_once_all_that_may_hold_one_have_told() -> None:
    made = QuotaAllocator(0.0, ("a", "b"))
    made.configure((TENANT,), Policy(), 0.0)
    held = HeldShare("t", 50.0, 20.0, 30.0)
    assert report(made, "b", 1, now=0.5).rate == 0.0
    assert report(made, "a", 7, held, now=1.1).rate == 20.0
    assert report(made, "b", 2, now=1.2).rate > 0.0
    assert made.held_total("t")[0] <= 80.0


def test_a_daemon_gets_a_share_once_it_is_noted() -> None:
    made = division()
    assert made.unrecorded_daemons() == ()
    assert report(made, "c", 1).rate == 0.0
    assert made.unrecorded_daemons() == ("c",)
    made.on_recorded(("c",), ())
    assert report(made, "c", 2).rate > 0.0
    assert made.unrecorded_daemons() == ()


def test_a_daemon_that_is_silent_for_long_is_noted_no_more() -> None:
    made = QuotaAllocator(0.0, ("a", "b"))
    made.on_report("a", QuotaReport("1", 1, ()), 0.5 * DAEMON_EXPIRY_SECONDS)
    assert made.expired_daemons(DAEMON_EXPIRY_SECONDS - 0.1) == ()
    assert made.expired_daemons(DAEMON_EXPIRY_SECONDS + 0.1) == ("b",)
    made.on_recorded((), ("b",))
    assert made.expired_daemons(DAEMON_EXPIRY_SECONDS + 0.1) == ()


def test_a_new_leader_takes_in_what_daemons_show_and_lets_none_grow_at_first() -> None:
    made = QuotaAllocator(0.0, ("a", "b", "gone"))
    made.configure((TENANT,), Policy(), 0.0)
    held = HeldShare("t", 50.0, 20.0, 30.0)
    assert report(made, "a", 7, held, now=1.5).rate == 20.0
    assert report(made, "b", 1, now=1.5).rate == 0.0
    assert report(made, "b", 2, now=SETTLED, demand=80.0).rate > 0.0


def test_an_older_report_is_passed_over() -> None:
    made = division()
    report(made, "a", 2)
    assert made.on_report("a", QuotaReport("1", 1, ()), SETTLED) is None
    assert made.on_report("a", QuotaReport("1", 2, ()), SETTLED) is None


def test_a_daemon_that_started_anew_gives_up_what_its_former_life_held() -> None:
    made = division()
    report(made, "a", 1, demand=100.0)
    assert made.on_report("a", QuotaReport("2", 1, (), started_ms=5), SETTLED) is None
    assert made.held_total("t") == (0.0, 0.0)


def test_a_late_line_of_a_former_life_frees_nothing_of_the_later_one() -> None:
    made = division()
    late = QuotaReport("1", 9, (), started_ms=1)
    shares = (HeldShare("t", 100.0, 0.0, 0.0),)
    for number in (1, 2):
        made.on_report("a", QuotaReport("2", number, shares, started_ms=2), SETTLED)
    held = made.held_total("t")
    assert held[0] > 0.0
    made.on_report("a", late, SETTLED)
    assert made.held_total("t") == held


def test_the_reserve_helps_out_and_tells_when_it_may_have_more() -> None:
    made = division()
    answer = made.on_ask(QuotaAsk("1", 1, "t", 5), SETTLED)
    assert (answer.tokens, answer.seconds_until_more) == (5, 0.0)
    answer = made.on_ask(QuotaAsk("1", 2, "t", 100_000), SETTLED)
    assert 0 < answer.tokens < 1000
    assert answer.seconds_until_more > 0.0
    assert made.on_ask(QuotaAsk("1", 3, "unknown", 1), SETTLED).tokens == 0


def test_returned_tokens_can_be_asked_for() -> None:
    made = division()
    share = report(made, "a", 1, demand=100.0)
    made.on_ask(QuotaAsk("1", 2, "t", 100_000), SETTLED)
    assert made.on_ask(QuotaAsk("1", 3, "t", 7), SETTLED).tokens == 0
    report(made, "a", 4, share, demand=100.0, returned=7.0)
    assert made.on_ask(QuotaAsk("1", 5, "t", 7), SETTLED).tokens == 7


def test_a_lower_limit_reaches_a_daemon_with_its_next_report() -> None:
    made = division()
    share = report(made, "a", 1, demand=60.0)
    lower = Tenant("t", requests_per_second=10.0, burst_requests=10.0)
    made.configure((lower,), Policy(), SETTLED)
    limit = limit_of(lower, Policy())
    assert limit is not None
    assert report(made, "a", 2, share, demand=60.0).rate <= limit.daemon_rate
    made.configure((Tenant("t"),), Policy(), SETTLED)
    answer = made.on_report("a", QuotaReport("1", 3, (HeldShare("t", 1.0, 1.0, 1.0),)), SETTLED)
    assert answer is not None
    assert answer.shares == ()

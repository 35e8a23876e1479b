"""Endpoint selection where back ends name a rate limit."""

import random
from collections import Counter

from finchshed.admission.load_report import LoadReport, RateReport
from finchshed.admission.rank import RANKS, lowest_rank_of
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint, EndpointState
from finchshed.retry.bucket import RetryBucket
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.caller_effects import Finish, SendAttempt
from finchshed.routing.table import RoutingTable

CONTEXT = CallContext("root", Importance.NORMAL, 5.0)
LATENCY = 0.1


def endpoint(number: int, zone: str = "z") -> Endpoint:
    return Endpoint(
        name=f"e{number}",
        service="s",
        region="r",
        zone=zone,
        address=f"127.0.0.1:{9000 + number}",
        slots=20,
        state=EndpointState.ACTIVE,
    )


def table_of(*endpoints: Endpoint) -> RoutingTable:
    table = RoutingTable("z", "r", random.Random(5))
    table.replace(endpoints)
    for item in endpoints:
        table.on_sent(item.name, 0.0)
        table.on_reply(item.name, LoadReport(limit=20), CallResult.OK, LATENCY, 0.0)
    return table


def limited(rate: float, wait: float = 0.0, threshold: int = RANKS + 1) -> LoadReport:
    return LoadReport(limit=20, rate=RateReport(rate, wait, threshold))


def choices(table: RoutingTable, now: float, context: CallContext = CONTEXT) -> Counter[str]:
    found = [table.choose("s", context, (), now) for _ in range(400)]
    return Counter(item.reason if isinstance(item, Refused) else item.name for item in found)


def test_endpoint_whose_rate_is_used_up_is_skipped_until_it_has_room() -> None:
    table = table_of(endpoint(0), endpoint(1))
    table.on_report("e0", limited(5.0, wait=0.2), 0.0)
    assert set(choices(table, 0.1)) == {"e1"}
    assert choices(table, 0.25)["e0"] > 0


def test_more_important_request_may_displace_a_waiting_one() -> None:
    table = table_of(endpoint(0))
    threshold = lowest_rank_of(Importance.HIGH)
    table.on_report("e0", limited(5.0, 0.2, threshold), 0.0)
    assert set(choices(table, 0.1)) == {RefusalReason.RATE_LIMITED}
    critical = CallContext("root", Importance.CRITICAL, 5.0)
    assert set(choices(table, 0.1, critical)) == {"e0"}


def test_requests_go_by_what_endpoints_can_still_take() -> None:
    table = table_of(*(endpoint(number) for number in range(4)))
    table.on_report("e0", limited(2.0), 0.0)
    drawn = choices(table, 0.0)
    assert 0 < drawn["e0"] < 0.15 * 400


def test_refusal_names_the_limit_where_all_are_limited() -> None:
    table = table_of(endpoint(0), endpoint(1))
    for name in ("e0", "e1"):
        table.on_report(name, limited(5.0, wait=0.2), 0.0)
    refused = table.choose("s", CONTEXT, (), 0.1)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.RATE_LIMITED
    assert refused.retry_after > 0.0


def test_limit_ends_with_a_report_without_it() -> None:
    table = table_of(endpoint(0))
    table.on_report("e0", limited(0.0, wait=5.0), 0.0)
    assert set(choices(table, 0.1)) == {RefusalReason.RATE_LIMITED}
    table.on_report("e0", LoadReport(limit=20), 0.2)
    assert set(choices(table, 0.3)) == {"e0"}


def test_next_endpoint_is_tried_without_retry_budget() -> None:
    table = table_of(endpoint(0), endpoint(1))
    bucket = RetryBucket(0.0, 0.0, capacity=0.0, refill_per_second=0.0)
    call = CallStateMachine(table, bucket, "s", CONTEXT, repeatable=False, rng=random.Random(1))
    first = next(item for item in call.begin(0.0) if isinstance(item, SendAttempt))
    refused = Refused(RefusalReason.RATE_LIMITED, 0.3)
    effects = call.on_outcome(first.attempt, refused, 0, limited(5.0, wait=0.2), 0.01)
    second = next(item for item in effects if isinstance(item, SendAttempt))
    assert second.endpoint.name != first.endpoint.name


def test_session_waits_for_its_own_endpoint() -> None:
    table = table_of(endpoint(0), endpoint(1))
    bucket = RetryBucket(0.1, 0.0)
    call = CallStateMachine(
        table, bucket, "s", CONTEXT, repeatable=True, rng=random.Random(1), pinned="e0"
    )
    first = next(item for item in call.begin(0.0) if isinstance(item, SendAttempt))
    refused = Refused(RefusalReason.RATE_LIMITED, 0.3)
    effects = call.on_outcome(first.attempt, refused, 0, limited(5.0, wait=0.2), 0.01)
    assert [type(item) for item in effects] == [Finish]
    assert effects[0].outcome == refused


def test_limit_is_remembered_while_the_daemon_beside_the_back_end_restarts() -> None:
    table = table_of(endpoint(0), endpoint(1))
    table.on_link_up("e0", "first", 0.0)
    table.on_report("e0", limited(5.0), 0.0)
    table.replace([endpoint(1)], 1.0)
    table.replace([endpoint(0), endpoint(1)], 2.0)
    assert table.rate_limit_of("e0") == 5.0
    table.on_link_up("e0", "second", 2.0)
    table.on_report("e0", LoadReport(limit=20, is_rate_known=False), 2.0)
    assert table.rate_limit_of("e0") == 5.0
    table.on_report("e0", LoadReport(limit=20), 3.0)
    assert table.rate_limit_of("e0") is None

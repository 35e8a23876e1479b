"""Guards against requests that are taken during a stop without time to answer them."""

import math

import pytest

from finchshed.daemon.ingress.route_durations import MAX_ROUTES, RouteDurations
from finchshed.daemon.stopping import PlannedStop

NOTICE_SECONDS = 2.0
DRAIN_SECONDS = 3.0


def stopping_since(now: float) -> PlannedStop:
    stop = PlannedStop()
    stop.begin(now, NOTICE_SECONDS, DRAIN_SECONDS)
    return stop


def test_a_daemon_that_is_not_stopping_has_time_for_any_request() -> None:
    stop = PlannedStop()
    assert stop.has_time_for(math.inf, math.inf, 100.0)
    assert stop.seconds_left(100.0) == math.inf


@pytest.mark.parametrize("longest", [0.1, 0.8, 2.9])
def test_once_callers_know_of_the_stop_a_request_must_fit_whatever_it_takes(longest: float) -> None:
    stop = stopping_since(10.0)
    last = 10.0 + NOTICE_SECONDS + DRAIN_SECONDS - longest
    assert stop.has_time_for(longest, 0.0, last - 0.01)
    assert not stop.has_time_for(longest, 0.0, last + 0.01)


def test_before_they_know_a_request_is_measured_by_what_its_route_takes() -> None:
    stop = stopping_since(10.0)
    assert stop.has_time_for(60.0, 0.2, 11.0)
    assert stop.has_time_for(60.0, 0.0, 11.0)
    assert not stop.has_time_for(60.0, 4.5, 11.0)
    assert stop.has_time_for(1.0, 4.5, 11.0)
    assert not stop.has_time_for(60.0, 0.2, 12.1)


def test_recent_maximum_covers_nearly_all_answers_and_is_forgotten_in_time() -> None:
    durations = RouteDurations()
    assert durations.recent_maximum("a") == 0.0
    for number in range(1_000):
        durations.add("a", 0.2 if number % 50 else 0.4)
        assert durations.recent_maximum("a") >= 0.3
    durations.add("a", 5.0)
    assert durations.recent_maximum("a") == 5.0
    for _ in range(1_000):
        durations.add("a", 0.2)
    assert durations.recent_maximum("a") < 0.3
    assert durations.recent_maximum("b") == 0.0


def test_durations_of_routes_that_come_and_go_are_bounded() -> None:
    durations = RouteDurations()
    for number in range(MAX_ROUTES + 10):
        durations.add(f"route-{number}", 1.0)
    assert durations.recent_maximum("route-0") == 0.0
    assert durations.recent_maximum(f"route-{MAX_ROUTES + 9}") > 0.0

"""Thresholds met further down a path."""

import pytest

from finchshed.admission.path_thresholds import (
    NO_THRESHOLD,
    VALIDITY_SECONDS,
    PathThreshold,
    PathThresholds,
    freshness,
)


class Below:
    """Thresholds of the services below, by service and route."""

    def __init__(self) -> None:
        self.floors: dict[tuple[str, str], PathThreshold] = {}

    def floor(self, service: str, route: str, _now: float) -> PathThreshold:
        return self.floors.get((service, route), NO_THRESHOLD)


def serve(
    paths: PathThresholds, route: str, calls: list[tuple[str, str]], *, answered: bool = True
) -> None:
    paths.on_start("request", route)
    for service, called_route in calls:
        paths.on_call("request", service, called_route)
    paths.on_end("request", answered=answered)


def test_threshold_of_a_call_made_by_every_request_holds_for_the_route() -> None:
    below = Below()
    below.floors["rules", "/"] = PathThreshold(500, 20)
    paths = PathThresholds(below.floor)
    serve(paths, "/page", [("rules", "/")])
    assert paths.threshold("/page", 1.0) == 500
    assert paths.threshold("/download", 1.0) == 0
    assert paths.report(1.0) == {"/page": PathThreshold(500, 20)}


def test_first_call_of_a_request_stands_for_all_that_are_expected() -> None:
    paths = PathThresholds(Below().floor)
    for _ in range(3):
        serve(paths, "/page", [("rules", "/")] * 4)
    paths.on_start("request", "/page")
    assert [paths.on_call("request", "rules", "/") for _ in range(4)] == [4.0, 0.0, 0.0, 0.0]


def test_calls_beyond_those_expected_stand_for_themselves() -> None:
    paths = PathThresholds(Below().floor)
    serve(paths, "/page", [("rules", "/")] * 2)
    paths.on_start("request", "/page")
    assert [paths.on_call("request", "rules", "/") for _ in range(4)] == [2.0, 0.0, 1.0, 1.0]


def test_calls_of_a_request_that_is_not_known_stand_for_themselves() -> None:
    paths = PathThresholds(Below().floor)
    assert paths.on_call("request", "rules", "/") == 1.0
    paths.on_start("request", "/page")
    assert [paths.on_call("request", "rules", "/") for _ in range(2)] == [1.0, 1.0]


def test_call_that_few_requests_make_sheds_nothing() -> None:
    below = Below()
    below.floors["rules", "/"] = PathThreshold(500, 0)
    paths = PathThresholds(below.floor)
    for number in range(40):
        serve(paths, "/page", [("rules", "/")] if number % 2 else [])
    assert paths.threshold("/page", 1.0) == 0


def test_request_that_was_not_answered_teaches_nothing() -> None:
    below = Below()
    below.floors["second", "/"] = PathThreshold(500, 0)
    paths = PathThresholds(below.floor)
    serve(paths, "/page", [("first", "/"), ("second", "/")])
    for _ in range(40):
        serve(paths, "/page", [("first", "/")], answered=False)
    assert paths.threshold("/page", 1.0) == 500


def test_highest_threshold_of_several_calls_holds() -> None:
    below = Below()
    below.floors["first", "/"] = PathThreshold(500, 0)
    below.floors["second", "/"] = PathThreshold(900, 0)
    paths = PathThresholds(below.floor)
    serve(paths, "/page", [("first", "/"), ("second", "/")])
    assert paths.threshold("/page", 1.0) == 900


def test_threshold_fades_from_its_measurement_however_often_it_is_told() -> None:
    """Hop by hop the age is kept, so the last hop forgets it when the first does."""
    told = PathThreshold(1000, 0)
    for _ in range(25):
        told = told.aged(VALIDITY_SECONDS / 25)
    assert told.value == 0.0
    assert freshness(0.0) == 1.0
    assert told.aged(0.0).age_ms == pytest.approx(VALIDITY_SECONDS * 1000)

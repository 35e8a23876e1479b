"""Tests of the order, timeouts and backoff in which control nodes are tried."""

import random

from finchshed.distribution.addresses import (
    BACKOFF_SECONDS_MAX,
    CONNECT_TIMEOUT_SECONDS_MAX,
    CONNECT_TIMEOUT_SECONDS_MIN,
    STABLE_SECONDS,
    AddressBook,
    ControlAddress,
    parse_control_address,
)

NODES = [ControlAddress(f"10.0.0.{number}:1", f"z{number}") for number in range(1, 7)]


def test_addresses_are_parsed_with_and_without_a_zone() -> None:
    assert parse_control_address("z1=10.0.0.1:9") == ControlAddress("10.0.0.1:9", "z1")
    assert parse_control_address("10.0.0.1:9") == ControlAddress("10.0.0.1:9")


def test_own_zone_is_preferred() -> None:
    for seed in range(20):
        book = AddressBook(NODES, "z4", random.Random(seed))
        assert book.next_attempt(0.0).address == NODES[3]


def test_daemons_of_a_lost_node_spread_over_the_others() -> None:
    second = set()
    for seed in range(60):
        book = AddressBook(NODES, "z4", random.Random(seed))
        book.on_connection_ended(NODES[3], 0.0, 0.0)
        second.add(book.next_attempt(0.0).address)
    assert second == set(NODES) - {NODES[3]}


def test_delays_are_bounded_and_reset_after_a_stable_connection() -> None:
    book = AddressBook(NODES[:1], "z1", random.Random(1))
    waits = []
    now = 0.0
    for _ in range(12):
        book.on_connection_ended(NODES[0], 0.0, now)
        waits.append(book.next_attempt(now).wait_seconds)
        now += waits[-1]
    assert waits[-1] > 10 * waits[0]
    assert max(waits) <= BACKOFF_SECONDS_MAX
    book.on_connection_ended(NODES[0], STABLE_SECONDS, now)
    assert book.next_attempt(now).wait_seconds < 0.5


def test_redirect_adds_only_unknown_nodes() -> None:
    book = AddressBook(NODES[:1], "z1", random.Random(1))
    book.add((NODES[0].address, "10.0.0.9:1"))
    book.on_connection_ended(NODES[0], 0.0, 0.0)
    assert book.next_attempt(0.0).address == ControlAddress("10.0.0.9:1")


def test_first_connection_attempt_has_a_shorter_timeout() -> None:
    book = AddressBook(NODES[:1], "z", random.Random(1))
    waits = []
    now = 0.0
    for _ in range(5):
        attempt = book.next_attempt(now)
        now += attempt.wait_seconds
        waits.append(attempt.connect_seconds)
        book.on_connection_ended(attempt.address, 0.0, now)
    assert waits[:2] == [CONNECT_TIMEOUT_SECONDS_MIN, 2 * CONNECT_TIMEOUT_SECONDS_MIN]
    assert waits[-1] == CONNECT_TIMEOUT_SECONDS_MAX


def test_unreachable_node_is_retried_indefinitely() -> None:
    """Guards against giving up on control after a long outage."""
    book = AddressBook(NODES[:1], "z1", random.Random(1))
    now = 0.0
    for _ in range(2_000):
        book.on_connection_ended(NODES[0], 0.0, now)
        attempt = book.next_attempt(now)
        assert attempt.wait_seconds <= BACKOFF_SECONDS_MAX
        assert attempt.connect_seconds <= CONNECT_TIMEOUT_SECONDS_MAX
        now += attempt.wait_seconds

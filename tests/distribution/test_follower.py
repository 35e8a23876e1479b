"""Tests of the follower: start, deltas, peers and disk."""

from finchshed.configuration.resources import Endpoint, Resource, ResourceKey, Service
from finchshed.distribution.effects import (
    ConnectToPeers,
    FetchFromControl,
    FetchFromPeer,
    FollowerRecord,
    PersistRecord,
    ReportInForce,
    ServingBasis,
    StartServing,
    TakeEffect,
)
from finchshed.distribution.fetch_scheduler import FETCH_RETRY_SECONDS
from finchshed.distribution.follower import (
    CONTROL_GRACE_SECONDS,
    Follower,
    FollowerIdentity,
)
from finchshed.distribution.messages import Delta

IDENTITY = FollowerIdentity(zone="z1", endpoint="own")


def service(name: str) -> Service:
    return Service(name=name)


def endpoint(name: str, zone: str = "z1") -> Endpoint:
    return Endpoint(
        name=name, service="licence", region="r1", zone=zone, address="127.0.0.1:9", slots=4
    )


def full(revision: int, *resources: Resource, confirmed: bool = False) -> Delta:
    return Delta(base=0, revision=revision, puts=resources, confirmed=confirmed)


def record(revision: int, *peers: str, highest: int | None = None) -> FollowerRecord:
    resources = tuple(endpoint(name) for name in ("own", *peers))
    return FollowerRecord(highest or revision, full(revision, *resources))


def kinds(effects: object) -> list[type]:
    return [type(effect) for effect in effects]  # type: ignore[attr-defined]


def test_no_calls_are_accepted_before_a_quorum_confirms() -> None:
    follower = Follower(IDENTITY)
    follower.start(0.0)
    effects = follower.on_control_delta(full(5, service("a")), 0.0)
    assert kinds(effects) == [TakeEffect, ReportInForce]
    assert not follower.may_serve
    effects = follower.on_control_delta(Delta(base=5, revision=5, confirmed=True), 0.1)
    assert effects == [StartServing(ServingBasis.QUORUM)]
    assert follower.may_serve


def test_empty_configuration_can_be_confirmed() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(Delta(base=0, revision=0, confirmed=True), 0.0)
    assert follower.may_serve


def test_confirmation_waits_until_its_revision_is_held() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_connected(0.0)
    follower.on_control_delta(full(5, service("a")), 0.0)
    effects = follower.on_control_delta(Delta(base=7, revision=7, confirmed=True), 0.1)
    assert effects == [FetchFromControl(5)]
    assert not follower.may_serve
    effects = follower.on_control_delta(Delta(base=5, revision=7, puts=(service("b"),)), 0.2)
    assert StartServing(ServingBasis.QUORUM) in effects


def test_delta_after_a_gap_is_not_applied_and_triggers_a_fetch() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_connected(0.0)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    effects = follower.on_control_delta(Delta(base=4, revision=5, puts=(service("b"),)), 1.0)
    assert effects == [FetchFromControl(3)]
    assert follower.revision == 3


def test_overlapping_delta_is_applied_and_late_delta_is_ignored() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, service("a"), service("b"), confirmed=True), 0.0)
    key = ResourceKey(kind="service", name="b")
    follower.on_control_delta(Delta(base=1, revision=4, deletes=(key,)), 1.0)
    assert follower.revision == 4
    assert key not in follower.configuration.resources
    assert follower.on_control_delta(full(3, service("b")), 2.0) == []
    assert follower.revision == 4
    assert key not in follower.configuration.resources


def test_peer_ahead_is_fetched_from_when_control_is_unreachable() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    follower.on_control_lost(1.0)
    assert follower.on_peer_revision("p", 6, 2.0) == [FetchFromPeer("p", 3)]
    effects = follower.on_peer_delta("p", full(6, service("a")), 2.1)
    assert kinds(effects) == [TakeEffect, ReportInForce]
    assert follower.revision == 6


def test_other_peers_are_tried_if_one_does_not_answer() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    follower.on_control_lost(1.0)
    assert follower.on_peer_revision("dead", 6, 2.0) == [FetchFromPeer("dead", 3)]
    assert follower.on_peer_revision("alive", 6, 2.1) == []
    later = 2.0 + FETCH_RETRY_SECONDS
    assert follower.tick(later) == [FetchFromPeer("alive", 3)]


def test_peer_is_fetched_from_if_control_does_not_answer() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_connected(0.0)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    assert follower.on_peer_revision("p", 4, 5.0) == [FetchFromControl(3)]
    assert follower.on_peer_revision("p", 4, 5.1) == []
    assert follower.tick(5.0 + FETCH_RETRY_SECONDS) == [FetchFromPeer("p", 3)]


def test_confirmation_by_a_peer_is_ignored() -> None:
    follower = Follower(IDENTITY)
    follower.start(0.0)
    follower.on_peer_delta("p", full(6, service("a"), confirmed=True), 0.0)
    assert follower.revision == 6
    assert not follower.may_serve


def test_disconnected_daemon_without_a_disk_accepts_no_calls() -> None:
    follower = Follower(IDENTITY)
    follower.start(0.0)
    for peer in ("p", "q", "r"):
        follower.on_peer_delta(peer, full(6, endpoint("p"), endpoint("own")), 0.0)
    follower.tick(1000.0)
    assert not follower.may_serve


def test_daemon_with_a_disk_serves_once_most_zone_peers_answered() -> None:
    follower = Follower(IDENTITY, has_disk=True, record=record(4, "p", "q", "r"))
    assert kinds(follower.start(0.0)) == [TakeEffect, ConnectToPeers]
    follower.on_peer_revision("p", 4, 1.0)
    follower.on_peer_revision("stranger", 4, 1.0)
    assert not follower.may_serve
    assert follower.on_peer_revision("q", 3, 1.1) == []
    assert follower.tick(CONTROL_GRACE_SECONDS - 0.1) == []
    effects = follower.tick(CONTROL_GRACE_SECONDS)
    assert effects == [StartServing(ServingBasis.DISK_AND_PEERS)]


def test_disk_and_peers_do_not_suffice_while_control_is_connected() -> None:
    follower = Follower(IDENTITY, has_disk=True, record=record(4))
    assert kinds(follower.start(10.0)) == [TakeEffect]
    follower.on_control_connected(10.1)
    follower.tick(10.0 + 2 * CONTROL_GRACE_SECONDS)
    assert not follower.may_serve
    effects = follower.on_control_lost(11.0 + 2 * CONTROL_GRACE_SECONDS)
    assert effects == [StartServing(ServingBasis.DISK_AND_PEERS)]


def test_daemon_with_a_disk_fetches_a_newer_peer_revision_before_serving() -> None:
    follower = Follower(IDENTITY, has_disk=True, record=record(4, "p"))
    follower.start(-CONTROL_GRACE_SECONDS)
    assert follower.on_peer_revision("p", 5, 1.0)[-1] == FetchFromPeer("p", 4)
    assert not follower.may_serve
    follower.on_persisted(1.1)
    effects = follower.on_peer_delta("p", full(5, endpoint("own"), endpoint("p")), 1.2)
    assert kinds(effects) == [PersistRecord]
    assert not follower.may_serve
    effects = follower.on_persisted(1.3)
    assert StartServing(ServingBasis.DISK_AND_PEERS) in effects
    assert follower.revision == 5


def test_highest_revision_seen_before_a_restart_must_be_reached_first() -> None:
    follower = Follower(IDENTITY, has_disk=True, record=record(4, highest=9))
    follower.start(0.0)
    assert not follower.may_serve
    follower.on_control_connected(0.0)
    follower.on_control_delta(Delta(base=4, revision=8, confirmed=True), 1.0)
    follower.on_persisted(1.1)
    assert not follower.may_serve


def test_revision_is_recorded_before_it_is_in_force() -> None:
    follower = Follower(IDENTITY, has_disk=True)
    effects = follower.on_control_delta(full(2, service("a"), confirmed=True), 0.0)
    assert effects == [PersistRecord(FollowerRecord(2, full(2, service("a"))))]
    assert follower.revision == 0
    assert not follower.may_serve
    assert follower.on_control_delta(Delta(base=2, revision=3), 0.1) == []
    effects = follower.on_persisted(0.2)
    assert kinds(effects) == [TakeEffect, ReportInForce, PersistRecord]
    assert follower.revision == 2
    effects = follower.on_persisted(0.3)
    assert follower.revision == 3
    assert follower.may_serve


def test_disk_failure_does_not_delay_configuration() -> None:
    follower = Follower(IDENTITY, has_disk=True)
    follower.on_control_delta(full(2, service("a"), confirmed=True), 0.0)
    effects = follower.on_persist_failed(0.1)
    assert kinds(effects) == [TakeEffect, ReportInForce, StartServing]
    assert follower.disk_failed


def test_fetch_by_a_peer_is_answered_with_the_revision_in_force() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    assert follower.answer_fetch(3) == Delta(base=3, revision=3)
    assert follower.answer_fetch(1) == full(3, service("a"))


def test_peer_slightly_behind_gets_only_the_missing_changes() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, *(service(name) for name in "abcdef")), 0.0)
    follower.on_control_delta(Delta(base=3, revision=4, puts=(service("g"),)), 1.0)
    follower.on_control_delta(
        Delta(base=4, revision=6, puts=(service("h"),), deletes=(ResourceKey("service", "g"),)),
        2.0,
    )
    assert follower.answer_fetch(5) == Delta(
        base=4, revision=6, puts=(service("h"),), deletes=(ResourceKey("service", "g"),)
    )
    assert follower.answer_fetch(3) == Delta(
        base=3, revision=6, puts=(service("h"),), deletes=(ResourceKey("service", "g"),)
    )
    assert follower.answer_fetch(2).base == 0


def test_peer_gets_no_revision_that_is_not_in_force() -> None:
    follower = Follower(IDENTITY, has_disk=True)
    follower.on_control_delta(full(3, *(service(name) for name in "abc")), 0.0)
    follower.on_persisted(0.1)
    follower.on_control_delta(Delta(base=3, revision=4, puts=(service("d"),)), 1.0)
    assert follower.revision == 3
    assert follower.answer_fetch(3) == Delta(base=3, revision=3)
    follower.on_persisted(1.1)
    follower.on_control_delta(Delta(base=4, revision=5, puts=(service("e"),)), 2.0)
    assert follower.answer_fetch(3) == Delta(base=3, revision=4, puts=(service("d"),))


def test_fetch_is_repeated_after_a_lost_answer() -> None:
    follower = Follower(IDENTITY)
    follower.on_control_delta(full(3, service("a"), confirmed=True), 0.0)
    follower.on_control_lost(1.0)
    assert follower.on_peer_revision("p", 6, 2.0) == [FetchFromPeer("p", 3)]
    # A link reports a revision only once, so the follower must remember its source.
    assert follower.tick(2.0 + FETCH_RETRY_SECONDS) == [FetchFromPeer("p", 3)]
    assert follower.on_peer_revision("q", 5, 3.1) == []
    assert follower.tick(2.0 + 2 * FETCH_RETRY_SECONDS) == [FetchFromPeer("q", 3)]
    assert follower.tick(2.0 + 3 * FETCH_RETRY_SECONDS) == [FetchFromPeer("p", 3)]

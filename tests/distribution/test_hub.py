"""Tests of the hub: shared encoding, catch-up, full buffers, confirmations and timeouts."""

import pytest

from finchshed.common.errors import InvariantError
from finchshed.configuration.resources import ResourceKey, Service
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import Close, HubLimits, RequestConfirmation, SendLine
from finchshed.distribution.messages import Delta, LeaseRenewed, Redirect, Subscribe
from finchshed.distribution.snapshot import Configuration


def change(revision: int, name: str = "") -> Delta:
    name = name or f"s{revision}"
    return Delta(revision - 1, revision, puts=(Service(name=name, deadline_seconds=revision),))


def hub_at(revision: int, limits: HubLimits | None = None) -> Hub:
    hub = Hub("c1", limits)
    hub.on_quorum_contact(True, 0.0)
    for number in range(1, revision + 1):
        hub.on_committed(change(number), 0.0)
    return hub


def subscription(node: str, revision: int = 0) -> Subscribe:
    return Subscribe(node, "1", "licence", "z1", revision)


def sent_messages(effects: object) -> list[tuple[tuple[int, ...], object]]:
    return [
        (effect.subscribers, effect.line.message)
        for effect in effects  # type: ignore[attr-defined]
        if isinstance(effect, SendLine)
    ]


def subscribe(hub: Hub, number: int, revision: int = 0) -> None:
    hub.subscribe(number, subscription(f"n{number}", revision), 0.0)


def test_change_is_encoded_once_for_all_subscribers() -> None:
    hub = hub_at(2)
    subscribe(hub, 1)
    subscribe(hub, 2)
    effects = hub.on_committed(change(3), 1.0)
    assert sent_messages(effects) == [((1, 2), change(3))]
    assert isinstance(effects[0], SendLine)
    assert effects[0].line.line is effects[0].line.line


def test_subscriber_behind_gets_one_merged_delta() -> None:
    hub = hub_at(3)
    hub.on_committed(Delta(3, 4, deletes=(ResourceKey("service", "s3"),)), 0.0)
    hub.on_committed(change(5, "s1"), 0.0)
    ((numbers, message),) = sent_messages(hub.subscribe(1, subscription("n1", 4), 0.0))
    assert numbers == (1,)
    assert message == change(5, "s1")
    ((_, message),) = sent_messages(hub.subscribe(2, subscription("n2", 3), 0.0))
    assert isinstance(message, Delta)
    assert (message.base, message.revision) == (3, 5)
    assert message.deletes == (ResourceKey("service", "s3"),)


def test_subscriber_behind_the_history_gets_a_full_delta() -> None:
    hub = hub_at(10, HubLimits(history_changes=4))
    ((_, message),) = sent_messages(hub.subscribe(1, subscription("n1", 3), 0.0))
    assert isinstance(message, Delta)
    assert (message.base, message.revision, len(message.puts)) == (0, 10, 10)


def test_subscriber_ahead_of_the_node_is_sent_nothing_until_the_node_catches_up() -> None:
    hub = hub_at(3)
    effects = hub.subscribe(1, subscription("n1", 5), 0.0)
    assert sent_messages(effects) == []
    assert sent_messages(hub.on_confirmed(1, 0.1)) == []
    hub.on_committed(change(4), 0.2)
    hub.on_committed(change(5), 0.2)
    assert sent_messages(hub.on_committed(change(6), 0.3)) == [((1,), change(6))]


def test_confirmation_covers_subscriptions_made_before_its_request() -> None:
    hub = hub_at(2)
    first = hub.subscribe(1, subscription("n1", 2), 0.0)
    assert first == [RequestConfirmation(1)]
    assert RequestConfirmation not in map(type, hub.subscribe(2, subscription("n2", 2), 0.0))
    effects = hub.on_confirmed(1, 0.1)
    assert sent_messages(effects) == [((1,), Delta(2, 2, confirmed=True))]
    assert RequestConfirmation(2) in effects
    assert sent_messages(hub.on_confirmed(2, 0.2)) == [((2,), Delta(2, 2, confirmed=True))]


def test_empty_configuration_is_sent_in_full_and_confirmed() -> None:
    hub = Hub("c1")
    effects = hub.subscribe(1, subscription("n1"), 0.0)
    assert sent_messages(effects) == [((1,), Delta(0, 0))]


def test_unanswered_confirmation_is_requested_again() -> None:
    hub = hub_at(1)
    subscribe(hub, 1)
    assert any(isinstance(effect, RequestConfirmation) for effect in hub.tick(1.0))


def test_full_subscriber_is_skipped_and_catches_up_once_drained() -> None:
    hub = hub_at(3)
    subscribe(hub, 1)
    subscribe(hub, 2)
    hub.on_buffer(1, True, 0.5)
    assert hub.full_subscribers() == (1,)
    for number in range(4, 40):
        assert [numbers for numbers, _ in sent_messages(hub.on_committed(change(number), 1.0))] == [
            (2,)
        ]
    ((numbers, message),) = sent_messages(hub.on_buffer(1, False, 2.0))
    assert numbers == (1,)
    assert isinstance(message, Delta)
    assert message.revision == 39


def test_fetch_that_crosses_a_delta_is_answered_only_when_repeated() -> None:
    hub = hub_at(3)
    subscribe(hub, 1)
    hub.on_committed(change(4), 1.0)
    assert hub.on_fetch(1, 3, 1.1) == ()
    assert sent_messages(hub.on_fetch(1, 3, 2.1)) == [((1,), change(4))]


def test_silent_subscriber_is_dropped() -> None:
    hub = hub_at(1)
    subscribe(hub, 1)
    subscribe(hub, 2)
    hub.on_in_force(2, 1, 4.0)
    effects = hub.tick(hub.limits.silence_seconds + 1.0)
    assert Close(1) in effects
    assert Close(2) not in effects
    assert hub.subscriber_count() == 1


def test_node_without_a_quorum_redirects_its_subscribers() -> None:
    hub = hub_at(1)
    hub.set_alternatives(("10.0.0.2:1",))
    subscribe(hub, 1)
    hub.on_quorum_contact(False, 1.0)
    assert Redirect(("10.0.0.2:1",)) not in [message for _, message in sent_messages(hub.tick(1.1))]
    hub.on_in_force(1, 1, 3.0)
    assert ((1,), Redirect(("10.0.0.2:1",))) in sent_messages(hub.tick(3.0))
    assert sent_messages(hub.tick(4.0)) == []


def test_committed_configuration_never_goes_back() -> None:
    hub = hub_at(3)
    with pytest.raises(InvariantError):
        hub.on_committed(change(3), 0.0)
    with pytest.raises(InvariantError):
        hub.on_committed(change(5), 0.0)
    with pytest.raises(InvariantError):
        hub.restore(Configuration(2), 0.0)


def test_reports_list_changes_once() -> None:
    hub = hub_at(2)
    subscribe(hub, 1)
    hub.on_in_force(1, 2, 0.1)
    assert [(item.node, item.revision) for item in hub.collect_report().daemons] == [("n1", 2)]
    assert hub.collect_report().daemons == ()
    assert len(hub.collect_report(everything=True).daemons) == 1
    hub.unsubscribe(1)
    assert [item.connected for item in hub.collect_report().daemons] == [False]


def test_restarted_daemon_is_not_silent_when_its_old_connection_ends() -> None:
    hub = hub_at(3)
    hub.subscribe(1, subscription("n1"), 0.0)
    hub.subscribe(2, subscription("n1"), 1.0)
    hub.on_in_force(2, 3, 1.1)
    hub.collect_report()
    hub.unsubscribe(1)
    assert [(status.node, status.connected) for status in hub.collect_report().daemons] != [
        ("n1", False)
    ]
    hub.unsubscribe(2)
    (status,) = hub.collect_report().daemons
    assert not status.connected


def test_reports_of_an_old_connection_do_not_apply_to_the_restarted_daemon() -> None:
    hub = hub_at(3)
    hub.subscribe(1, subscription("n1", 2), 0.0)
    hub.subscribe(2, subscription("n1"), 1.0)
    hub.on_in_force(2, 1, 1.1)
    hub.on_in_force(1, 3, 1.2)
    (status,) = hub.collect_report(everything=True).daemons
    assert (status.revision, status.connected) == (1, True)


def test_old_connection_may_end_last() -> None:
    hub = hub_at(3)
    hub.subscribe(1, subscription("n1"), 0.0)
    hub.subscribe(2, subscription("n1"), 1.0)
    hub.unsubscribe(2)
    (status,) = hub.collect_report().daemons
    assert status.connected
    hub.unsubscribe(1)
    assert hub.subscriber_count() == 0
    (status,) = hub.collect_report().daemons
    assert not status.connected


def lease_answers(effects: object) -> list[tuple[tuple[int, ...], LeaseRenewed]]:
    return [(to, line) for to, line in sent_messages(effects) if isinstance(line, LeaseRenewed)]


def test_lease_request_is_answered_by_a_read_started_after_it() -> None:
    hub = hub_at(2)
    subscribe(hub, 1, 2)
    assert list(hub.on_lease_request(1, 7, 0.1)) == []
    effects = hub.on_confirmed(1, 0.2)
    assert lease_answers(effects) == []
    assert RequestConfirmation(2) in effects
    assert lease_answers(hub.on_confirmed(2, 0.3)) == [((1,), LeaseRenewed(7, 2))]


def test_one_read_answers_all_lease_requests_after_their_configuration() -> None:
    hub = hub_at(2)
    subscribe(hub, 1, 2)
    subscribe(hub, 2, 2)
    hub.on_confirmed(1, 0.1)
    hub.on_confirmed(2, 0.1)
    assert list(hub.on_lease_request(1, 7, 0.2)) == [RequestConfirmation(3)]
    assert list(hub.on_lease_request(2, 9, 0.2)) == []
    assert list(hub.on_lease_request(2, 10, 0.2)) == []
    assert lease_answers(hub.on_confirmed(3, 0.3)) == [((1,), LeaseRenewed(7, 2))]
    messages = sent_messages([*hub.on_committed(change(3), 0.35), *hub.on_confirmed(4, 0.4)])
    assert messages[0] == ((1, 2), change(3))
    assert messages[1:] == [((2,), LeaseRenewed(9, 3)), ((2,), LeaseRenewed(10, 3))]


def test_failed_read_answers_nothing_and_is_repeated_by_the_next_tick() -> None:
    hub = hub_at(2)
    subscribe(hub, 1, 2)
    hub.on_confirmed(1, 0.1)
    assert list(hub.on_lease_request(1, 7, 0.2)) == [RequestConfirmation(2)]
    assert RequestConfirmation(3) in hub.tick(1.0)
    assert lease_answers(hub.on_confirmed(3, 1.1)) == [((1,), LeaseRenewed(7, 2))]


def test_node_behind_a_daemon_does_not_answer_its_lease_request() -> None:
    hub = hub_at(2)
    subscribe(hub, 1, 5)
    hub.on_lease_request(1, 7, 0.1)
    assert lease_answers(hub.on_confirmed(5, 0.2)) == []


def test_pending_lease_requests_of_a_daemon_are_bounded() -> None:
    hub = hub_at(2)
    subscribe(hub, 1, 2)
    for question in range(1000):
        hub.on_lease_request(1, question, 0.1)
    assert [line.question for _, line in lease_answers(hub.on_confirmed(9, 0.2))] == list(
        range(992, 1000)
    )

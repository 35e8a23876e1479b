"""How a daemon hears and tells of requests that crash back ends."""

from typing import Any
from unittest.mock import Mock

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.request import Request
from finchshed.daemon.serving.suspect_queue import (
    MAX_WAITING_SUSPECTS,
    SuspectDecision,
    SuspectQueue,
)
from finchshed.daemon.signatures import SignatureFactory
from finchshed.quarantine.messages import CrashNews
from finchshed.quarantine.register import Suspicion

SIGNATURES = SignatureFactory(HeaderNames())
REQUEST = Request("s", "GET", "/p", (), b"", CallContext("r", Importance.NORMAL, 1.0, 1))
SIGNATURE = SIGNATURES.compute(REQUEST)
SIGNER = SIGNATURES.lazy_signature(REQUEST)


class Node:
    """A daemon's quarantine, its client to control and its links as they are told."""

    def __init__(self, *, is_connected: bool) -> None:
        self.client = Mock(is_connected=is_connected, connections_made=int(is_connected))
        self.to_links: list[CrashNews] = []
        self.quarantine = Quarantine(self.client, self.to_links.append)

    @property
    def to_control(self) -> list[CrashNews]:
        calls: list[Any] = self.client.send_crash_news.call_args_list
        return [call.args[0] for call in calls]

    def crash(self, *instances: str) -> None:
        for instance in instances:
            self.quarantine.on_crash(instance, [SIGNATURE])


def test_control_is_told_of_each_crash_once_and_links_are_spared() -> None:
    node = Node(is_connected=True)
    node.crash("i-1")
    node.quarantine.tick()
    node.quarantine.tick()
    assert len(node.to_control) == 1
    assert not node.to_links


def test_without_control_links_are_told_and_pass_on_what_is_news() -> None:
    first, second = Node(is_connected=False), Node(is_connected=False)
    first.crash("i-1", "i-2", "i-3")
    for news in first.to_links:
        second.quarantine.on_peer_news(news.records)
    assert second.quarantine.check(SIGNER).suspicion is Suspicion.QUARANTINED
    passed_on = len(second.to_links)
    assert passed_on == len(first.to_links) == 3
    for news in first.to_links:
        second.quarantine.on_peer_news(news.records)
    assert len(second.to_links) == passed_on


def test_control_that_returns_is_told_what_was_heard_without_it() -> None:
    node = Node(is_connected=False)
    node.crash("i-1")
    node.quarantine.tick()
    node.client.is_connected = True
    node.client.connections_made += 1
    node.quarantine.tick()
    assert [news.records[0].signature for news in node.to_control] == [SIGNATURE]
    # A control node that is lost may not have passed on what it was told last.
    node.client.is_connected = False
    told = len(node.to_links)
    node.quarantine.tick()
    assert len(node.to_links) == told + 1


def test_another_control_node_is_told_all_and_one_that_knows_nothing_again() -> None:
    node = Node(is_connected=True)
    node.crash("i-1", "i-2")
    node.quarantine.tick()
    assert len(node.to_control) == 2
    node.client.connections_made += 1
    node.quarantine.tick()
    node.quarantine.tick()
    assert len(node.to_control) == 3
    assert len(node.to_control[-1].records[0].crashes) == 2


def test_an_answer_tells_the_daemon_that_sent_the_request() -> None:
    beside, sender = Node(is_connected=True), Node(is_connected=True)
    beside.crash("i-1", "i-2", "i-3")
    record = beside.quarantine.crash_record(SIGNER)
    assert record is not None
    sender.quarantine.on_answer(record)
    assert sender.quarantine.check(SIGNER).suspicion is Suspicion.QUARANTINED


def test_a_request_that_ran_to_an_end_is_free_again_everywhere() -> None:
    node = Node(is_connected=True)
    node.crash("i-1")
    assert node.quarantine.check(SIGNER).suspicion is Suspicion.SUSPECT
    node.quarantine.on_completed(SIGNER)
    assert node.quarantine.check(SIGNER).suspicion is Suspicion.FREE
    assert node.to_control[-1].records[0].refuted == ("i-1",)


def test_suspects_take_turns_and_few_of_them_wait() -> None:
    queue = SuspectQueue()
    assert queue.enter(1) is SuspectDecision.RUNS
    assert [queue.enter(token) for token in range(2, 2 + MAX_WAITING_SUSPECTS)] == [
        SuspectDecision.WAITS
    ] * MAX_WAITING_SUSPECTS
    assert queue.enter(99) is SuspectDecision.REFUSED
    assert queue.leave(3) is None
    assert not queue.is_waiting(3)
    assert queue.leave(1) == 2
    assert queue.leave(2) == 4
    for token in (5, 4):
        queue.leave(token)
    assert queue.enter(100) is SuspectDecision.RUNS

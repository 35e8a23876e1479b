"""Crash records are exchanged with control, or over links without it, and suspects run serially."""

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
LAZY_SIGNATURE = SIGNATURES.lazy_signature(REQUEST)


class QuarantineFixture:
    """A quarantine with a fake control client that records what is sent to control and links."""

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


def test_each_crash_is_sent_to_control_once_and_not_on_links() -> None:
    fixture = QuarantineFixture(is_connected=True)
    fixture.crash("i-1")
    fixture.quarantine.tick()
    fixture.quarantine.tick()
    assert len(fixture.to_control) == 1
    assert not fixture.to_links


def test_records_are_forwarded_on_links_without_control() -> None:
    first, second = QuarantineFixture(is_connected=False), QuarantineFixture(is_connected=False)
    first.crash("i-1", "i-2", "i-3")
    for news in first.to_links:
        second.quarantine.on_peer_records(news.records)
    assert second.quarantine.check(LAZY_SIGNATURE).suspicion is Suspicion.QUARANTINED
    forwarded = len(second.to_links)
    assert forwarded == len(first.to_links) == 3
    for news in first.to_links:
        second.quarantine.on_peer_records(news.records)
    assert len(second.to_links) == forwarded


def test_returning_control_gets_the_records_received_meanwhile() -> None:
    fixture = QuarantineFixture(is_connected=False)
    fixture.crash("i-1")
    fixture.quarantine.tick()
    fixture.client.is_connected = True
    fixture.client.connections_made += 1
    fixture.quarantine.tick()
    assert [news.records[0].signature for news in fixture.to_control] == [SIGNATURE]
    # The last records may be lost with the control node, so they are sent on the links.
    fixture.client.is_connected = False
    sent = len(fixture.to_links)
    fixture.quarantine.tick()
    assert len(fixture.to_links) == sent + 1


def test_new_control_node_gets_all_records() -> None:
    fixture = QuarantineFixture(is_connected=True)
    fixture.crash("i-1", "i-2")
    fixture.quarantine.tick()
    assert len(fixture.to_control) == 2
    fixture.client.connections_made += 1
    fixture.quarantine.tick()
    fixture.quarantine.tick()
    assert len(fixture.to_control) == 3
    assert len(fixture.to_control[-1].records[0].crashes) == 2


def test_answer_carries_the_crash_record_to_the_calling_daemon() -> None:
    callee, sender = QuarantineFixture(is_connected=True), QuarantineFixture(is_connected=True)
    callee.crash("i-1", "i-2", "i-3")
    record = callee.quarantine.crash_record(LAZY_SIGNATURE)
    assert record is not None
    sender.quarantine.on_answer(record)
    assert sender.quarantine.check(LAZY_SIGNATURE).suspicion is Suspicion.QUARANTINED


def test_completed_request_is_cleared_everywhere() -> None:
    fixture = QuarantineFixture(is_connected=True)
    fixture.crash("i-1")
    assert fixture.quarantine.check(LAZY_SIGNATURE).suspicion is Suspicion.SUSPECT
    fixture.quarantine.on_completed(LAZY_SIGNATURE)
    assert fixture.quarantine.check(LAZY_SIGNATURE).suspicion is Suspicion.FREE
    assert fixture.to_control[-1].records[0].refuted == ("i-1",)


def test_suspects_run_one_at_a_time_and_few_wait() -> None:
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

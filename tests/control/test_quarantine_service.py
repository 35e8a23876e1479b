"""Quarantine service: distribution of crash records and lifting of quarantines."""

import asyncio

from finchshed.control.daemons.quarantine_service import QuarantineService
from finchshed.control.daemons.soft_state_broadcaster import BATCH_INTERVAL_SECONDS
from finchshed.distribution.messages import ControlToDaemon
from finchshed.quarantine.messages import Crash, CrashNews, CrashRecord
from finchshed.quarantine.register import Suspicion


def news(signature: str, *instances: str) -> CrashNews:
    crashes = tuple(Crash(instance, True) for instance in instances)
    return CrashNews((CrashRecord(signature, 0.0, crashes),))


class QuarantineNode:
    """Quarantine service and the messages that it sends."""

    def __init__(self) -> None:
        self.to_daemons: list[ControlToDaemon] = []
        self.to_peers: list[CrashNews] = []
        self.service = QuarantineService(self.to_daemons.append, self.to_peers.append)


async def test_changed_records_are_sent_to_daemons_and_peers_once() -> None:
    node, peer = QuarantineNode(), QuarantineNode()
    node.service.on_daemon_report(news("a", "i-1"))
    node.service.on_daemon_report(news("a", "i-1"))
    assert len(node.to_daemons) == len(node.to_peers) == 1
    peer.service.on_report(node.to_peers[0])
    peer.service.on_report(node.to_peers[0])
    assert len(peer.to_daemons) == 1
    assert not peer.to_peers  # every control node sends to every other one itself


async def test_changes_in_quick_succession_are_sent_together() -> None:
    node = QuarantineNode()
    for number in range(20):
        node.service.on_daemon_report(news(f"r-{number}", "i-1"))
    assert len(node.to_daemons) == 1
    await asyncio.sleep(3 * BATCH_INTERVAL_SECONDS)
    sent = [item for item in node.to_daemons if isinstance(item, CrashNews)]
    assert [len(item.records) for item in sent] == [1, 19]


async def test_connecting_daemon_gets_all_records_and_a_lift_clears_them() -> None:
    node = QuarantineNode()
    assert node.service.initial_messages() == ()
    node.service.on_daemon_report(news("a", "i-1", "i-2", "i-3"))
    (initial_message,) = node.service.initial_messages()
    assert isinstance(initial_message, CrashNews)
    assert [assessment.suspicion for _, assessment in node.service.assessments()] == [
        Suspicion.QUARANTINED
    ]
    assert not node.service.lift("b")
    assert node.service.lift("a")
    assert node.service.assessments() == ()
    assert node.to_peers[-1].records[0].refuted == ("i-1", "i-2", "i-3")

"""Quota service: the leader answers, other nodes forward to it."""

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Change
from finchshed.configuration.resources import Tenant
from finchshed.configuration.store import BOOTSTRAP_OPERATOR
from finchshed.control.daemons import quota_service
from finchshed.control.daemons.quota_service import LEADERSHIP_VALID_SECONDS, QuotaService
from finchshed.control.raft.node_messages import ForwardedQuota, QuotaReply
from finchshed.control.state.commands import (
    ApplyChange,
    Command,
    LogEntry,
    RecordQuotaHolders,
    encode_entry,
)
from finchshed.control.state.machine import ControlStateMachine
from finchshed.quota.messages import (
    HeldShare,
    QuotaAnswer,
    QuotaAsk,
    QuotaReport,
    QuotaShares,
    QuotaTokens,
)

LIMITED = Tenant("t", requests_per_second=100.0, burst_requests=100.0)
REPORT = QuotaReport("1", 1, (HeldShare("t", 10.0, 0.0, 0.0),))
ASK = QuotaAsk("1", 2, "t", 1)


class FakeLog:
    """Log with leadership and quorum set by the test."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self.machine = machine
        self.term: int | None = 3
        self.has_quorum = True
        self.forwarded: list[ForwardedQuota] = []

    def leading_term(self) -> int | None:
        return self.term

    def send_to_leader(self, message: ForwardedQuota) -> bool:
        self.forwarded.append(message)
        return True

    async def read_barrier(self) -> None:
        if not self.has_quorum:
            raise ControlUnavailableError("no quorum")

    async def propose(self, command: Command) -> None:
        if not self.has_quorum:
            raise ControlUnavailableError("no quorum")
        apply(self.machine, command)


class FakeLink:
    """Records messages to another control node."""

    def __init__(self) -> None:
        self.sent: list[QuotaReply] = []

    def send(self, message: QuotaReply) -> int:
        self.sent.append(message)
        return 1


def apply(machine: ControlStateMachine, command: Command) -> None:
    entry = encode_entry(LogEntry(1.0, command))
    machine.apply(machine.applied_index + 1, entry)


class QuotaNode:
    """Quota service with a fake log and a clock set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(quota_service.clock, "now", lambda: self.now)
        self.machine = ControlStateMachine()
        change = Change("c", BOOTSTRAP_OPERATOR, 0, (LIMITED,))
        apply(self.machine, ApplyChange(change))
        self.log = FakeLog(self.machine)
        self.answers: list[tuple[str, QuotaAnswer]] = []
        self.service = QuotaService(self.machine, self.log, self._send)  # type: ignore[arg-type]

    def _send(self, daemon: str, answer: QuotaAnswer) -> bool:
        self.answers.append((daemon, answer))
        return True

    async def advance(self, seconds: float = 0.0) -> None:
        """Advance the clock and run one leadership check."""
        self.now += seconds
        await self.service.check_leadership()


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> QuotaNode:
    return QuotaNode(monkeypatch)


async def test_leader_records_a_daemon_before_granting_a_share(node: QuotaNode) -> None:
    await node.advance()
    node.service.on_request("d1", REPORT)
    assert node.machine.quota_holders == frozenset()
    await node.advance(1.1)
    assert node.machine.quota_holders == {"d1"}
    node.service.on_request("d1", QuotaReport("1", 2, REPORT.shares))
    rates = [answer.shares[0].rate for _, answer in node.answers if isinstance(answer, QuotaShares)]
    assert rates[0] == 0.0 < rates[1]


async def test_leader_answers_until_its_last_read_is_too_old(node: QuotaNode) -> None:
    node.service.on_request("d1", ASK)
    assert not node.answers
    await node.advance()
    node.log.has_quorum = False
    await node.advance(LEADERSHIP_VALID_SECONDS - 0.01)
    node.service.on_request("d1", ASK)
    assert len(node.answers) == 1
    await node.advance(0.02)
    node.service.on_request("d1", ASK)
    assert len(node.answers) == 1


async def test_resumed_process_answers_nothing_before_a_read(
    node: QuotaNode,
) -> None:
    await node.advance()
    node.now += 10.0
    node.service.on_request("d1", ASK)
    assert not node.answers


async def test_new_term_starts_without_shares(node: QuotaNode) -> None:
    await node.advance()
    node.service.on_request("d1", REPORT)
    await node.advance(1.1)
    node.log.term = 5
    node.service.on_request("d1", ASK)
    assert len(node.answers) == 1
    await node.advance()
    node.service.on_request("d1", ASK)
    answer = node.answers[-1][1]
    assert isinstance(answer, QuotaTokens)
    assert answer.tokens == 0


async def test_other_node_forwards_the_request_and_relays_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    follower, leader = QuotaNode(monkeypatch), QuotaNode(monkeypatch)
    follower.log.term = None
    await follower.advance()
    await leader.advance()
    leader.now += 0.5
    follower.service.on_request("d1", ASK)
    link = FakeLink()
    leader.service.on_peer(link, follower.log.forwarded[0])  # type: ignore[arg-type]
    follower.service.on_peer(link, link.sent[0])  # type: ignore[arg-type]
    assert [daemon for daemon, _ in follower.answers] == ["d1"]
    assert not leader.answers


def test_recorded_daemons_survive_a_snapshot() -> None:
    machine, restored = ControlStateMachine(), ControlStateMachine()
    apply(machine, RecordQuotaHolders(("a", "b")))
    apply(machine, RecordQuotaHolders((), ("a",)))
    restored.restore(machine.snapshot())
    assert restored.quota_holders == {"b"}

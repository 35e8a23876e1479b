"""All hosts of a Raft node keep its timer by the same rule, so that a simulation proves it."""

import asyncio
import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from unittest import mock

import pytest

from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.events import Event, Read
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.step_timer import StepTimer
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.host import RaftHost
from finchshed.control.state.machine import ControlStateMachine
from finchshed.proof.consensus.group import Group
from tests.consensus.direct_group import DirectGroup
from tests.emulator.test_control_group import start_group

SLACK_SECONDS = 0.002
IDLE_SECONDS = 60.0


class Timers:
    """Timers of a host, in time set by the test."""

    def __init__(self) -> None:
        self.armed: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self._count = 0

    def arm(self, delay: float, action: Callable[[], None]) -> None:
        """Arm a timer."""
        self._count += 1
        heapq.heappush(self.armed, (self.now + delay, self._count, action))

    def run_until(self, now: float) -> None:
        """Run all timers that are due."""
        while self.armed and self.armed[0][0] <= now:
            self.now, _, action = heapq.heappop(self.armed)
            action()
        self.now = now


def test_an_armed_timer_is_not_put_off_by_steps_in_between() -> None:
    group = DirectGroup.formed()
    leader = group.leader
    timers = Timers()
    timers.now = group.now
    fired: list[float] = []
    timer = StepTimer(leader, timers.arm, lambda: fired.append(timers.now))
    timer.rearm()
    due = group.now + leader.next_delay()
    while timers.now < due:
        group.now = timers.now + 0.005
        timers.run_until(group.now)
        group.step(leader.identity.name, [Read(1)])
        if not fired:
            timer.rearm()
    assert fired == pytest.approx([due])


def test_a_timer_is_replaced_if_a_duty_becomes_due_earlier() -> None:
    node = mock.Mock(now=0.0)
    timers = Timers()
    fired: list[float] = []
    timer = StepTimer(node, timers.arm, lambda: fired.append(timers.now))
    node.next_delay.return_value = 1.0
    timer.rearm()
    node.next_delay.return_value = 0.25
    timer.rearm()
    timers.run_until(2.0)
    assert fired == [0.25]


def test_a_timer_that_fired_is_armed_anew() -> None:
    node = mock.Mock(now=0.0)
    node.next_delay.return_value = 0.5
    timers = Timers()
    fired: list[float] = []

    def step() -> None:
        node.now = timers.now
        fired.append(timers.now)
        timer.rearm()

    timer = StepTimer(node, timers.arm, step)
    timer.rearm()
    timers.run_until(1.6)
    assert fired == [0.5, 1.0, 1.5]


def test_a_leader_of_the_proof_checks_in_time_while_it_is_read() -> None:
    group = Group("dense", 3, 0)
    group.start()
    waiting = group.scheduler.start(group.wait_until(group.is_whole, 10.0))
    group.scheduler.run_until(waiting)
    leader = group.leader()
    assert leader is not None
    ages: list[float] = []

    def read_densely() -> object:
        for _ in range(500):
            leader.read()
            ages.append(leader.raft.leader_check_age_seconds)
            yield group.scheduler.sleep(0.005)

    group.scheduler.run_until(group.scheduler.start(read_densely()))
    assert max(ages) <= group.options.heartbeat_interval_seconds + 0.005 + SLACK_SECONDS


def test_an_idle_node_takes_a_step_for_each_message_and_few_for_its_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steps: Counter[EffectRunner] = Counter()
    handle = EffectRunner.handle

    def count(self: EffectRunner, events: Sequence[Event], now: float) -> None:
        steps[self] += 1
        handle(self, events, now)

    group = Group("idle", 3, 1)
    group.start()
    group.scheduler.run_until(group.scheduler.start(group.wait_until(group.is_whole, 10.0)))
    monkeypatch.setattr(EffectRunner, "handle", count)
    group.scheduler.run_until(group.scheduler.start(group.pause(IDLE_SECONDS, IDLE_SECONDS)))
    heartbeats = IDLE_SECONDS / group.options.heartbeat_interval_seconds
    announcements = IDLE_SECONDS / group.options.announcement_interval_seconds
    timers = 2 * IDLE_SECONDS / group.options.election_timeout_min_seconds
    spare = group.nodes["n4"]
    for node in group.nodes.values():
        if node is spare:
            allowed = announcements + timers
        elif node.is_leader:
            # A timer and two replies for each heartbeat, announcements directly and forwarded.
            allowed = 3 * heartbeats + 3 * announcements
        else:
            allowed = heartbeats + announcements + timers
        assert steps[node._runner] <= 1.05 * allowed


def test_a_leader_of_the_emulator_checks_in_time_while_it_is_read() -> None:
    simulation, group = start_group()
    host = group.node("leader").host
    ages: list[float] = []
    for number in range(500):
        host.read(lambda _: None)
        simulation.clock.run_until(2.5 + 0.005 * (number + 1))
        ages.append(host.node.leader_check_age_seconds)
    assert max(ages) <= RaftOptions().heartbeat_interval_seconds + 0.005 + SLACK_SECONDS


async def test_the_host_of_a_control_node_checks_while_it_is_busy_without_its_timer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    background = BackgroundTasks(on_invariant_error=lambda error: pytest.fail(str(error)))
    options = RaftOptions(
        heartbeat_interval_seconds=0.01,
        election_timeout_min_seconds=0.05,
        election_timeout_max_seconds=0.1,
    )
    host = RaftHost(
        "c1",
        "c1:1",
        {"c1": "c1:1"},
        str(tmp_path),
        options=options,
        machine=ControlStateMachine(),
        background=background,
    )
    host.start(mock.Mock())
    async with asyncio.timeout(20.0):
        while not host.is_leader:
            await host.wait_for_role_change(1.0)
    monkeypatch.setattr(StepTimer, "rearm", lambda _: None)
    checks: set[float] = set()
    async with asyncio.timeout(20.0):
        while len(checks) < 10:
            await host.read()
            age = host.node.leader_check_age_seconds
            checks.add(host.node.now - age)
            await asyncio.sleep(0.001)
    background.cancel()
    await host.stop()

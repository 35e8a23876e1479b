"""Replacement of a control node, and recovery of a group that has lost its majority."""

import asyncio
import random
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Accepted, Conflict
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Service
from finchshed.control.raft.recovery import REVISION_GAP
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.ctl.connection import CONTROL_VARIABLE, TOKEN_VARIABLE
from finchshed.distribution.messages import LedgerCompleted, LedgerGranted, LedgerUnknown
from finchshed.ledger.keys import new_key
from tests.control.daemons import StubDaemon, running
from tests.control.group import OPERATOR_TOKEN, Group, Node, apply_one
from tests.ctl.runner import CtlRunner

ANSWER = Answered(201, (), b"licence 7")
SECONDS = 30.0
WINDOW_AHEAD_SECONDS = 30.0


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    control_group = Group(tmp_path, spares=1)
    control_group.start_all()
    control_group.bootstrap()
    yield control_group
    control_group.close()


@pytest.fixture
def ctl(
    group: Group, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> CtlRunner:
    monkeypatch.setenv(CONTROL_VARIABLE, ",".join(node.rpc for node in group.nodes))
    monkeypatch.setenv(TOKEN_VARIABLE, OPERATOR_TOKEN)
    return CtlRunner(capsys)


def roles(ctl: CtlRunner) -> dict[str, str]:
    members = msgspec.json.decode(ctl("members --json"))["members"]
    return {item["name"]: item["role"].replace("leader", "voter") for item in members}


def test_replace_member_replaces_a_node_and_is_idempotent(ctl: CtlRunner, group: Group) -> None:
    first, second, lost, spare = group.nodes
    group.kill(lost)
    command = f"replace-member --remove={lost.name} --add={spare.name}"
    ctl(f"{command} --timeout=1", code=3)
    assert "hasn't made itself known" in ctl.errors
    group.start(spare)
    ctl(f"{command} --timeout=60")
    expected = {node.name: "voter" for node in (first, second, spare)}
    assert roles(ctl) == expected
    assert ctl(command) == "done\n"
    group.start(lost)
    client = group.client([first, second, spare])
    for number in range(10):
        assert isinstance(apply_one(client, f"c{number}", Service(name=f"s{number}")), Accepted)
    client.close()
    assert roles(ctl) == expected
    group.kill(lost)
    group.kill(second)
    assert "s9" in ctl("get service/s9")
    entries = msgspec.json.decode(ctl("history --json"))["entries"]
    actions = [entry for entry in entries if entry["action"] == "replace-member"]
    assert [entry["subject"] for entry in actions] == [command.removeprefix("replace-member ")]
    assert actions[0]["operator"] == "ana"


def make_change(number: int) -> Difference:
    return Difference((Service(name=f"s{number}"),), ())


def lose_majority(group: Group) -> Node:
    """Kill all voters but one and delete their data; return the survivor, still running."""
    survivor = group.nodes[1]
    for node in group.voters:
        if node is not survivor:
            group.kill(node)
            group.lose_disk(node)
    return survivor


def test_restore_from_a_surviving_disk(ctl: CtlRunner, group: Group) -> None:
    keys = {name: new_key(time.time(), random.Random(name)) for name in ("begun", "done", "never")}
    client = group.client(group.voters)
    for number in range(5):
        assert submit_change(client, f"c{number}", 1 + number, make_change(number)) == Accepted(
            2 + number
        )
    client.close()
    asyncio.run(use_ledger(group, keys))
    survivor = lose_majority(group)
    settings = group.settings_of(survivor)
    old_folder = group.folder / "kept"

    ctl(f"restore {survivor.folder} --settings={settings} --accept_loss_after=6", code=1)
    assert "another process uses" in ctl.errors
    group.kill(survivor)
    survivor.folder.rename(old_folder)
    report = ctl(f"restore {old_folder} --settings={settings}", code=15)
    assert "every change accepted after revision 6" in report
    assert not survivor.folder.exists()
    ctl(f"restore {old_folder} --settings={settings} --accept_loss_after=5", code=2)
    assert "allowed is 6" in ctl.errors
    ctl(f"restore {old_folder} --settings={settings} --accept_loss_after=6")
    ctl(f"restore {old_folder} --settings={settings} --accept_loss_after=6", code=2)
    assert "allowed is a folder without a log" in ctl.errors

    group.start(survivor)
    alone = group.client([survivor])
    in_force = read_configuration(alone)
    assert in_force.revision == 6 + REVISION_GAP
    assert {f"s{number}" for number in range(5)} <= {key.name for key in in_force.resources}
    assert submit_change(alone, "c4", 5, make_change(4)) == Accepted(6)
    assert isinstance(submit_change(alone, "lost", 6, make_change(9)), Conflict)
    alone.close()
    asyncio.run(check_ledger_after_recovery(survivor, keys))
    assert "changes after revision 6 are lost" in ctl("history")

    for node in group.voters:
        if node is not survivor:
            group.start(node)
            ctl(f"replace-member --add={node.name} --timeout=60")
    assert roles(ctl) == {node.name: "voter" for node in group.voters}
    group.kill(survivor)
    others = group.client([node for node in group.voters if node is not survivor])
    assert isinstance(apply_one(others, "after", Service(name="after")), Accepted)
    others.close()


async def use_ledger(group: Group, keys: dict[str, str]) -> None:
    daemon = StubDaemon("edge", group.voters)
    async with running(daemon):
        await daemon.wait_for(6)
        for name in ("begun", "done"):
            answer = await daemon.client.ledger.begin(keys[name], "a", SECONDS)
            assert isinstance(answer, LedgerGranted)
        assert await daemon.client.ledger.complete(keys["done"], "a", ANSWER, SECONDS)


async def check_ledger_after_recovery(survivor: Node, keys: dict[str, str]) -> None:
    """Check that no key made before the recovery is granted, even one the ledger doesn't know."""
    daemon = StubDaemon("edge", [survivor])
    daemon.revision = 7
    async with running(daemon):
        await daemon.wait_for(6 + REVISION_GAP)
        done = await daemon.client.ledger.begin(keys["done"], "b", SECONDS)
        assert isinstance(done, LedgerCompleted)
        assert done.answer == ANSWER
        for name in ("begun", "never"):
            assert isinstance(
                await daemon.client.ledger.begin(keys[name], "b", SECONDS), LedgerUnknown
            )
        ahead = new_key(time.time() + WINDOW_AHEAD_SECONDS, random.Random(5))
        assert isinstance(await daemon.client.ledger.begin(ahead, "b", SECONDS), LedgerUnknown)


def test_restore_from_a_backup(ctl: CtlRunner, group: Group, tmp_path: Path) -> None:
    file = tmp_path / "backup.json"
    client = group.client(group.voters)
    assert submit_change(client, "before", 1, make_change(0)) == Accepted(2)
    ctl(f"backup {file}")
    assert submit_change(client, "after", 2, make_change(1)) == Accepted(3)
    client.close()
    first, *others = group.voters
    settings = group.settings_of(first)
    group.kill(first)
    group.lose_disk(first)
    ctl(f"restore {file} --settings={settings} --accept_loss_after=2", code=1)
    assert f"still answering: {others[0].name}" in ctl.errors
    assert not first.folder.exists()
    for node in others:
        group.kill(node)
        group.lose_disk(node)
    assert "after revision 2" in ctl(f"restore {file} --settings={settings}", code=15)
    (tmp_path / "cut.json").write_bytes(file.read_bytes()[:-9])
    ctl(f"restore {tmp_path / 'cut.json'} --settings={settings}", code=2)
    assert "no backup" in ctl.errors
    ctl(f"restore {file} --settings={settings} --accept_loss_after=2")
    group.start(first)
    alone = group.client([first])
    in_force = read_configuration(alone)
    alone.close()
    assert in_force.revision == 2 + REVISION_GAP
    assert "s0" in {key.name for key in in_force.resources}
    assert "s1" not in {key.name for key in in_force.resources}

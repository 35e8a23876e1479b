"""Recovery of a control node from a truncated or corrupted journal."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from finchshed.configuration.changes import Accepted
from finchshed.configuration.resources import Service
from finchshed.ctl.changes import read_configuration
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.runtime import clock
from tests.control.group import START_SECONDS, Group, Node, apply_one

CHANGES = 30


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    group = Group(tmp_path)
    group.start_all()
    group.bootstrap()
    client = group.client()
    for number in range(CHANGES):
        result = apply_one(client, f"c{number}", Service(name=f"s{number}"))
        assert isinstance(result, Accepted)
    client.close()
    yield group
    group.close()


def kill_follower(group: Group) -> Node:
    leader = group.leader()
    node = next(node for node in group.voters if node is not leader)
    group.kill(node)
    return node


def log_file(node: Node, beginning: str) -> Path:
    return next((node.folder / "log").glob(f"{beginning}*"))


def incarnation_of(node: Node) -> bytes:
    return log_file(node, "incarnation").read_bytes()


def wait_until_all_vote(group: Group, excluded_incarnation: str = "") -> None:
    """Wait until the group has three voters without ``excluded_incarnation``."""
    deadline = clock.now() + START_SECONDS
    client = group.client()
    try:
        while clock.now() < deadline:
            for _, answer in client.call_each("Members", pb.MembersRequest()).answers:
                if answer.leader != answer.node:
                    continue
                roles = [member.role for member in answer.members]
                is_replaced = excluded_incarnation not in [m.incarnation for m in answer.members]
                if sorted(roles) == ["leader", "voter", "voter"] and is_replaced:
                    return
            time.sleep(0.1)
    finally:
        client.close()
    raise AssertionError(f"the group does not have three voters within {START_SECONDS} s")


def test_a_torn_end_is_cut_and_the_node_stays_who_it_was(group: Group) -> None:
    node = kill_follower(group)
    before = incarnation_of(node)
    journal = log_file(node, "journal")
    whole = journal.read_bytes()
    partial_line = whole.splitlines()[-1][:80]
    journal.write_bytes(whole + partial_line)
    group.start(node)
    wait_until_all_vote(group)
    assert incarnation_of(node) == before
    client = group.client([node])
    assert read_configuration(client).revision == CHANGES + 1
    client.close()


def test_a_damaged_journal_is_set_aside_and_the_node_is_brought_up_anew(group: Group) -> None:
    node = kill_follower(group)
    before = incarnation_of(node)
    journal = log_file(node, "journal")
    content = bytearray(journal.read_bytes())
    content[len(content) // 2] ^= 0x10
    journal.write_bytes(content)
    group.start(node)
    old = before.split(b'"incarnation":"')[1][:16].decode()
    wait_until_all_vote(group, excluded_incarnation=old)
    assert incarnation_of(node) != before
    assert (node.folder / "log" / f"damaged-{journal.name}").read_bytes() == bytes(content)
    client = group.client([node])
    assert read_configuration(client).revision == CHANGES + 1
    client.close()

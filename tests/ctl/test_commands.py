"""Sub-commands of ``finchshed ctl`` and their exit codes, against running control nodes."""

import asyncio
import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import grpc
import msgspec
import pytest

from finchshed.control.state.machine import StateSnapshot
from finchshed.ctl.connection import CONTROL_VARIABLE, TOKEN_VARIABLE
from finchshed.distribution.messages import Decision
from finchshed.quarantine.messages import Crash, CrashNews, CrashRecord
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.rpc.generated import finchshed_pb2_grpc as pb_grpc
from tests.control.daemons import StubDaemon, running
from tests.control.group import OPERATOR_TOKEN, Group, digest, free_addresses
from tests.ctl.runner import CtlRunner

DECLARATIONS = """
[[service]]
name = "sales"
[[service.routes]]
prefix = "/"
importance = "high"

[[endpoint]]
name = "sales-1"
service = "sales"
region = "texas"
zone = "a"
address = "10.0.0.1:7000"
slots = {slots}
"""

OPERATOR = f"""
[[operator]]
name = "ana"
token_sha256 = "{digest(OPERATOR_TOKEN)}"
"""


@pytest.fixture(scope="module")
def group(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Group]:
    control_group = Group(tmp_path_factory.mktemp("group"))
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


@pytest.fixture
def declared(tmp_path: Path, ctl: CtlRunner) -> Path:
    """Return a folder of declarations that have been applied."""
    folder = tmp_path / "declarations"
    folder.mkdir()
    (folder / "operators.toml").write_text(OPERATOR)
    (folder / "sales.toml").write_text(DECLARATIONS.format(slots=8))
    ctl(f"apply {folder}")
    return folder


def test_diff_apply_and_get_of_a_change(ctl: CtlRunner, declared: Path) -> None:
    revision = msgspec.json.decode(ctl("get --json"))["revision"]
    (declared / "sales.toml").write_text(DECLARATIONS.format(slots=9))
    assert "~ endpoint sales-1: slots: 8 -> 9" in ctl(f"diff {declared}", code=10)
    first = ctl(f"apply {declared} --change_id=to-nine-{revision}")
    assert first == f"accepted as revision {revision + 1} (change to-nine-{revision})\n"
    assert ctl(f"diff {declared}") == "nothing to change\n"
    assert f"nothing to change at revision {revision + 1}" in ctl(f"apply {declared}")
    assert ctl(f"apply {declared} --change_id=to-nine-{revision}") == first
    assert '"slots":9' in ctl("get endpoint/sales-1")
    assert "revision" in ctl("get service/other", code=1)
    assert "service/other: not declared" in ctl.errors
    assert "to-nine" in ctl("history --limit=1")


def test_a_change_against_an_old_revision_names_the_conflicting_change(
    ctl: CtlRunner, declared: Path
) -> None:
    revision = msgspec.json.decode(ctl("get --json"))["revision"]
    (declared / "sales.toml").write_text(DECLARATIONS.format(slots=20))
    ctl(f"apply {declared} --change_id=winner-{revision}")
    (declared / "sales.toml").write_text(DECLARATIONS.format(slots=21))
    text = ctl(f"apply {declared} --expected_revision={revision}", code=11)
    assert f"conflict: change winner-{revision} of ana was accepted first" in text
    result = msgspec.json.decode(
        ctl(f"apply {declared} --expected_revision={revision} --json", code=11)
    )["result"]
    assert (result["type"], result["winner_change_id"]) == ("conflict", f"winner-{revision}")


def test_declarations_without_an_operator_are_rejected(ctl: CtlRunner, declared: Path) -> None:
    (declared / "operators.toml").unlink()
    text = ctl(f"apply {declared}", code=12)
    assert "operator: none would be left" in text


def test_a_drain_survives_apply_and_is_reverted_by_undrain(ctl: CtlRunner, declared: Path) -> None:
    ctl("drain sales-1")
    assert "leaving" in ctl("drain sales-1")
    assert '"state":"leaving"' in ctl("get endpoint/sales-1")
    ctl(f"apply {declared}")
    assert '"state":"leaving"' in ctl("get endpoint/sales-1")
    ctl("undrain sales-1")
    assert "active" in ctl("undrain sales-1")
    assert '"state":"active"' in ctl("get endpoint/sales-1")
    ctl("drain nothing", code=2)
    assert "allowed are declared endpoints" in ctl.errors


def test_watch_resumes_after_a_revision(ctl: CtlRunner, declared: Path) -> None:
    revision = msgspec.json.decode(ctl("get --json"))["revision"]
    ctl("drain sales-1")
    ctl("undrain sales-1")
    lines = ctl(f"watch --after={revision} --count=2 --json").splitlines()
    events = [msgspec.json.decode(line) for line in lines]
    assert [event["revision"] for event in events] == [revision + 1, revision + 2]
    assert [event["resources"][0]["type"] for event in events] == ["endpoint", "endpoint"]
    assert "whole configuration" in ctl("watch --count=1")


def while_daemons_run(daemons: list[StubDaemon], action: Callable[[], None]) -> None:
    """Run ``daemons`` on an event loop in another thread while ``action`` runs."""
    started, ended = threading.Event(), threading.Event()

    async def run() -> None:
        async with running(*daemons):
            for daemon in daemons:
                await daemon.wait_for(1)
            started.set()
            await asyncio.to_thread(ended.wait, 60.0)

    thread = threading.Thread(target=lambda: asyncio.run(run()))
    thread.start()
    try:
        assert started.wait(60.0)
        action()
    finally:
        ended.set()
        thread.join(timeout=60.0)


def test_status_names_daemons_in_force_behind_and_silent(
    ctl: CtlRunner, declared: Path, group: Group
) -> None:
    prompt = StubDaemon("daemon-prompt", group.nodes, endpoint="sales-1")
    slow = StubDaemon("daemon-slow", group.nodes)

    def act() -> None:
        wait_for_status(ctl, lambda status: status["in_force"] == 2)
        slow.holds_back = True
        ctl("drain sales-1")
        status = wait_for_status(ctl, lambda status: status["in_force"] == 1)
        assert [(item["node"], item["state"]) for item in status["daemons"]] == [
            ("daemon-slow", "behind")
        ]
        text = ctl("status", code=14)
        assert "confirmed by a quorum" in text
        assert "in force at 1 of 2 daemons" in text
        assert "ledger: 0 keys begun" in text
        slow.holds_back = False
        ctl("undrain sales-1")
        wait_for_status(ctl, lambda status: status["in_force"] == 2)
        assert "in force at 2 of 2 daemons" in ctl("status")

    while_daemons_run([prompt, slow], act)
    status = wait_for_status(ctl, lambda status: status["in_force"] == 0)
    silent = {item["node"]: item for item in status["daemons"]}
    assert silent.keys() == {"daemon-prompt", "daemon-slow"}
    assert {item["state"] for item in silent.values()} == {"silent"}


def wait_for_status(
    ctl: CtlRunner, condition: Callable[[dict[str, object]], bool]
) -> dict[str, object]:
    for _ in range(300):
        status: dict[str, object] = msgspec.json.decode(ctl("status --json", code=None))
        if condition(status):
            return status
        threading.Event().wait(0.1)
    raise AssertionError(status)


def test_explain_shows_a_daemons_decisions(ctl: CtlRunner, declared: Path, group: Group) -> None:
    daemon = StubDaemon("daemon-explained", group.nodes)
    decision = Decision(0.5, "root-1", "refused", "overload", "sales-1", "queue 7 ms")
    daemon.client.on_explain = lambda request: (decision,) if request.root == "root-1" else ()

    def act() -> None:
        text = ctl("explain daemon-explained --root=root-1")
        assert "overload" in text
        assert "queue 7 ms" in text
        assert "overload" not in ctl("explain daemon-explained --root=root-2")

    while_daemons_run([daemon], act)
    ctl("explain daemon-nowhere", code=3)
    assert "isn't connected here" in ctl.errors


def test_quarantine_shows_and_lifts_a_quarantined_request(
    ctl: CtlRunner, declared: Path, group: Group
) -> None:
    daemon = StubDaemon("daemon-beside", group.nodes)
    received_news: list[CrashNews] = []
    daemon.client.on_crash_news = received_news.append
    crashes = tuple(Crash(f"i-{number}", True) for number in range(3))

    def act() -> None:
        news = CrashNews((CrashRecord("5ab1", 0.0, crashes),))
        assert daemon.loop is not None
        daemon.loop.call_soon_threadsafe(daemon.client.send_crash_news, news)
        for _ in range(100):
            text = ctl("quarantine")
            if "5ab1" in text:
                break
            threading.Event().wait(0.05)
        assert "quarantined" in text
        assert "5ab1" not in ctl("quarantine --lift=5ab1")
        for _ in range(100):
            if received_news[-1].records[0].refuted:
                break
            threading.Event().wait(0.05)
        assert received_news[-1].records[0].refuted == ("i-0", "i-1", "i-2")

    while_daemons_run([daemon], act)
    ctl("quarantine --lift=nothing", code=None)
    assert "nothing is held" in ctl.errors
    assert "lift quarantine" in ctl("history")


def test_backup_members_and_dump(ctl: CtlRunner, declared: Path, tmp_path: Path) -> None:
    file = tmp_path / "state.json"
    view = msgspec.json.decode(ctl(f"backup {file} --json"))
    state = msgspec.json.decode(file.read_bytes(), type=StateSnapshot)
    assert state.store.revision == view["revision"]
    ctl(f"backup {file}", code=2)
    members = msgspec.json.decode(ctl("members --json"))
    assert sorted(item["role"] for item in members["members"]) == ["leader", "voter", "voter"]
    assert "on disk" in ctl("members")
    destinations = msgspec.json.decode(ctl("dump --json"))["destinations"]
    assert len(destinations) == 3
    assert all(Path(text.partition(": ")[2]).exists() for text in destinations)
    history = msgspec.json.decode(ctl("history --json"))["entries"]
    assert history[0]["action"] == "backup"
    assert history[0]["operator"] == "ana"


def test_backup_and_watch_fail_over_from_a_node_that_is_down(
    ctl: CtlRunner, declared: Path, group: Group, tmp_path: Path
) -> None:
    (unused_address,) = free_addresses(1)
    nodes = f"--control={unused_address},{group.nodes[1].rpc}"
    ctl(f"backup {tmp_path / 'by-another.json'} {nodes}")
    assert "whole configuration" in ctl(f"watch --count=1 {nodes}")
    ctl(f"backup {tmp_path / 'none.json'} --control={unused_address} --timeout=0.5", code=3)


def test_every_command_rejects_an_unknown_token(
    ctl: CtlRunner, declared: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = ctl("history")
    monkeypatch.setenv(TOKEN_VARIABLE, "stolen")
    commands = [
        f"diff {declared}",
        f"apply {declared}",
        "drain sales-1",
        "undrain sales-1",
        "get",
        "watch --count=1",
        "status",
        "members",
        "explain daemon",
        "history",
        "quarantine",
        "quarantine --lift=5ab1",
        "replace-member --add=control-4",
        f"backup {tmp_path / 'stolen.json'}",
        "dump",
    ]
    for command in commands:
        ctl(command, code=13)
        assert "the token is none of a declared operator" in ctl.errors
    assert not (tmp_path / "stolen.json").exists()
    monkeypatch.setenv(TOKEN_VARIABLE, OPERATOR_TOKEN)
    assert ctl("history") == before


REQUESTS = {
    "Apply": pb.ApplyRequest(change_id="x"),
    "GetResult": pb.GetResultRequest(change_id="x"),
    "Get": pb.GetRequest(),
    "Watch": pb.WatchRequest(),
    "Status": pb.StatusRequest(),
    "Members": pb.MembersRequest(),
    "ReplaceMember": pb.ReplaceMemberRequest(add="control-4"),
    "Explain": pb.ExplainRequest(node="x"),
    "Quarantine": pb.QuarantineRequest(),
    "LiftQuarantine": pb.LiftQuarantineRequest(signature="x"),
    "Dump": pb.DumpRequest(),
    "History": pb.HistoryRequest(),
    "Backup": pb.BackupRequest(),
}


def first_answer(answer: object) -> object:
    return next(answer) if isinstance(answer, Iterator) else answer


@pytest.mark.parametrize(
    ("metadata", "code"),
    [
        ((), grpc.StatusCode.UNAUTHENTICATED),
        ((("authorization", "Basic YTpi"),), grpc.StatusCode.UNAUTHENTICATED),
        ((("authorization", "Bearer "),), grpc.StatusCode.PERMISSION_DENIED),
        ((("authorization", "Bearer bootstrap-secret"),), grpc.StatusCode.PERMISSION_DENIED),
    ],
)
def test_no_call_of_the_schema_is_answered_without_a_declared_operators_token(
    group: Group, metadata: tuple[tuple[str, str], ...], code: grpc.StatusCode
) -> None:
    methods = pb.DESCRIPTOR.services_by_name["Operators"].methods
    assert {method.name for method in methods} == REQUESTS.keys()
    with grpc.insecure_channel(group.nodes[0].rpc) as channel:
        stub = pb_grpc.OperatorsStub(channel)
        for method in methods:
            call = getattr(stub, method.name)
            with pytest.raises(grpc.RpcError) as caught:
                first_answer(call(REQUESTS[method.name], metadata=metadata, timeout=30.0))
            assert caught.value.code() is code, method.name


def test_commands_without_control_nodes_or_token(
    ctl: CtlRunner, declared: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (unused_address,) = free_addresses(1)
    ctl(f"get --control={unused_address} --timeout=0.5", code=3)
    ctl("get --control=somewhere", code=2)
    (declared / "sales.toml").write_text(DECLARATIONS.format(slots=30))
    ctl(f"apply {declared} --control={unused_address} --timeout=0.5", code=3)
    monkeypatch.delenv(TOKEN_VARIABLE)
    ctl("get", code=2)
    assert "flag --token_file: missing" in ctl.errors


MALFORMED_INPUTS = [
    b"\x00\xff" * 500,
    b"{}\n",
    b'{"type":"ledger_begin"}\n',
    b"x" * 100_000,
    b"\n" * 50,
]


def send_and_read_until_closed(connection: socket.socket, data: bytes) -> None:
    """Send ``data`` and read until the peer closes; it may close at any point, but must close."""
    connection.settimeout(30.0)
    with contextlib.suppress(ConnectionError):
        connection.sendall(data)
    with contextlib.suppress(OSError):  # the peer has already closed
        connection.shutdown(socket.SHUT_WR)
    with contextlib.suppress(ConnectionError):
        while connection.recv(65_536):
            pass


def test_control_nodes_survive_malformed_input_on_every_port(
    ctl: CtlRunner, declared: Path, group: Group
) -> None:
    node = group.nodes[0]
    for address in (node.raft, node.distribution, node.rpc):
        host, _, port = address.rpartition(":")
        for data in MALFORMED_INPUTS:
            with socket.create_connection((host, int(port)), 30.0) as connection:
                send_and_read_until_closed(connection, data)
    ctl(f"get service/sales --control={node.rpc}")
    ctl("drain sales-1")
    ctl("undrain sales-1")
    assert node.process is not None
    assert node.process.poll() is None

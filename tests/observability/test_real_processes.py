"""Log ring dumps of real processes are written on request and contain no secrets."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import msgspec
import pytest

from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.observability import ring
from tests.control.group import BOOTSTRAP_TOKEN, OPERATOR_TOKEN, Group
from tests.daemon.deployment import deployment, eventually
from tests.daemon.processes import SOURCE

WAIT_SECONDS = 20.0
CALLER_SECRET = "caller-secret-7f3a9"

VIOLATING_PROGRAM = """
import sys
from finchshed.common.errors import InvariantError
from finchshed.runtime.process import run_process

async def main(control):
    raise InvariantError("two leaders in one term; token=hidden-value")

sys.exit(run_process(main, "daemon", "n1", sys.argv[1]))
"""


def dumps_in(folder: Path) -> list[Path]:
    return sorted((folder / ring.DUMP_FOLDER).glob("ring-*.jsonl"))


def header_of(dump: Path) -> ring.DumpHeader:
    return msgspec.json.decode(dump.read_bytes().splitlines()[0], type=ring.DumpHeader)


def files_containing(folder: Path, secret: str) -> list[Path]:
    files = (path for path in folder.rglob("*") if path.is_file())
    return [path for path in files if secret in path.read_text(errors="replace")]


async def test_a_daemon_dumps_on_a_signal_and_on_request_without_secrets(tmp_path: Path) -> None:
    # Both daemons share the folder; dump names contain timestamps.
    async with deployment(flags={"data-folder": str(tmp_path)}) as system:
        daemon = system.daemons[0]
        answered = await system.ask(
            "/look",
            authorization=f"Bearer {CALLER_SECRET}",
            x_api_key=CALLER_SECRET,
            cookie=f"session={CALLER_SECRET}",
        )
        assert answered.status == 200
        daemon.signal(signal.SIGUSR1)
        await eventually(lambda: len(dumps_in(tmp_path)) == 1)
        async with system.session.post(f"http://{daemon.admin_address}/ring") as response:
            answer = await response.json()
        assert response.status == 200
        assert Path(answer["path"]) in dumps_in(tmp_path)
    reasons = [header_of(dump).reason for dump in dumps_in(tmp_path)]
    assert reasons == ["asked for by signal", "asked for by an operator"]
    assert header_of(dumps_in(tmp_path)[0]).node == daemon.node
    assert files_containing(tmp_path, CALLER_SECRET) == []


def test_a_control_node_dumps_for_an_operator_without_secrets(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    group = Group(tmp_path, voters=1)
    group.start_all()
    try:
        group.bootstrap()
        node = group.voters[0]
        monkeypatch.setenv("FINCHSHED_CONTROL", node.rpc)
        monkeypatch.setenv("FINCHSHED_TOKEN", "wrong-secret-55aa1")
        assert main.run(["ctl", "dump", "--timeout=10"]) != ExitCode.OK
        assert dumps_in(node.folder) == []
        monkeypatch.setenv("FINCHSHED_TOKEN", OPERATOR_TOKEN)
        assert main.run(["ctl", "dump", "--timeout=10"]) == ExitCode.OK
    finally:
        group.close()
    (dump,) = dumps_in(node.folder)
    assert str(dump) in capsys.readouterr().out
    assert header_of(dump).reason.startswith("asked for by operator ana")
    for path in [dump, tmp_path / f"{node.name}.log"]:
        text = path.read_text()
        for secret in (BOOTSTRAP_TOKEN, OPERATOR_TOKEN, "wrong-secret-55aa1"):
            assert secret not in text, path


def test_an_invariant_violation_stops_a_process_and_dumps_the_ring(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-c", VIOLATING_PROGRAM, str(tmp_path)],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=WAIT_SECONDS,
        check=False,
    )
    assert done.returncode == ExitCode.FAULT
    (dump,) = dumps_in(tmp_path)
    assert header_of(dump).reason.startswith("broken invariant: two leaders in one term")
    assert "hidden-value" not in dump.read_text() + done.stderr


async def test_a_running_daemon_reports_its_identity_and_limit() -> None:
    async with deployment() as system, asyncio.timeout(WAIT_SECONDS):
        daemon = system.daemons[0]
        limit = 0.0
        while limit == 0.0:
            text = await fetch_metrics(system.session, daemon.admin_address)
            lines = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
            limit = float(lines["finchshed_concurrency_limit"])
            await asyncio.sleep(0.1)
    (info,) = [line for line in text.splitlines() if line.startswith("finchshed_process_info{")]
    assert f'node="{daemon.node}"' in info
    assert f'zone="{daemon.zone}"' in info


async def fetch_metrics(session: aiohttp.ClientSession, address: str) -> str:
    async with session.get(f"http://{address}/metrics") as response:
        return await response.text()

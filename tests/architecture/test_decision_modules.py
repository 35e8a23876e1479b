"""Decision modules take no I/O, no clocks and no randomness but given generators."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.architecture.decision_modules import SHELLS, SOURCE, decision_modules, violations_of

ROOT = Path(__file__).parents[2]
RUN_SECONDS = 120.0
PLANTED_MODULE = "finchshed.admission.planted"


def run_forbidden(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "tests.architecture.forbidden", *arguments]
    environment = {**os.environ, "PYTHONPATH": str(SOURCE)}
    return subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=RUN_SECONDS,
        check=False,
    )


def test_decision_modules_import_nothing_that_does_io() -> None:
    assert violations_of(decision_modules()) == []


def test_each_shell_exists() -> None:
    for name in SHELLS:
        assert (SOURCE / (name.replace(".", "/") + ".py")).exists(), name


@pytest.mark.parametrize(
    "text",
    [
        "import asyncio",
        "import time",
        "import socket as s",
        "from time import monotonic",
        "from uvloop import new_event_loop",
        "from aiohttp import web",
        "from finchshed.link.lines import LineProtocol",
        "from finchshed.consensus.effect_runner import RaftDriver",
        "from finchshed import daemon",
        "def late():\n    import os",
        "from random import choice",
        "import random\nx = random.random()",
        "import random\nx = random.Random()",
        "import uuid\nx = uuid.uuid4()",
        "x = open('f')",
        "x = hash('node-1')",
    ],
)
def test_a_planted_import_or_call_is_found(text: str) -> None:
    modules = {**decision_modules(), PLANTED_MODULE: text}
    (found,) = violations_of(modules)
    assert found.startswith(PLANTED_MODULE)


def test_decision_modules_run_with_io_and_clocks_forbidden() -> None:
    done = run_forbidden()
    assert done.returncode == 0, done.stderr
    assert int(done.stdout.split()[0]) > 500


@pytest.mark.parametrize(
    "code",
    [
        "import time; time.monotonic()",
        "import time; time.sleep(0)",
        "import random; random.random()",
        "import random; random.Random()",
        "import os; os.urandom(1)",
        "import socket; socket.socket()",
        "open('/dev/null')",
        "import os; os.open('/dev/null', os.O_RDONLY)",
        "import subprocess; subprocess.Popen(['true'])",
    ],
)
def test_a_planted_use_is_stopped(code: str) -> None:
    done = run_forbidden(code)
    assert done.returncode != 0
    assert "ForbiddenError" in done.stderr

"""Names that operators, the platform and other programs use, as text.

Told from what the programs themselves print and serve wherever they do.
"""

import contextlib
import io
import json
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
from google.protobuf import descriptor_pb2, text_format

from finchshed.cli.main import run
from finchshed.cli.table import PROGRAMS
from finchshed.common import context
from finchshed.daemon.header_names import HeaderNames
from finchshed.rpc.generated import finchshed_pb2
from finchshed_platform.control_program import control_settings
from finchshed_platform.daemon_program import daemon_settings
from finchshed_platform.headers import HEADERS
from finchshed_platform.node_file import read_node_file
from tests.forms.shapes import shape_of

ROOT = Path(__file__).parents[2]
SETTINGS_OF_PROGRAMS = ("daemon", "control")
GROUPS = ("ctl", "config", "logs", "keys")
METRIC_PROGRAMS = ("daemon", "control", "platform_daemon", "platform_control")


def commands() -> str:
    """Return names, usage lines, options and numbers of exit codes of the operators' commands."""
    lines = ["finchshed: " + " ".join(_first_words(_help()))]
    for program in SETTINGS_OF_PROGRAMS:
        lines += re.findall(r"^(?:usage: .*|  --.*)$", _help(program), re.MULTILINE)
    for group in GROUPS:
        text = _help(group)
        lines.append(f"{group}: " + " ".join(_first_words(text)))
        for name in _first_words(text):
            if not name.isdigit():
                lines += re.findall(r"^usage: .*$", _help(group, name), re.MULTILINE)
    return "\n".join([*lines, ""])


def settings_of(program: str) -> str:
    """Return the settings of a program: names, types, bounds and defaults."""
    return shape_of(PROGRAMS[program].settings_type())


def settings_on_platform(folder: Path) -> str:
    """Return the settings that follow from the platform's settings file in ``folder``."""
    control = read_node_file(str(folder / "control_node.json"))
    daemon = read_node_file(str(folder / "daemon_node.json"))
    told = {
        "control": msgspec.to_builtins(control_settings(control)),
        "daemon": msgspec.to_builtins(daemon_settings(daemon)),
    }
    return json.dumps(told, indent=1) + "\n"


def deploy_file() -> str:
    """Return the deploy file as JSON, and the settings file's template."""
    table = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    template = (ROOT / "deploy" / "node.json").read_text()
    return json.dumps({"system": table, "template": template}, indent=1) + "\n"


def headers() -> str:
    """Return the names of headers, sorted: between daemons and back ends, and the platform's."""
    fixed = [value for name, value in vars(context).items() if name.startswith("HEADER_")]
    own = msgspec.structs.astuple(HeaderNames())
    platform = msgspec.structs.astuple(HEADERS)
    lists = {"fixed": sorted(fixed), "own": sorted(own), "platform": sorted(platform)}
    return json.dumps(lists, indent=1) + "\n"


def rpc() -> str:
    """Return the schema of the operators' RPC: names, numbers and types."""
    schema = descriptor_pb2.FileDescriptorProto()
    finchshed_pb2.DESCRIPTOR.CopyToProto(schema)
    return str(text_format.MessageToString(schema))


def metrics(program: str) -> str:
    """Return the metrics that a program declares: page, and names of labels.

    Asked of a process of its own, since metrics are those of a process.
    """
    command = [sys.executable, "-m", "tests.forms.declared_metrics", program]
    paths = os.pathsep.join([str(ROOT / "src"), str(ROOT / "platform")])
    environment = {**os.environ, "PYTHONPATH": paths}
    ended = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True
    )
    return ended.stdout


def _help(*words: str) -> str:
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        assert run([*words, "--help"]) == 0
    return printed.getvalue()


def _first_words(text: str) -> list[str]:
    """Return what stands first in the indented lines: names of commands, numbers of exit codes."""
    return re.findall(r"^  ([a-z0-9-]+) ", text, re.MULTILINE)

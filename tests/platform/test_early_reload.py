"""Guards against a reload signal that ends a program while it is being loaded."""

import subprocess
import sys

import pytest

from tests.platform.fake_platform import ROOT

SIGNAL_AT_IMPORT = """
import os, runpy, signal, sys

class SendSignal:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SendSignal())
sys.argv = {arguments!r}
runpy.run_path({script!r}, run_name="__main__")
"""
EXIT_USAGE = 2


@pytest.mark.parametrize(
    ("script", "arguments", "module"),
    [
        ("platform/run.py", ["run.py", "daemon"], "finchshed_platform.node_file"),
        ("platform/run.py", ["run.py", "control"], "finchshed_platform.node_file"),
        ("src/finchshed/__main__.py", ["finchshed", "daemon"], "finchshed.cli.main"),
        ("src/finchshed/__main__.py", ["finchshed", "control"], "finchshed.cli.main"),
    ],
)
def test_reload_signal_while_loading_is_ignored(
    script: str, arguments: list[str], module: str
) -> None:
    code = SIGNAL_AT_IMPORT.format(module=module, arguments=arguments, script=str(ROOT / script))
    environment = {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'platform'}"}
    ended = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, check=False, timeout=60
    )
    # Without settings, each program ends as used wrongly.
    assert ended.returncode == EXIT_USAGE, ended.stderr

"""Runs ``finchshed ctl`` commands in the test's process."""

import pytest

from finchshed.cli import main


class CtlRunner:
    """Runs ``finchshed ctl`` command lines and checks their exit codes."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys
        self.errors = ""

    def __call__(self, line: str, code: int | None = 0) -> str:
        """Run a command and return its standard output; ``code`` None accepts any exit code."""
        self._capsys.readouterr()
        exit_code = main.run(["ctl", *line.split()])
        captured = self._capsys.readouterr()
        self.errors = captured.err
        assert code in (None, exit_code), f"{line}: {exit_code}\n{captured.out}{captured.err}"
        return captured.out

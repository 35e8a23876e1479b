"""Runs ``finchshed ctl`` as the command line does, in the test's process."""

import pytest

from finchshed.cli import main


class Shell:
    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys
        self.errors = ""

    def __call__(self, line: str, code: int | None = 0) -> str:
        """Return what the command printed; ``code`` None: any exit code will do."""
        self._capsys.readouterr()
        found = main.run(["ctl", *line.split()])
        captured = self._capsys.readouterr()
        self.errors = captured.err
        assert code in (None, found), f"{line}: {found}\n{captured.out}{captured.err}"
        return captured.out

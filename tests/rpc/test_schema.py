"""The committed generated code matches the schema, and ``generate --check`` tells if not."""

from pathlib import Path

import pytest

from finchshed.cli.exit_codes import ExitCode
from finchshed.rpc import generate as generator
from finchshed.rpc.generate import GENERATED_FOLDER, generate, main


def test_committed_code_matches_the_schema(tmp_path: Path) -> None:
    pytest.importorskip("grpc_tools", reason="the generator isn't installed")
    generate(tmp_path)
    generated = sorted(path.name for path in tmp_path.iterdir())
    assert generated == ["finchshed_pb2.py", "finchshed_pb2_grpc.py"]
    for name in generated:
        assert (GENERATED_FOLDER / name).read_text() == (tmp_path / name).read_text()


def test_check_fails_if_the_committed_code_differs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    pytest.importorskip("grpc_tools", reason="the generator isn't installed")
    assert main(["--check"]) == ExitCode.OK
    for path in GENERATED_FOLDER.glob("finchshed_pb2*.py"):
        (tmp_path / path.name).write_text(path.read_text())
    (tmp_path / "finchshed_pb2.py").write_text("# edited by hand\n")
    monkeypatch.setattr(generator, "GENERATED_FOLDER", tmp_path)
    assert main(["--check"]) == ExitCode.FAILED
    assert capsys.readouterr().out.startswith("finchshed_pb2.py doesn't match")


@pytest.mark.parametrize("arguments", [["--chek"], ["--check", "more"], ["somewhere"]])
def test_invalid_arguments_are_rejected(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(generator, "GENERATED_FOLDER", tmp_path)
    assert main(arguments) == ExitCode.USAGE
    assert list(tmp_path.iterdir()) == []

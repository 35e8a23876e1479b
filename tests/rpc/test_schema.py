from pathlib import Path

import pytest

from finchshed.rpc.generate import GENERATED_FOLDER, generate


def test_committed_code_is_what_the_schema_generates(tmp_path: Path) -> None:
    pytest.importorskip("grpc_tools", reason="the generator isn't installed")
    generate(tmp_path)
    generated = sorted(path.name for path in tmp_path.iterdir())
    assert generated == ["finchshed_pb2.py", "finchshed_pb2_grpc.py"]
    for name in generated:
        assert (GENERATED_FOLDER / name).read_text() == (tmp_path / name).read_text()

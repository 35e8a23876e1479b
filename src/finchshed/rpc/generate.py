"""Generates the Python code of the RPC schema; a developers' tool that needs grpcio-tools.

Run ``python -m finchshed.rpc.generate`` after changing ``finchshed.proto`` and commit the result;
builds then need no generator. With ``--check`` nothing is written.

Exit codes: 0 success, 1 the committed code doesn't match the schema (``--check``), 2 invalid usage.
"""

import importlib
import sys
import tempfile
from pathlib import Path

from finchshed.cli.exit_codes import ExitCode

SCHEMA = "finchshed.proto"
CHECK_FLAG = "--check"
PACKAGE_FOLDER = Path(__file__).parent
GENERATED_FOLDER = PACKAGE_FOLDER / "generated"
PACKAGE_IMPORT = "from finchshed.rpc.generated import finchshed_pb2 as finchshed__pb2"
GENERATED_IMPORT = "import finchshed_pb2 as finchshed__pb2"


def generate(folder: Path) -> None:
    """Write the generated modules into ``folder``.

    Raises
    ------
    ModuleNotFoundError
        grpcio-tools isn't installed.
    RuntimeError
        The schema is invalid; the compiler has printed the errors.
    """
    compiler = importlib.import_module("grpc_tools.protoc")
    arguments = [
        "protoc",
        f"--proto_path={PACKAGE_FOLDER}",
        f"--python_out={folder}",
        f"--grpc_python_out={folder}",
        SCHEMA,
    ]
    if compiler.main(arguments) != 0:
        raise RuntimeError(f"{SCHEMA} can't be compiled")
    service = folder / "finchshed_pb2_grpc.py"
    text = service.read_text().replace(GENERATED_IMPORT, PACKAGE_IMPORT)
    service.write_text(text)


def outdated_files() -> list[str]:
    """Return the names of committed modules that are missing or don't match the schema."""
    with tempfile.TemporaryDirectory() as name:
        fresh_folder = Path(name)
        generate(fresh_folder)
        return [
            fresh.name
            for fresh in sorted(fresh_folder.iterdir())
            if not _is_same(fresh, GENERATED_FOLDER / fresh.name)
        ]


def _is_same(fresh: Path, committed: Path) -> bool:
    return committed.exists() and committed.read_bytes() == fresh.read_bytes()


def main(arguments: list[str]) -> int:
    """Generate the code, or compare it with ``--check``; return the exit code."""
    if arguments not in ([], [CHECK_FLAG]):
        print(f"usage: python -m finchshed.rpc.generate [{CHECK_FLAG}]", file=sys.stderr)
        return ExitCode.USAGE
    if not arguments:
        generate(GENERATED_FOLDER)
        return ExitCode.OK
    outdated = outdated_files()
    for name in outdated:
        print(f"{name} doesn't match {SCHEMA}: run python -m finchshed.rpc.generate")
    return ExitCode.FAILED if outdated else ExitCode.OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

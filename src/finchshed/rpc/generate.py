"""Generate the Python code of the schema (developers only; needs grpcio-tools).

Run ``python -m finchshed.rpc.generate`` after a change of ``finchshed.proto``; the result is
committed, so that a build needs no generator.
"""

import importlib
from pathlib import Path

SCHEMA = "finchshed.proto"
PACKAGE_FOLDER = Path(__file__).parent
GENERATED_FOLDER = PACKAGE_FOLDER / "generated"
RELATIVE_IMPORT = "from finchshed.rpc.generated import finchshed_pb2 as finchshed__pb2"
PLAIN_IMPORT = "import finchshed_pb2 as finchshed__pb2"


def generate(folder: Path) -> None:
    """Write the generated modules into ``folder``.

    Raises
    ------
    ModuleNotFoundError
        grpcio-tools isn't installed.
    RuntimeError
        The schema is wrong; the generator has printed why.
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
    text = service.read_text().replace(PLAIN_IMPORT, RELATIVE_IMPORT)
    service.write_text(text)


if __name__ == "__main__":
    generate(GENERATED_FOLDER)

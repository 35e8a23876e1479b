"""Makes the content of every sample file with today's code."""

import json
import tempfile
from pathlib import Path

from tests.forms import codecs, names
from tests.forms.codecs import FORMS
from tests.forms.sampling import lines_of
from tests.forms.scenario import FIRST, LATER
from tests.forms.shapes import shape_of

SAMPLES = Path(__file__).parent / "samples"
CONTROL_FOLDER = "control_folder"
DAEMON_FOLDER = "daemon_folder"
CONTROL_FOUND = "control_folder_found.jsonl"
LINK_BYTES = "compressed_link.hex"
LINK_LINES = "compressed_link.jsonl"

DAEMON_NODE = {
    "node_name": "sidecar-a-1",
    "ip": "10.1.0.8",
    "zone": "a",
    "region": "r",
    "listen": {"outbound": "10.1.0.8:8304", "ready": "10.1.0.8:8302", "control": "10.1.0.8:8306"},
    "port_range": [7620, 7635],
    "seed_nodes": ["10.1.0.13:8306", "10.2.0.10:8306"],
    "bounds": {"grace_s": 6},
    "service": "sales",
    "app_addr": "10.1.0.8:8301",
}
CONTROL_NODE = {**DAEMON_NODE, "ip": "10.1.0.13", "bootstrap": True, "data_dir": "/absent/data"}
DOCUMENT = {
    "version": "r7",
    "base_version": "r6",
    "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_s": 5.5},
    "clusters": [{"name": "s", "health_path": "/ok", "max_connections": 9}, {"name": "t"}],
    "listeners": [
        {
            "host": "h.example",
            "ruleset": [
                {
                    "kind": "unsafe",
                    "match": {"path_prefix": "/x"},
                    "priority": 1,
                    "public": True,
                    "target_latency_s": 0.5,
                    "action": {
                        "timeout_s": 1.5,
                        "max_attempts": 3,
                        "traffic_split": [
                            {"service": "s", "weight": 0.25},
                            {"service": "t", "weight": 0.75},
                        ],
                    },
                },
                {
                    "kind": "safe",
                    "match": {"path_prefix": "/"},
                    "action": {"timeout_s": 2.0, "service": "t"},
                },
            ],
        }
    ],
    "tenants": [
        {"name": "one", "api_keys": ["k1", "k2"], "priority": 0, "rate_per_s": 5.0, "burst": 2.0}
    ],
}


def inputs() -> dict[str, bytes]:
    """Return files that others write and the product only reads."""
    return {
        "inputs/daemon_node.json": _json(DAEMON_NODE),
        "inputs/control_node.json": _json(CONTROL_NODE),
        "inputs/platform_document.json": _json(DOCUMENT),
    }


def names_told(folder: Path) -> dict[str, bytes]:
    """Return the files of names; ``folder`` holds the files of :func:`inputs`."""
    texts = {
        "names/commands.txt": names.commands(),
        "names/headers.json": names.headers(),
        "names/deploy.json": names.deploy_file(),
        "names/rpc.txt": names.rpc(),
        "names/platform_settings.json": names.settings_on_platform(folder),
    }
    for program in names.SETTINGS_OF_PROGRAMS:
        texts[f"names/settings_{program}.txt"] = names.settings_of(program)
    for program in names.METRIC_PROGRAMS:
        texts[f"names/metrics_{program}.txt"] = names.metrics(program)
    return {name: text.encode() for name, text in texts.items()}


def made() -> dict[str, bytes]:
    """Return the content of all sample files by their name under ``samples``."""
    files = inputs()
    for name, form in FORMS.items():
        files[f"lines/{name}.jsonl"] = lines_of(form.type, form.write)
        files[f"shapes/{name}.txt"] = shape_of(form.type).encode()
    links = files["lines/daemon_link.jsonl"].splitlines(keepends=True)
    greeting = next(line for line in links if b'"compressed":true' in line)
    lines = [greeting, *(line for line in links if b'"hello"' not in line)]
    files[LINK_LINES] = b"".join(lines)
    files[LINK_BYTES] = codecs.compressed_link(lines).hex("\n", -32).encode() + b"\n"
    files["platform_document_typed.json"] = codecs.document_as_typed(
        files["inputs/platform_document.json"]
    )
    with tempfile.TemporaryDirectory() as temporary:
        files.update(_folders(Path(temporary), files["lines/daemon_record.jsonl"]))
    return files


def content_of(folder: Path) -> dict[str, bytes]:
    """Return the files of a folder and below, but for locks."""
    paths = [path for path in sorted(folder.rglob("*")) if path.is_file() and path.name != "LOCK"]
    return {str(path.relative_to(folder)): path.read_bytes() for path in paths}


def _folders(temporary: Path, records: bytes) -> dict[str, bytes]:
    for name, content in inputs().items():
        path = temporary / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(content)
    control, daemon = temporary / CONTROL_FOLDER, temporary / DAEMON_FOLDER
    codecs.write_control_folder(control, FIRST, LATER)
    codecs.write_daemon_folder(daemon, records.splitlines(keepends=True)[0])
    files = {f"{CONTROL_FOLDER}/{name}": data for name, data in content_of(control).items()}
    files |= {f"{DAEMON_FOLDER}/{name}": data for name, data in content_of(daemon).items()}
    files[CONTROL_FOUND] = codecs.read_control_folder(control)
    return files | names_told(temporary / "inputs")


def _json(value: object) -> bytes:
    return json.dumps(value, indent=1).encode() + b"\n"

"""The platform's settings file, and the product's settings that follow from it."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from finchshed.common.errors import SettingsError
from finchshed_platform.control_program import control_settings
from finchshed_platform.daemon_program import daemon_settings
from finchshed_platform.node_file import read_node_file

ROOT = Path(__file__).parents[2]

FIELDS: dict[str, Any] = {
    "node_name": "sidecar-a-1",
    "ip": "10.1.0.8",
    "zone": "a",
    "region": "texas",
    "listen": {"outbound": "10.1.0.8:8304", "ready": "10.1.0.8:8302", "control": "10.1.0.8:8306"},
    "port_range": [7620, 7635],
    "seed_nodes": ["10.1.0.13:8306", "10.2.0.10:8306", "10.3.0.11:8306"],
    "bounds": {"grace_s": 6, "budget_slack": 57},
    "bootstrap": True,
    "heartbeat_s": 1.5,
    "service": "sales",
    "app_addr": "10.1.0.8:8301",
    "data_dir": None,
    "some_new_field": [1, 2],
}


def written(folder: Path, **changed: Any) -> str:
    path = folder / "node.json"
    path.write_text(json.dumps({**FIELDS, **changed}))
    return str(path)


def test_a_daemons_settings(tmp_path: Path) -> None:
    settings = daemon_settings(read_node_file(written(tmp_path)))
    assert settings.link_address == "10.1.0.8:7620"
    assert settings.control_addresses[0] == "10.1.0.13:7621"
    assert settings.host_address == "10.1.0.8:8304"
    assert settings.drain_notice_seconds + settings.drain_seconds < 6.0


def test_a_control_nodes_settings_need_no_names(tmp_path: Path) -> None:
    data = str(tmp_path / "data")
    node = read_node_file(written(tmp_path, ip="10.1.0.13", data_dir=data))
    settings = control_settings(node)
    assert settings.node == "10.1.0.13"
    assert settings.voters[0] == "10.1.0.13=10.1.0.13:7620"
    assert settings.forms_group
    later = read_node_file(written(tmp_path, ip="10.1.0.13", data_dir=data, bootstrap=False))
    assert control_settings(later).forms_group


def test_an_empty_disk_after_the_first_start_forms_no_group(tmp_path: Path) -> None:
    data = str(tmp_path / "data")
    node = read_node_file(written(tmp_path, ip="10.1.0.13", data_dir=data, bootstrap=False))
    assert not control_settings(node).forms_group


@pytest.mark.parametrize(
    ("changed", "named"),
    [
        ({"ip": None}, "ip"),
        ({"port_range": [0, 70000]}, "port_range"),
        ({"listen": {"outbound": "nowhere"}}, "outbound"),
        ({"bounds": {}}, "grace_s"),
    ],
)
def test_a_wrong_field_is_named(tmp_path: Path, changed: dict[str, Any], named: str) -> None:
    with pytest.raises(SettingsError, match=named):
        read_node_file(written(tmp_path, **changed))


def test_fields_that_only_one_role_needs(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="data_dir"):
        control_settings(read_node_file(written(tmp_path)))
    with pytest.raises(SettingsError, match="app_addr"):
        daemon_settings(read_node_file(written(tmp_path, app_addr="")))


@pytest.mark.parametrize(
    ("arguments", "settings", "told"),
    [
        (["daemon"], "", "no settings file"),
        (["daemon"], "missing.json", "No such file"),
        (["other"], "", "usage"),
    ],
)
def test_a_wrong_start_ends_with_one_line_and_exit_code_2(
    tmp_path: Path, arguments: list[str], settings: str, told: str
) -> None:
    path = str(tmp_path / settings) if settings else ""
    done = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "run.py"), *arguments],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'platform'}",
            "FINCHSHED_SETTINGS": path,
        },
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert told in done.stderr
    assert len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("declared", "tolerated"), [({}, 0), ({"machines": 2, "zones": 1}, 2), ({"machines": 9}, 4)]
)
def test_a_control_group_is_as_large_as_what_must_be_borne(
    tmp_path: Path, declared: dict[str, int], tolerated: int
) -> None:
    path = written(
        tmp_path, ip="10.1.0.13", data_dir=str(tmp_path / "data"), fault_tolerance=declared
    )
    settings = control_settings(read_node_file(path))
    assert settings.tolerated_failures == tolerated
    assert settings.zone == "a"

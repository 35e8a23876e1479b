from pathlib import Path

import pytest

from finchshed.common.errors import DeclarationError
from finchshed.common.importance import Importance
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.difference import Declarations, describe_difference, difference
from finchshed.configuration.resources import (
    Endpoint,
    EndpointState,
    ResourceKey,
    Service,
    key_of,
)

GOOD = """
[policy]
retry_budget = 2

[[service]]
name = "officer"
  [[service.routes]]
  prefix = "/"
  importance = "critical"

[[endpoint]]
name = "officer-1"
service = "officer"
region = "texas"
zone = "a"
address = "10.0.0.1:7000"
slots = 10
"""


def write(folder: Path, **files: str) -> Path:
    for name, text in files.items():
        (folder / f"{name}.toml").write_text(text)
    return folder


def test_every_file_of_a_folder_is_read(tmp_path: Path) -> None:
    more = '[[service]]\nname = "booklets"\n'
    declared = read_declarations(write(tmp_path, a=GOOD, b=more))
    service = declared.resources[ResourceKey("service", "officer")]
    assert isinstance(service, Service)
    assert service.routes[0].importance is Importance.CRITICAL
    assert len(declared.resources) == 4


def test_every_problem_is_reported_with_file_key_value_and_allowed_values(
    tmp_path: Path,
) -> None:
    bad = """
[[service]]
name = "Upper Case"
deadline_seconds = -1.0
  [[service.routes]]
  prefix = "no-slash"
  importance = "urgent"

[[endpoint]]
name = "e"
service = "nowhere"
region = "r"
zone = "z"
address = "10.0.0.1:7000"
slots = 0
colour = "blue"

[[machine]]
name = "x"
"""
    with pytest.raises(DeclarationError) as caught:
        read_declarations(write(tmp_path, bad=bad, broken="[[", good=GOOD))
    text = str(caught.value)
    for part in (
        "bad.toml: service Upper Case: name = 'Upper Case'",
        "deadline_seconds = -1.0",
        "importance = 'urgent': allowed are: sheddable, normal, high, critical",
        "prefix = 'no-slash'",
        "bad.toml: endpoint e: slots = 0",
        "colour: no such key, allowed are: name, service",
        "bad.toml: machine: no such table, allowed are: service, endpoint, policy, operator",
        "broken.toml: ",
    ):
        assert part in text
    assert len(caught.value.problems) >= 8


def test_duplicate_resource_names_both_files(tmp_path: Path) -> None:
    twice = '[[service]]\nname = "officer"\n'
    with pytest.raises(DeclarationError, match=r"b\.toml: service officer: declared in a\.toml"):
        read_declarations(write(tmp_path, a=GOOD, b=twice))


def test_problems_between_files_name_the_file(tmp_path: Path) -> None:
    stray = GOOD.replace('name = "officer-1"', 'name = "officer-2"')
    stray = stray[stray.index("[[endpoint]]") :]
    with pytest.raises(DeclarationError, match=r"b\.toml: endpoint officer-2: address = .* used"):
        read_declarations(write(tmp_path, a=GOOD, b=stray))


def test_empty_or_missing_folder_is_an_error(tmp_path: Path) -> None:
    for folder in (tmp_path, tmp_path / "missing"):
        with pytest.raises(DeclarationError):
            read_declarations(folder)


def test_apply_keeps_an_operators_drain_unless_the_file_sets_the_state(
    tmp_path: Path,
) -> None:
    declared = read_declarations(write(tmp_path, a=GOOD))
    in_force = dict(declared.resources)
    key = ResourceKey("endpoint", "officer-1")
    drained = Endpoint(
        name="officer-1",
        service="officer",
        region="texas",
        zone="a",
        address="10.0.0.1:7000",
        slots=10,
        state=EndpointState.LEAVING,
    )
    in_force[key] = drained
    assert not difference(in_force, declared)
    explicit = read_declarations(write(tmp_path, a=GOOD + 'state = "active"\n'))
    assert difference(in_force, explicit).puts == (declared.resources[key],)


def test_difference_puts_changes_and_deletes_undeclared_resources() -> None:
    old = {key_of(item): item for item in (Service(name="a"), Service(name="b"))}
    wanted = (Service(name="a", max_sessions=5), Service(name="c"))
    changed = difference(old, Declarations({key_of(item): item for item in wanted}))
    assert changed.puts == wanted
    assert changed.deletes == (ResourceKey("service", "b"),)
    assert describe_difference(old, changed) == [
        "~ service a: max_sessions: 0 -> 5",
        "+ service c",
        "- service b",
    ]

from pathlib import Path
from typing import Annotated

import msgspec
import pytest

from finchshed.common.errors import SettingsError
from finchshed.settings.fields import (
    Address,
    ListenAddress,
    Name,
    NamedAddress,
    Network,
    OptionalListenAddress,
    PositiveSeconds,
    ZonedAddress,
)
from finchshed.settings.loader import Source, load


class ExampleSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    node: Annotated[Name, msgspec.Meta(description="Name of the node.")]
    http_address: ListenAddress
    link_address: OptionalListenAddress = ""
    control_addresses: tuple[Address, ...] = ()
    voters: tuple[NamedAddress, ...] = ()
    zoned: Annotated[tuple[ZonedAddress, ...], msgspec.Meta(description="Addresses by zone.")] = ()
    peer_networks: tuple[Network, ...] = ()
    drain_seconds: PositiveSeconds = 5.0
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 40)] = 1024
    verbose: bool = False


GOOD = 'node = "n1"\nhttp_address = "127.0.0.1:8000"\n'


def problems_of(tmp_path: Path, text: str, flags: dict[str, object] | None = None) -> list[str]:
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load(ExampleSettings, str(path), flags or {})
    return [line.replace(str(path), "s.toml") for line in caught.value.problems]


def test_flags_override_the_file_and_origins_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD + "drain_seconds = 2.5\nmax_body_bytes = 7\n")
    loaded = load(ExampleSettings, str(path), {"drain-seconds": "1.5"})
    assert loaded.value.drain_seconds == 1.5
    assert loaded.value.max_body_bytes == 7
    assert loaded.origins["drain_seconds"].source is Source.FLAG
    assert loaded.origins["max_body_bytes"].source is Source.FILE
    assert loaded.origins["verbose"].source is Source.DEFAULT


def test_flag_text_is_parsed_as_lists_numbers_and_names() -> None:
    flags = {
        "node": 12,
        "http_address": "127.0.0.1:0",
        "control_addresses": "10.0.0.1:7000,10.0.0.2:7000",
        "verbose": "true",
    }
    value = load(ExampleSettings, None, flags).value
    assert value.node == "12"
    assert value.control_addresses == ("10.0.0.1:7000", "10.0.0.2:7000")
    assert value.verbose


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("drain_secnds = 1", ["drain_secnds = 1", "no such key", "drain_seconds"]),
        ("drain_ms = 500", ["drain_ms = 500", "drain_seconds, in seconds"]),
        ('drain_seconds = "5s"', ['drain_seconds = "5s"', "a number of seconds"]),
        ("drain_seconds = 0", ["drain_seconds = 0", "above 0"]),
        ("max_body_bytes = 1.5", ["max_body_bytes = 1.5", "whole number of bytes"]),
        ("verbose = 1", ["verbose = 1", "true or false"]),
        ('link_address = "127.0.0.256:80"', ["127.0.0.256:80", "parts 0 to 255"]),
        ('link_address = "127.0.0.1:65536"', ["127.0.0.1:65536", "port 1 to 65535"]),
        ('link_address = "127.0.0.1:8000"', ["other than that of http_address"]),
        ('peer_networks = ["10.0.0.0/33"]', ["10.0.0.0/33", "wrong at entry [0]"]),
        ('peer_networks = ["10.0.0.0/8", "ten"]', ["a network a.b.c.d/n", "entry [1]"]),
        ('link_address = "localhost:80"', ["localhost:80", "a.b.c.d:port"]),
        ('control_addresses = ["10.0.0.1:1", "x"]', ["wrong at entry [1]"]),
        ('control_addresses = ["10.0.0.1:1", "10.0.0.1:1"]', ["each entry once", "10.0.0.1:1"]),
        ('voters = ["a=10.0.0.1:1", "a=10.0.0.2:1"]', ["twice here: a"]),
        ('zoned = ["a=10.0.0.1:1", "b=10.0.0.1:1"]', ["twice here: 10.0.0.1:1"]),
        ("drain_seconds = 1\ndrain_seconds = 2", ["drain_seconds = 2", "given twice"]),
    ],
)
def test_one_invalid_line_results_in_one_problem(
    tmp_path: Path, line: str, words: list[str]
) -> None:
    (problem,) = problems_of(tmp_path, GOOD + line + "\n")
    assert problem.startswith("s.toml: ")
    for word in words:
        assert word in problem


def test_a_zone_may_have_several_addresses(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD + 'zoned = ["a=10.0.0.1:1", "a=10.0.0.2:1", "10.0.0.3:1"]\n')
    assert len(load(ExampleSettings, str(path), {}).value.zoned) == 3


def test_all_problems_of_file_and_flags_are_reported_together(tmp_path: Path) -> None:
    text = "drain_seconds = -1\ndrain_seconds = 3\nnod = 1\nmax_body_bytes = 0\n"
    problems = problems_of(tmp_path, text, {"verbos": True, "max_body_bytes": "x"})
    assert len(problems) == 8
    joined = "\n".join(problems)
    for key in ("drain_seconds = -1", "given twice", "nod = 1", "max_body_bytes = 0"):
        assert key in joined
    for key in ("--verbos", "max_body_bytes = x", "node is missing", "http_address is missing"):
        assert key in joined


def test_a_file_value_is_validated_even_if_a_flag_overrides_it(tmp_path: Path) -> None:
    (problem,) = problems_of(tmp_path, GOOD + "max_body_bytes = 0\n", {"max_body_bytes": "5"})
    assert "max_body_bytes = 0" in problem


def test_an_unreadable_or_malformed_file_is_named(tmp_path: Path) -> None:
    missing = str(tmp_path / "none.toml")
    with pytest.raises(SettingsError, match=r"none\.toml: can't be read"):
        load(ExampleSettings, missing, {})
    assert "isn't valid TOML" in problems_of(tmp_path, "node = = 1\n")[0]

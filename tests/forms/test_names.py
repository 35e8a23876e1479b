"""Names of settings, metrics, headers, commands and of the operators' RPC."""

import pytest

from tests.forms import names
from tests.forms.samples_made import SAMPLES
from tests.forms.shapes import lines_to_compare


def expected(name: str) -> list[str]:
    return (SAMPLES / "names" / name).read_text().splitlines()


def test_commands_and_their_flags() -> None:
    assert names.commands().splitlines() == expected("commands.txt")


def test_headers() -> None:
    assert names.headers().splitlines() == expected("headers.json")


def test_deploy_file() -> None:
    assert names.deploy_file().splitlines() == expected("deploy.json")


def test_operators_rpc() -> None:
    assert names.rpc().splitlines() == expected("rpc.txt")


def test_settings_that_follow_from_the_platforms_file() -> None:
    told = names.settings_on_platform(SAMPLES / "inputs")
    assert told.splitlines() == expected("platform_settings.json")


@pytest.mark.parametrize("program", names.SETTINGS_OF_PROGRAMS)
def test_settings(program: str) -> None:
    made = lines_to_compare(names.settings_of(program))
    assert made == lines_to_compare("\n".join(expected(f"settings_{program}.txt")))


@pytest.mark.parametrize("program", names.METRIC_PROGRAMS)
def test_metrics(program: str) -> None:
    assert names.metrics(program).splitlines() == expected(f"metrics_{program}.txt")

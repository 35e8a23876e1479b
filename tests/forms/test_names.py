"""Names of settings, metrics, headers, commands and of the operators' RPC."""

import pytest

from tests.forms import names
from tests.forms.samples_made import SAMPLES
from tests.forms.shapes import lines_to_compare


def expected(name: str) -> list[str]:
    return (SAMPLES / "names" / name).read_text().splitlines()


MEANS_OF_PROOF_GONE = {"emulate", "report"}
"""Commands that were no operator's: the list of all commands may lack these two, and no other."""


def test_commands_and_their_flags() -> None:
    made, sample = names.commands().splitlines(), expected("commands.txt")
    held = [word for word in sample[0].split() if word not in MEANS_OF_PROOF_GONE]
    assert made[0].split() == held
    assert made[1:] == sample[1:]


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

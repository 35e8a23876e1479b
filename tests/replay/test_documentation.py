"""Guards against a traces page with broken examples or missing lines, fields and properties."""

import re
from pathlib import Path
from typing import get_args

from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.emulator import acts
from finchshed.proof.checks import CHECKS
from finchshed.replay.outcomes import OutcomeLine
from finchshed.replay.trace import TraceLine

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "replay-a-trace.md"


def blocks() -> list[str]:
    return re.findall(r"^```\n(.*?)^```", PAGE.read_text(), flags=re.MULTILINE | re.DOTALL)


def example(begins_with: str) -> str:
    (found,) = [block for block in blocks() if block.startswith(begins_with)]
    return found


def test_the_trace_written_in_the_page_comes_to_its_outcomes(tmp_path: Path) -> None:
    trace, expect = tmp_path / "trace.jsonl", tmp_path / "outcomes.jsonl"
    trace.write_text(example('{"type":"trace"'))
    expect.write_text(example('{"type":"outcomes"'))
    assert main.run(["replay", str(trace), f"--expect={expect}"]) == ExitCode.OK


def test_the_page_names_every_line_act_and_property() -> None:
    text = PAGE.read_text()
    tags = [struct.__struct_config__.tag for struct in get_args(TraceLine)]
    tags += [struct.__struct_config__.tag for struct in get_args(OutcomeLine)]
    assert acts.Submit.__struct_config__.tag in tags
    assert [tag for tag in [*tags, *CHECKS] if f"`{tag}`" not in text] == []


def test_the_page_names_every_field_of_acts_and_outcomes() -> None:
    text = PAGE.read_text()
    structs = [*get_args(TraceLine), *get_args(OutcomeLine)]
    fields = {field for struct in structs for field in struct.__struct_fields__}
    assert [field for field in sorted(fields) if f"`{field}`" not in text] == []

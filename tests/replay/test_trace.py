"""Guards against invalid traces and outcomes being accepted or reported without their line."""

from pathlib import Path

import pytest

from finchshed.cli import main
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.replay.emulated import arrivals_of
from finchshed.replay.outcomes import read_outcomes
from finchshed.replay.trace import Trace, read_trace

HEADER = '{"type":"trace","version":1,"name":"t","deployment":"brazos-ridge","control_nodes":0}'
ARRIVAL = '{"type":"arrival","time":1,"root":"a","kind":"season-rules","zone":"zone-1"}'
OUTCOMES = '{"type":"outcomes","version":1,"trace":"t"}'


def write(folder: Path, *lines: str, name: str = "t.jsonl") -> Path:
    path = folder / name
    path.write_text("\n".join(lines) + "\n")
    return path


def read(folder: Path, *lines: str) -> Trace:
    return read_trace(write(folder, *lines))


INVALID_LINES = [
    ('{"type":"arrival","time":1}', "root"),
    ('{"type":"arrival","time":-1,"root":"b","kind":"season-rules","zone":"zone-1"}', "time"),
    ('{"type":"arrival","time":1,"root":"b","kind":"no","zone":"zone-1"}', "kind = 'no'"),
    ('{"type":"arrival","time":1,"root":"e","kind":"season-rules","zone":"x"}', "zone = 'x'"),
    ('{"type":"arrival","time":1,"root":"a","kind":"season-rules","zone":"zone-1"}', "line 2"),
    ('{"type":"arrival","time":1,"root":"b","kind":"season-rules","zon":"zone-1"}', "zon"),
    ('{"type":"crash_back_end","time":1,"endpoint":"no-1","seconds":1}', "endpoint = 'no-1'"),
    ('{"type":"crash_daemon","time":1,"node":"leader","seconds":1}', "node = 'leader'"),
    ('{"type":"drain","time":1,"endpoint":"officer-1","sign":"gossip"}', "sign = 'gossip'"),
    ('{"type":"slow_service","time":1,"service":"officer","factor":0,"seconds":1}', "factor"),
    ('{"type":"no_such_act","time":1}', "no_such_act"),
    ("not json", "malformed"),
]


@pytest.mark.parametrize(("line", "text"), INVALID_LINES)
def test_invalid_line_is_reported_with_its_number(tmp_path: Path, line: str, text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read(tmp_path, HEADER, ARRIVAL, "", line)
    (problem,) = caught.value.problems
    assert "t.jsonl:4: " in problem
    assert text in problem


def test_all_invalid_lines_are_reported_together(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        read(tmp_path, HEADER, *(line for line, _ in INVALID_LINES if "line 2" not in _))
    assert len(caught.value.problems) == len(INVALID_LINES) - 1


@pytest.mark.parametrize(
    "header",
    [
        HEADER.replace('"version":1', '"version":2'),
        HEADER.replace("brazos-ridge", "nowhere"),
        HEADER.replace('"type":"trace"', '"type":"tracce"'),
        HEADER.replace('"name":"t",', ""),
    ],
)
def test_invalid_header_is_reported(tmp_path: Path, header: str) -> None:
    with pytest.raises(SettingsError, match=r"t\.jsonl:1: "):
        read(tmp_path, header, ARRIVAL)


def test_empty_or_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="no header"):
        read(tmp_path, "")
    with pytest.raises(SettingsError, match="No such file"):
        read_trace(tmp_path / "missing.jsonl")


def test_equal_key_texts_share_a_key_and_empty_ones_do_not(tmp_path: Path) -> None:
    purchase = '{"type":"arrival","time":%d,"root":"%s","kind":"purchase","zone":"zone-1"%s}'
    lines = [
        purchase % (1, "a", ',"key":"k"'),
        purchase % (2, "b", ',"key":"k"'),
        purchase % (3, "c", ""),
        purchase % (4, "d", ""),
    ]
    keys = [arrival.key for arrival in arrivals_of(read(tmp_path, HEADER, *lines))]
    assert keys[0] == keys[1]
    assert len(set(keys)) == 3
    assert all(keys)


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ('{"type":"request","root":"z"}', "root = 'z'"),
        ('{"type":"class","kind":"no"}', "kind = 'no'"),
        ('{"type":"property","check":"no"}', "check = 'no'"),
        ('{"type":"class","answered_at_least":1.5}', "answered_at_least"),
        ('{"type":"request"}', "root"),
    ],
)
def test_invalid_outcome_is_reported_with_its_line(tmp_path: Path, line: str, text: str) -> None:
    trace = read(tmp_path, HEADER, ARRIVAL)
    with pytest.raises(SettingsError) as caught:
        read_outcomes(write(tmp_path, OUTCOMES, line, name="o.jsonl"), trace)
    assert "o.jsonl:2: " in caught.value.problems[0]
    assert text in caught.value.problems[0]


def test_outcomes_of_another_trace_and_empty_outcomes_are_rejected(tmp_path: Path) -> None:
    trace = read(tmp_path, HEADER, ARRIVAL)
    other = OUTCOMES.replace('"t"', '"u"')
    with pytest.raises(SettingsError, match="the trace is 't'"):
        read_outcomes(write(tmp_path, other, '{"type":"property"}', name="o.jsonl"), trace)
    with pytest.raises(SettingsError, match="nothing is stated"):
        read_outcomes(write(tmp_path, OUTCOMES, name="o.jsonl"), trace)


def test_replay_command_prints_the_result_of_each_statement(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    trace = write(tmp_path, HEADER, ARRIVAL)
    held = '{"type":"request","root":"a","result":"answered","runs_at_most":1}'
    missed = '{"type":"request","root":"a","result":"refused"}'
    expect = write(tmp_path, OUTCOMES, held, missed, name="o.jsonl")
    assert main.run(["replay", str(trace), f"--expect={expect}"]) == ExitCode.FAILED
    output = capsys.readouterr().out
    assert f"held   {expect}:2" in output
    assert f"FAILED {expect}:3" in output
    assert "it was answered" in output
    assert main.run(["replay", str(trace)]) == ExitCode.OK

"""A request's trace is assembled from the logs of several processes."""

import json
from pathlib import Path
from typing import Any

import pytest

from finchshed.cli.exit_codes import ExitCode
from finchshed.cli.main import run


def request(identity: str, outcome: str, time: float, **fields: Any) -> dict[str, Any]:
    return {
        "event": "request_ended",
        "time": time,
        "id": identity,
        "root": identity.partition(".")[0],
        "service": "sales",
        "outcome": outcome,
        "ms": 12.5,
        **fields,
    }


def call(identity: str, outcome: str, time: float, **fields: Any) -> dict[str, Any]:
    return {
        "event": "call_ended",
        "time": time,
        "id": identity,
        "instance": "i-1",
        "outcome": outcome,
        "queued_ms": 3.0,
        **fields,
    }


def write_log(path: Path, *records: dict[str, Any], prefix: str = "") -> str:
    path.write_text("".join(f"{prefix}{json.dumps(record)}\n" for record in records))
    return str(path)


def test_the_trace_includes_a_failed_nested_call(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    edge = write_log(
        tmp_path / "edge.log",
        request(
            "a1",
            "answered",
            100.9,
            status=500,
            attempts=[{"endpoint": "i-1", "outcome": "answered", "ms": 400.0, "reason": "500"}],
        ),
        request("b2", "answered", 100.9, status=200),
        prefix="  1.2 node-a ",
    )
    # The clock of this machine is two seconds ahead.
    middle = write_log(
        tmp_path / "middle.log",
        call("a1", "answered", 102.8, status=500),
        request("a1.x", "refused", 102.7, reason="deadline", is_call=True),
    )
    assert run(["logs", "trace", "a1", edge, middle]) == ExitCode.OK
    text = capsys.readouterr().out
    assert "b2" not in text
    order = [text.index(part) for part in ("a1.x: refused", "call_ended a1", "request_ended a1:")]
    assert order == sorted(order)
    assert "cause: the back end answered 500 after its call a1.x ended: deadline" in text


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (request("a1", "refused", 1.0, reason="overload"), "refused before anything ran"),
        (request("a1", "failed", 1.0, reason="backend_broken"), "may have run"),
        (request("a1", "answered", 1.0, status=503), "answered 503 itself"),
        (request("a1", "refused", 1.0, reason="api_key_unknown"), "no tenant holds its API key"),
        (request("a1", "refused", 1.0, reason="api_key_unconfirmed"), "trust in API keys"),
        (request("a1", "refused", 1.0, reason="quota_exceeded"), "above its limit"),
        (request("a1", "refused", 1.0, reason="quota_unconfirmed"), "did not answer"),
        (request("a1", "refused", 1.0, reason="caller_unknown"), "a request that was over"),
        (request("a1", "refused", 1.0, service="", detail="why"), "refused; why; 12.5 ms"),
    ],
)
def test_the_cause_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], record: dict[str, Any], expected: str
) -> None:
    assert run(["logs", "trace", "a1", write_log(tmp_path / "one.log", record)]) == ExitCode.OK
    assert expected in capsys.readouterr().out


def test_missing_and_truncated_lines_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "cut.log"
    path.write_text('{"event":"request_ended","id":"a\nplain text\n{"other": 1}\n')
    assert run(["logs", "trace", "a1", str(path)]) == ExitCode.FAILED
    text = capsys.readouterr().out
    assert "in none of the files" in text
    assert "1 lines could not be read" in text


def test_a_missing_file_and_missing_arguments_are_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(["logs", "trace", "a1", "/nowhere.log"]) == ExitCode.USAGE
    assert "/nowhere.log" in capsys.readouterr().err
    assert run(["logs", "trace", "a1"]) == ExitCode.USAGE
    assert "no log file" in capsys.readouterr().err


def test_ends_are_counted(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write_log(
        tmp_path / "all.log",
        *(request(f"a{number}", "refused", 1.0, reason="overload") for number in range(3)),
        request("b", "answered", 1.0, status=500, is_call=True),
    )
    assert run(["logs", "ends", path]) == ExitCode.OK
    assert capsys.readouterr().out.split() == [
        "3", "request", "refused", "overload", "1", "call", "answered", "500",
    ]  # fmt: skip

"""Tables of a benchmark day's report, and errors for unreadable reports."""

from pathlib import Path

import msgspec
import pytest

from tests.platform.day_by_part import DayReport, Part, ServiceRuns, format_report, main

REPORT = DayReport(
    G=0.375,
    served=0.768,
    classes=(
        Part("download", n=100, in_aim=98, late=0, refused=0, failed=2, not_owed=0, worth=0.98),
        Part("lookup", n=200, in_aim=80, late=20, refused=60, failed=20, not_owed=20, worth=0.5),
    ),
    windows=(
        Part("0", n=150, in_aim=150, late=0, refused=0, failed=0, not_owed=0, worth=1.0),
        Part("2", n=150, in_aim=28, late=20, refused=60, failed=22, not_owed=20, worth=0.3),
        Part("4", n=0, in_aim=0, late=0, refused=0, failed=0, not_owed=0),
    ),
    services=(ServiceRuns("history", arrivals=400, not_run=3, ran_badly=100),),
)


def test_greatest_losses_come_first() -> None:
    lines = format_report(REPORT)
    assert lines[0] == "worth 0.375, served 0.768"
    assert lines[2].split()[:4] == ["lookup", "90", "of", "200"]
    assert lines[3].split()[:4] == ["download", "2", "of", "100"]
    assert lines[5].split()[:4] == ["2", "91", "of", "150"]
    assert lines[-1].split() == ["history", "100", "of", "400", "25.0%"]


def test_reports_are_read_from_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "day.json"
    path.write_bytes(msgspec.json.encode(REPORT))
    assert main([str(path)]) == 0
    assert "wasted runs" in capsys.readouterr().out


@pytest.mark.parametrize("content", [None, b"{}", b"not json"])
def test_invalid_report_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], content: bytes | None
) -> None:
    path = tmp_path / "day.json"
    if content is not None:
        path.write_bytes(content)
    assert main([str(path)]) == 2
    assert str(path) in capsys.readouterr().err


def test_missing_arguments_print_usage(capsys: pytest.CaptureFixture[str]) -> None:
    assert main([]) == 2
    assert "usage" in capsys.readouterr().err

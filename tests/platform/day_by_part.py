"""Prints lost requests by kind and window, and wasted runs, from reports of the users' benchmark.

Run ``fleetbench run SITE DAY --report day.json --why "..."``, then
``python -m tests.platform.day_by_part day.json ...``.
"""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec

MAX_WINDOWS_SHOWN = 5
"""Number of windows shown, by decreasing loss."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class Part(msgspec.Struct, frozen=True):
    """Number of requests of one kind or window, and the earned fraction of their credit, if any."""

    name: str
    n: Count
    in_aim: Count
    late: Count
    refused: Count
    failed: Count
    not_owed: Count
    worth: float | None = None

    @property
    def lost(self) -> float:
        """Number of requests lost, weighted by the credit not earned."""
        return 0.0 if self.worth is None else (self.n - self.not_owed) * (1.0 - self.worth)


class ServiceRuns(msgspec.Struct, frozen=True):
    """Requests at a service's back ends: refused (``not_run``), run without use (``ran_badly``)."""

    name: str
    arrivals: Count
    not_run: Count
    ran_badly: Count

    @property
    def wasted_share(self) -> float:
        """Fraction of the arrivals that were run without use."""
        return self.ran_badly / self.arrivals if self.arrivals else 0.0


class DayReport(msgspec.Struct, frozen=True):
    """The fields of a report that the tables show; ``G`` is the worth of the day."""

    G: float
    served: float
    classes: tuple[Part, ...]
    windows: tuple[Part, ...]
    services: tuple[ServiceRuns, ...]


def format_report(report: DayReport) -> list[str]:
    """Return the tables of a report as lines."""
    lines = [f"worth {report.G:.3f}, served {report.served:.3f}", "lost by kind of request"]
    lines += [_format_part(part) for part in _by_loss(report.classes)]
    lines.append("lost by window, from second")
    lines += [_format_part(part) for part in _by_loss(report.windows)[:MAX_WINDOWS_SHOWN]]
    lines.append("wasted runs")
    lines += [
        f"  {item.name:<22}{item.ran_badly:>7} of {item.arrivals:<7}{item.wasted_share:6.1%}"
        for item in report.services
    ]
    return lines


def _by_loss(parts: Sequence[Part]) -> list[Part]:
    return sorted(parts, key=lambda part: -part.lost)


def _format_part(part: Part) -> str:
    return (
        f"  {part.name:<22}{part.lost:8.0f} of {part.n:<7}"
        f"late {part.late}, refused {part.refused}, failed {part.failed}"
    )


def main(paths: list[str]) -> int:
    """Print the tables of each report in ``paths``; return 2 if one cannot be read."""
    if not paths:
        print("usage: python -m tests.platform.day_by_part REPORT ...", file=sys.stderr)
        return 2
    for path in paths:
        try:
            report = msgspec.json.decode(Path(path).read_bytes(), type=DayReport)
        except (OSError, msgspec.MsgspecError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 2
        print(path)
        print("\n".join(format_report(report)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

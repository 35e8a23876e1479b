"""Print, from a report of one day of the users' bench, which requests were lost, when, and the runs
that were thrown away.

    fleetbench run SITE DAY --report day.json --why "..."
    python -m tests.platform.day_by_part day.json ...

Losses are in requests' worth: of the requests owed, the part of their credit that wasn't earned.
"""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec

WORST_SHOWN = 5
"""Windows shown, those that lost the most first."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class Part(msgspec.Struct, frozen=True):
    """A kind of request, or a window of the day, by how its requests ended.

    Attributes
    ----------
    n
        Requests that were asked.
    worth
        Part of the credit owed that was earned; None where nothing was owed.
    """

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
        """Requests' worth that was owed and not earned."""
        return 0.0 if self.worth is None else (self.n - self.not_owed) * (1.0 - self.worth)


class ServiceRuns(msgspec.Struct, frozen=True):
    """What came to the back ends of a service.

    ``ran_badly`` counts runs whose answer helped nobody; ``not_run`` what back ends turned away.
    """

    name: str
    arrivals: Count
    not_run: Count
    ran_badly: Count

    @property
    def wasted_share(self) -> float:
        """Part of the arrivals that was run for nothing."""
        return self.ran_badly / self.arrivals if self.arrivals else 0.0


class DayReport(msgspec.Struct, frozen=True):
    """The parts of a report that the tables are made of; ``G`` is the day's worth."""

    G: float
    served: float
    classes: tuple[Part, ...]
    windows: tuple[Part, ...]
    services: tuple[ServiceRuns, ...]


def lines_of(report: DayReport) -> list[str]:
    """Return the tables of one report as lines."""
    lines = [f"worth {report.G:.3f}, served {report.served:.3f}", "lost by kind of request"]
    lines += [_line_of(part) for part in _by_loss(report.classes)]
    lines.append("lost by window, from second")
    lines += [_line_of(part) for part in _by_loss(report.windows)[:WORST_SHOWN]]
    lines.append("runs thrown away")
    lines += [
        f"  {item.name:<22}{item.ran_badly:>7} of {item.arrivals:<7}{item.wasted_share:6.1%}"
        for item in report.services
    ]
    return lines


def _by_loss(parts: Sequence[Part]) -> list[Part]:
    return sorted(parts, key=lambda part: -part.lost)


def _line_of(part: Part) -> str:
    return (
        f"  {part.name:<22}{part.lost:8.0f} of {part.n:<7}"
        f"late {part.late}, refused {part.refused}, failed {part.failed}"
    )


def main(paths: list[str]) -> int:
    """Print the tables of each report in ``paths``; return 2 if one can't be read."""
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
        print("\n".join(lines_of(report)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Prints the losses by cause of days in journal entries of the users' benchmark.

``python -m tests.platform.worth_by_cause journal/ENTRY.json ...``
"""

import json
import sys
from pathlib import Path
from typing import Any

MIN_SHOWN = 0.003
"""Losses and prices below this value are summed up as "rest"."""


def losses_of(day: dict[str, Any]) -> dict[str, float]:
    """Return the lost worth by cause, in decreasing order."""
    lost = {f"part: {name}": weight * (1.0 - value) for name, weight, value in day["parts"]}
    priced = {f"price: {name}": price for name, _, price in day["prices"]}
    by_size = sorted({**lost, **priced}.items(), key=lambda item: -item[1])
    shown = {name: loss for name, loss in by_size if loss >= MIN_SHOWN}
    shown["rest"] = sum(loss for _, loss in by_size) - sum(shown.values())
    return shown


def format_entry(entry: dict[str, Any]) -> list[str]:
    """Return the table of one journal entry as lines."""
    lines = [f"{entry['site']}, {entry['head'][:7]}: {entry['why']}"]
    for day in entry["days"]:
        broken = ", ".join(day["rules"]) or "none"
        lines.append(
            f"  {day['name']}: worth {day['G']:.3f}, served {day['served']:.3f}, rules broken: "
            f"{broken}, short of the gate: {len(day['short'])}, {day['wall_s']:.0f} s to play"
        )
        lines += [f"    {loss:6.3f}  {name}" for name, loss in losses_of(day).items()]
    return lines


def main(paths: list[str]) -> None:
    """Print the table of each journal entry in ``paths``."""
    for path in paths:
        print("\n".join(format_entry(json.loads(Path(path).read_text()))))


if __name__ == "__main__":
    main(sys.argv[1:])

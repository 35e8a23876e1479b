"""Runs random days on the users' benchmark and prints which rules were broken.

``python -m tests.platform.play_drawn_days --bench=PROGRAM --site=FILE --seeds=1..40``
"""

import json
import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import fire

from tests.platform.drawn_day import day_as_toml, draw_day

RUN_TIMEOUT_SECONDS = 900.0


@dataclass(frozen=True)
class DayResult:
    """Result of the benchmark for one day."""

    seed: int
    served: float
    worth: float
    broken: dict[str, object]
    notes: str

    @property
    def passed(self) -> bool:
        """Whether no rule was broken and no fault was reported."""
        return not self.broken and not self.notes

    def line(self) -> str:
        """Return the result as a table row."""
        broken = ", ".join(self.broken) or "-"
        return f"{self.seed:>8} {self.served:7.3f} {self.worth:7.3f}  {broken}  {self.notes}"


def run_day(
    bench: str, site: Path, seed: int, *, kinds: tuple[str, ...], out: Path, why: str
) -> DayResult:
    """Run one day on the benchmark and return its result."""
    day = out / f"{site.stem}-{seed}.toml"
    report = day.with_suffix(".json")
    day.write_text(day_as_toml(draw_day(site, seed, kinds)))
    command = [
        bench,
        "run",
        str(site),
        str(day),
        "--report",
        str(report),
        "--why",
        why,
        "--jobs",
        "1",
    ]
    ended = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS, check=False
    )
    day.with_suffix(".txt").write_text(ended.stdout + ended.stderr)
    if not report.exists():
        return DayResult(seed, 0.0, 0.0, {}, f"no report, exit code {ended.returncode}")
    result = json.loads(report.read_text())
    return DayResult(
        seed, result["served"], result["G"], result["breaks"], str(result["fault"] or "")
    )


def main(
    *,
    bench: str,
    site: str,
    seeds: str = "1..40",
    kinds: str = "",
    at_once: int = 3,
    out: str = "results/drawn",
    why: str = "days of drawn troubles, any kind that the bench lists, to find broken rules",
) -> None:
    """Run the days of ``seeds`` (A..B) and print a line for each."""
    numbers = [int(number) for number in re.findall(r"\d+", str(seeds))]
    folder = Path(out).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    names = tuple(str(kinds).split(",")) if kinds else ()
    site_path = Path(site).resolve()
    print("    seed  served   worth  broken")
    with ThreadPoolExecutor(at_once) as pool:
        results = pool.map(
            lambda seed: run_day(
                bench, site_path, seed, kinds=names, out=folder, why=f"{why}; seed {seed}"
            ),
            range(numbers[0], numbers[-1] + 1),
        )
        passed_count = 0
        for day in results:
            passed_count += day.passed
            print(day.line(), flush=True)
    print(f"{passed_count} of {numbers[-1] - numbers[0] + 1} days without a broken rule or fault")


if __name__ == "__main__":
    fire.Fire(main)

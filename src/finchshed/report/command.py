"""``finchshed report``: a page with tables and plots from files of results."""

from pathlib import Path

from finchshed.bench.experiment import Experiment, load
from finchshed.bench.results import read
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.report.groups import Groups
from finchshed.report.page import page
from finchshed.report.plots import Plots


def report(
    results: str,
    out: str = "report.html",
    *,
    experiment: str = "",
    note: str = "",
    plots: str = "",
) -> int:
    """Write one HTML page with tables and plots, that needs no other file.

    Parameters
    ----------
    results
        Files of ``finchshed bench run``, with commas between them.
    out
        File that gets the page.
    experiment
        File of the experiment, for the times of its phases in the plots.
    note
        Text for the page, such as what else the machine did.
    plots
        Folder that gets the plots as PNG files too.
    """
    records = [record for name in results.split(",") for record in read(_existing(name))]
    if not records:
        raise SettingsError([f"{results}: no results"])
    loaded: Experiment | None = load(_existing(experiment)) if experiment else None
    groups = Groups(records)
    drawn = Plots(groups, loaded).all()
    title = f"Experiment {', '.join(sorted({record.experiment for record in records}))}"
    Path(out).write_text(page(title, groups, drawn, note), encoding="utf-8")
    if plots:
        folder = Path(plots)
        folder.mkdir(parents=True, exist_ok=True)
        for name, (_, image) in drawn.items():
            (folder / f"{name}.png").write_bytes(image)
    print(f"{out}: {len(records)} runs, {len(drawn)} plots")
    return ExitCode.OK


def _existing(name: str) -> Path:
    path = Path(name)
    if not path.is_file():
        raise SettingsError([f"{name}: no such file"])
    return path

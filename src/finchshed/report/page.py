"""The report as one HTML page that needs no other file."""

import base64
import html
from collections.abc import Mapping

from finchshed.bench.results import FIGURES, RunRecord, spread_of
from finchshed.report.groups import Groups

STYLE = """
body { font-family: sans-serif; max-width: 1500px; margin: 2em auto; color: #222; }
table { border-collapse: collapse; font-size: 0.85em; }
th, td { border: 1px solid #ccc; padding: 0.25em 0.6em; text-align: right; }
th { background: #f2f2f2; }
td:first-child, td:nth-child(2), th:first-child, th:nth-child(2) { text-align: left; }
tr.finchshed td { background: #e8f2fa; }
img { max-width: 100%; }
p.note { color: #555; font-size: 0.85em; }
"""

MEANINGS = {
    "goodput/limit": "whole requests answered during the overload, over what slots and service "
    "times allow under strict priority (above 1: cheap requests were preferred)",
    "top class": "share of the most important requests answered that arrived during the overload",
    "recovery s": "seconds from the end of the trigger to 95% of the goodput before it, from then "
    "on; inf: not until the end of the run",
    "attempts mean": "runs at the deepest service, per visit the call graph asks for",
    "attempts max": "the most of these for one request",
    "wasted": "share of the back ends' running time spent on requests not answered whole",
}


def page(title: str, groups: Groups, plots: Mapping[str, tuple[str, bytes]], note: str) -> str:
    """Return the page.

    Parameters
    ----------
    plots
        Title and PNG of each figure, by name.
    note
        Text about the run that the results don't hold, such as the machine's load.
    """
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head><body>",
        f"<h1>{html.escape(title)}</h1>",
        _origin(groups.records),
    ]
    if note:
        parts.append(f"<p class='note'>{html.escape(note)}</p>")
    parts.append("<h2>Medians over seeds (least to greatest)</h2>")
    parts.append(_table(groups))
    parts.append("<ul class='note'>")
    parts.extend(f"<li><b>{name}</b>: {meaning}</li>" for name, meaning in MEANINGS.items())
    parts.append("</ul>")
    for name, (heading, image) in plots.items():
        encoded = base64.b64encode(image).decode()
        parts.append(f"<h2>{html.escape(heading)}</h2>")
        parts.append(f"<img id='{name}' alt='{html.escape(heading)}' ")
        parts.append(f"src='data:image/png;base64,{encoded}'>")
    parts.append("</body></html>\n")
    return "\n".join(parts)


def _origin(records: list[RunRecord]) -> str:
    machines = sorted(
        {
            f"{record.machine.processor}, {record.machine.system}, Python {record.machine.python}"
            for record in records
        }
    )
    versions = sorted({record.version for record in records})
    seconds = sum(record.processor_seconds for record in records)
    roots = sum(record.roots for record in records)
    return (
        f"<p class='note'>finchshed {html.escape(', '.join(versions))}; "
        f"{len(records)} runs, {roots} root requests, {seconds:.0f} s of processor time on "
        f"{html.escape('; '.join(machines))}. Emulated in simulated time: what the machine does "
        "meanwhile doesn't change the figures.</p>"
    )


def _table(groups: Groups) -> str:
    headings = ["deployment", "control", "demand", "seeds", *FIGURES]
    lines = ["<table><tr>", *(f"<th>{html.escape(name)}</th>" for name in headings), "</tr>"]
    for deployment in groups.deployments:
        for demand in groups.demands:
            for control, records in groups.controls((deployment, demand)).items():
                lines.append(_row(deployment, control, demand, records))
    lines.append("</table>")
    return "".join(lines)


def _row(deployment: str, control: str, demand: float, records: list[RunRecord]) -> str:
    cells = [deployment, control, f"{demand:g}", str(len(records))]
    for figure in FIGURES.values():
        values = [value for value in map(figure, records) if value is not None]
        cells.append(str(spread_of(values)) if values else "-")
    inner = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    return f"<tr class='{html.escape(control)}'>{inner}</tr>"

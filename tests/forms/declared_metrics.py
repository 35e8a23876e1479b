"""Prints a program's metrics: ``python -m tests.forms.declared_metrics PROGRAM``."""

import importlib
import sys

from finchshed.observability.instruments import registered_instruments
from finchshed.observability.metrics_page import render

MODULES = {
    "daemon": "finchshed.daemon.program",
    "control": "finchshed.control.program",
    "platform_daemon": "finchshed_platform.daemon_program",
    "platform_control": "finchshed_platform.control_program",
}
"""Module that loads each program whole."""


def main(program: str) -> None:
    """Print types, buckets and names of labels, sorted; values and descriptions are left out."""
    importlib.import_module(MODULES[program])
    page = render().decode().splitlines()
    lines = [line for line in page if line.startswith("# TYPE finchshed_")]
    lines += [line.rpartition(" ")[0] for line in page if line.startswith("finchshed_")]
    labels = [
        f"{metric.name} labels {' '.join(metric.label_names)}"
        for metric in registered_instruments()
    ]
    print("\n".join(sorted([*lines, *(line.rstrip() for line in labels)])))


if __name__ == "__main__":
    main(sys.argv[1])

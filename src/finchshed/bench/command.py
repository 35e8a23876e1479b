"""``finchshed bench``: run the experiments of a file."""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from finchshed.bench.consensus_log import measure_log
from finchshed.bench.decisions import decisions
from finchshed.bench.experiment import cases_of, load
from finchshed.bench.paired_latency import latency
from finchshed.bench.results import RunRecord, read, run_case, summary_lines
from finchshed.cli.exit_codes import ExitCode

DEFAULT_WORKERS = 2


def bench(
    experiment: str, out: str = "results.jsonl", workers: int = DEFAULT_WORKERS, seeds: int = 0
) -> int:
    """Run every case of an experiment file; write one JSON line a run and print the medians.

    Parameters
    ----------
    experiment
        TOML file, see docs/operations/bench-and-report.md.
    out
        File of results; runs are added to it as they end.
    workers
        Processes to run in.
    seeds
        Number of seeds in place of the file's, if not 0.
    """
    loaded = load(Path(experiment))
    if seeds:
        loaded = msgspec.structs.replace(loaded, seeds=seeds)
    cases = cases_of(loaded)
    encoder = msgspec.json.Encoder()
    records: list[RunRecord] = []
    with Path(out).open("ab") as file, ProcessPoolExecutor(workers) as pool:
        for record in pool.map(run_case, cases):
            file.write(encoder.encode(record) + b"\n")
            file.flush()
            records.append(record)
            print(f"\r{len(records)}/{len(cases)} runs", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    print("\n".join(summary_lines(records)))
    return ExitCode.OK


def summarize(results: str) -> int:
    """Print the medians and spread of a file of results."""
    print("\n".join(summary_lines(read(Path(results)))))
    return ExitCode.OK


COMMANDS = {
    "run": bench,
    "summary": summarize,
    "latency": latency,
    "log": measure_log,
    "decisions": decisions,
}

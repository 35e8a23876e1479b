"""Runs the fault scripts of a deployment, one after another."""

import pathlib
from collections.abc import Sequence

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError, SettingsError
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.results import markdown_of
from finchshed.fleet.scenario import read_scenario
from finchshed.fleet.verdict import Verdict

SCRIPTS_FOLDER = "faults"


def scripts_of(source: pathlib.Path, names: Sequence[str]) -> list[pathlib.Path]:
    """Return the scripts of a deployment with these names; all of them for none.

    Raises
    ------
    SettingsError
        If a name is no script's, or there is no script.
    """
    held = {path.stem: path for path in sorted((source / SCRIPTS_FOLDER).glob("*.toml"))}
    unknown = [name for name in names if name not in held]
    if unknown or not held:
        allowed = ", ".join(held) or "none"
        raise SettingsError([f"{source}: no script {', '.join(unknown)}; there are: {allowed}"])
    return [held[name] for name in names or held]


async def run_suite(
    source: pathlib.Path, folder: pathlib.Path, scripts: Sequence[pathlib.Path], seed: int
) -> int:
    """Run ``scripts``, each in a folder of its own; return 0 only if none failed.

    A run that comes to no verdict counts as failed; the next ones are made all the same.
    """
    verdicts: list[Verdict] = []
    failed = []
    for path in scripts:
        try:
            run = FaultRun(source, folder / path.stem, read_scenario(path), seed)
            verdicts.append(await run.run())
            passed = verdicts[-1].passed
        except FinchshedError as error:
            print(f"{path.stem}: no verdict: {error}", flush=True)
            passed = False
        if not passed:
            failed.append(path.stem)
    print(markdown_of(verdicts))
    names = f": {', '.join(failed)}" if failed else ""
    print(f"{len(scripts)} scripts, {len(failed)} failed{names}", flush=True)
    return ExitCode.FAILED if failed else ExitCode.OK

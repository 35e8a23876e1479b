"""Runs ``finchshed ctl`` commands against the control nodes of a fleet.

The simulated operators, which change the configuration under load, are processes of the fleet
instead.
"""

import asyncio
import os
import sys

import msgspec

from finchshed.common.errors import FinchshedError
from finchshed.fleet.plan import FleetPlan

APPLY_TIMEOUT_SECONDS = 30.0
"""How long the declarations may take to be accepted."""


class OperatorError(FinchshedError):
    """A ``finchshed ctl`` command failed."""


class CommandResult(msgspec.Struct, frozen=True):
    """Exit code and output of one ``finchshed ctl`` command."""

    exit_code: int
    output: str
    errors: str


class FleetOperator:
    """Runs operator commands, each in a separate process."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            "FINCHSHED_CONTROL": ",".join(plan.rpc_addresses),
            "FINCHSHED_TOKEN": plan.deployment.operator_token,
        }

    async def run(self, *arguments: str) -> CommandResult:
        """Run ``finchshed ctl`` with ``arguments``."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "finchshed",
            "ctl",
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=self._environment,
        )
        try:
            output, errors = await process.communicate()
        except asyncio.CancelledError:
            process.kill()
            await process.wait()
            raise
        return CommandResult(process.returncode or 0, output.decode(), errors.decode())

    async def run_checked(self, *arguments: str) -> str:
        """Run a command and return its output.

        Raises
        ------
        OperatorError
            If its exit code isn't 0.
        """
        result = await self.run(*arguments)
        if result.exit_code != 0:
            command = " ".join(arguments)
            raise OperatorError(
                f"ctl {command}: exit code {result.exit_code}\n{result.output}{result.errors}"
            )
        return result.output

    async def apply_declarations(self) -> str:
        """Apply the deployment's declarations as one change and return the command's output."""
        timeout = f"--timeout={APPLY_TIMEOUT_SECONDS}"
        return (await self.run_checked("apply", str(self._plan.declarations), timeout)).strip()

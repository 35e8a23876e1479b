"""The operator of a fleet: runs ``finchshed ctl`` against its control nodes.

Each command is a process of its own, as a person would run it. The stand-in operators, which
change the configuration under load, are processes of the fleet.
"""

import asyncio
import os
import sys

import msgspec

from finchshed.common.errors import FinchshedError
from finchshed.fleet.plan import FleetPlan

APPLY_TIMEOUT_SECONDS = 30.0
"""How long the declarations may take to be accepted; chosen, not measured."""


class OperatorError(FinchshedError):
    """An operator's command failed."""


class CommandResult(msgspec.Struct, frozen=True):
    """How one ``finchshed ctl`` command ended."""

    exit_code: int
    output: str
    errors: str


class FleetOperator:
    """Runs operator's commands, each as a process of its own like a person would."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            "FINCHSHED_CONTROL": ",".join(plan.rpc_addresses),
            "FINCHSHED_TOKEN": plan.deployment.operator_token,
        }

    async def run(self, *arguments: str) -> CommandResult:
        """Run ``finchshed ctl ARGUMENTS``."""
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

    async def must(self, *arguments: str) -> str:
        """Run a command and return its output.

        Raises
        ------
        OperatorError
            If its exit code isn't 0.
        """
        result = await self.run(*arguments)
        if result.exit_code != 0:
            words = " ".join(arguments)
            raise OperatorError(
                f"ctl {words}: exit code {result.exit_code}\n{result.output}{result.errors}"
            )
        return result.output

    async def apply_declarations(self) -> str:
        """Apply the deployment's declarations as one change."""
        timeout = f"--timeout={APPLY_TIMEOUT_SECONDS}"
        return (await self.must("apply", str(self._plan.declarations), timeout)).strip()

"""Registry of programs and commands, whose modules are imported on first use."""

import importlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class Program:
    """A long-running program, configured by a settings file and flags."""

    summary: str
    settings: str
    """Settings struct, as ``module:name``."""
    run: str
    """Callable, as ``module:name``, that takes the settings and returns an exit code."""

    def settings_type(self) -> type[msgspec.Struct]:
        """Import and return the settings struct."""
        settings_type: type[msgspec.Struct] = resolve(self.settings)
        return settings_type


@dataclass(frozen=True, slots=True)
class Command:
    """A command that runs to completion.

    ``target`` names (as ``module:name``) a callable that returns an exit code or None, a mapping
    from subcommand names to such callables, or a class whose public methods are the subcommands.
    ``exit_codes`` names a mapping with the meanings of additional exit codes; empty for none.
    """

    summary: str
    target: str
    exit_codes: str = ""


PROGRAMS: Mapping[str, Program] = {
    "daemon": Program(
        summary="data path: beside a back end, or at the edge in front of callers",
        settings="finchshed.daemon.settings:DaemonSettings",
        run="finchshed.daemon.program:run",
    ),
    "control": Program(
        summary="control node: replicated configuration and ledger, operators' RPC",
        settings="finchshed.control.settings:ControlSettings",
        run="finchshed.control.program:run",
    ),
}

COMMANDS: Mapping[str, Command] = {
    "ctl": Command(
        "operate a deployment through its control nodes",
        "finchshed.ctl.command:ctl",
        exit_codes="finchshed.ctl.exit_codes:MEANINGS",
    ),
    "config": Command("check, show or sample settings", "finchshed.settings.command:COMMANDS"),
    "logs": Command("read the logs of several processes", "finchshed.logs.command:COMMANDS"),
    "prove-consensus": Command(
        "check the replicated log under failure over seeds",
        "finchshed.proof.consensus.command:prove_consensus",
    ),
    "fleet": Command("run a deployment of real processes", "finchshed.fleet.command:fleet"),
    "bench": Command("measure what a call costs", "finchshed.bench.command:COMMANDS"),
    "keys": Command("make and show keys and certificates", "finchshed.tls.command:COMMANDS"),
    "prove": Command("check the stated properties over seeds", "finchshed.campaign.command:prove"),
    "replay": Command("replay a trace against stated outcomes", "finchshed.replay.command:replay"),
    "record": Command("record a trace", "finchshed.replay.command:record"),
    "standin": Command("stand-ins for back ends and callers", "finchshed.standins.command:standin"),
}


def resolve(target: str) -> Any:
    """Import the object named by ``target``, given as ``module:name``."""
    module_name, _, name = target.partition(":")
    return getattr(importlib.import_module(module_name), name)


def subcommands_of(target: Any) -> Mapping[str, Callable[..., Any]] | None:
    """Return the subcommands of a resolved target, or None if it is a single callable."""
    if isinstance(target, Mapping):
        return target
    if isinstance(target, type):
        instance = target()
        names = [name for name in vars(target) if not name.startswith("_")]
        return {name.replace("_", "-"): getattr(instance, name) for name in names}
    return None

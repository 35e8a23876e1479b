"""Imports every decision module and runs a simulated deployment with I/O and clocks forbidden.

A program of its own, as what it forbids can't be allowed again: ``python -m
tests.architecture.forbidden [CODE]``. ``CODE`` is run in place of the simulation.
"""

import importlib
import os
import random
import secrets
import sys
import time
import uuid
from collections.abc import Callable
from typing import Any

import simpy  # noqa: F401 - libraries may do at their import what is forbidden afterwards

from tests.architecture.decision_modules import decision_modules

CLOCKS = (
    "time",
    "time_ns",
    "monotonic",
    "monotonic_ns",
    "perf_counter",
    "perf_counter_ns",
    "clock_gettime",
    "sleep",
    "localtime",
    "gmtime",
)
"""Of module ``time``. The emulator measures its own work by ``process_time``."""

SHARED_GENERATOR = (
    "random",
    "randrange",
    "randint",
    "choice",
    "choices",
    "shuffle",
    "sample",
    "uniform",
    "getrandbits",
    "seed",
)
"""Of module ``random``: functions of the generator that all modules share."""

FORBIDDEN_EVENTS = ("socket.", "subprocess.", "os.fork", "os.posix_spawn", "os.system")
"""Audit events (Python documentation, "Audit events table") forbidden from the first import on."""

FILE_EVENTS = ("open", "os.listdir", "os.scandir", "os.mkdir", "os.remove", "os.rename")
"""Audit events that imports need, forbidden afterwards."""

_is_importing = True


class ForbiddenError(BaseException):
    """A decision module did what it may not; no handler of errors takes this."""


class SeededGenerator(random.Random):
    """A generator that must be given its seed."""

    def __init__(self, seed: Any = None) -> None:
        if seed is None:
            raise ForbiddenError("random.Random() without a seed")
        super().__init__(seed)


def forbid() -> None:
    """Forbid sockets, processes, clocks and randomness for the rest of this process."""
    for name in CLOCKS:
        setattr(time, name, _refusal(f"time.{name}"))
    for name in SHARED_GENERATOR:
        setattr(random, name, _refusal(f"random.{name}"))
    random.Random = SeededGenerator  # type: ignore[misc]
    os.urandom = _refusal("os.urandom")  # type: ignore[assignment]
    secrets.token_hex = _refusal("secrets.token_hex")  # type: ignore[assignment]
    uuid.uuid1 = _refusal("uuid.uuid1")  # type: ignore[assignment]
    uuid.uuid4 = _refusal("uuid.uuid4")  # type: ignore[assignment]
    sys.dont_write_bytecode = True
    sys.addaudithook(_audit)


def run_simulation() -> None:
    """Run daemons and their back ends in simulated time, over a surge."""
    from finchshed.emulator.callers import Surge
    from finchshed.emulator.presets import BRAZOS_RIDGE
    from finchshed.emulator.run import RunSpecification
    from finchshed.emulator.world import World

    surge = Surge(start=0.5, seconds=1.0, factor=3.0)
    specification = RunSpecification(deployment=BRAZOS_RIDGE, seconds=2.0, surges=(surge,))
    world = World(specification)
    forbid_files()
    result = world.run()
    print(f"{result.roots} requests, {result.messages} messages")


def forbid_files() -> None:
    """Forbid files too: all that is needed has been imported."""
    global _is_importing  # noqa: PLW0603 - read by the audit hook
    _is_importing = False


def _refusal(name: str) -> Callable[..., Any]:
    def refuse(*_: object, **__: object) -> Any:
        raise ForbiddenError(name)

    return refuse


def _audit(event: str, arguments: tuple[object, ...]) -> None:
    if event.startswith(FORBIDDEN_EVENTS):
        raise ForbiddenError(f"{event} {arguments}")
    if event in FILE_EVENTS and not _is_importing:
        raise ForbiddenError(f"{event} {arguments}")


def main(code: str) -> None:
    """Import every decision module, then run ``code`` or the simulation."""
    modules = decision_modules()
    forbid()
    for name in modules:
        importlib.import_module(name)
    if code:
        forbid_files()
        exec(code, {})
    else:
        run_simulation()


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "")

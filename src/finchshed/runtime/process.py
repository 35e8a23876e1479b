"""Runs one program in a uvloop event loop until it is told to stop."""

import asyncio
import errno
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import uvloop
from loguru import logger

from finchshed import __version__
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError, InvariantError
from finchshed.observability import log_stream, process_metrics, ring
from finchshed.observability.invariants import FaultMonitor
from finchshed.observability.process_checks import require_no_io_uring

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a planned stop; a second one stops without waiting."""

DUMP_SIGNAL = signal.SIGUSR1
RELOAD_SIGNAL = signal.SIGHUP

ADDRESS_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES})
"""Errors of an address in the settings that the machine doesn't give; no fault of the program."""


class ProcessControl:
    """What a program's main coroutine learns of its process.

    Attributes
    ----------
    stop_requested
        Set once on the first stop signal: begin the planned stop and return when it is done.
    on_reload
        Called when the settings file is said to have changed (SIGHUP).
    faults
        Reports a broken invariant found outside of a loop callback.
    """

    def __init__(self, faults: FaultMonitor) -> None:
        self.stop_requested = asyncio.Event()
        self.on_reload: Callable[[], None] = _no_reload
        self.faults = faults

    def reload(self) -> None:
        """Tell the program that its settings file is said to have changed."""
        self.on_reload()

    def request_stop(self) -> None:
        """Ask for a planned stop."""
        process_metrics.STOPPING.set(1)
        self.stop_requested.set()


class Main(Protocol):
    """A program: serves until ``control.stop_requested`` is set, then stops as planned."""

    def __call__(self, control: ProcessControl) -> Coroutine[Any, Any, None]:
        """Run the program."""


def run_process(
    main: Main,
    program: str,
    node: str,
    data_folder: str | None = None,
    zone: str = "",
    *,
    logs_to_stdout: bool = False,
) -> int:
    """Run ``main`` in a fresh uvloop loop and return the process's exit code.

    The ring is set up, the loop checked for an io_uring, signals handled: SIGTERM and SIGINT ask
    for a planned stop (a second one stops at once), SIGUSR1 writes the ring out. With
    ``logs_to_stdout`` decisions and changes of state are written as JSON lines too.
    """
    ring.configure(program, node, data_folder)
    process_metrics.identify(program, node, zone, __version__)
    loop = uvloop.new_event_loop()
    try:
        asyncio.set_event_loop(loop)
        return _run(loop, main, f"{program} {node}", logs_to_stdout=logs_to_stdout)
    finally:
        _close(loop)
        log_stream.close()


def _run(loop: asyncio.AbstractEventLoop, main: Main, title: str, *, logs_to_stdout: bool) -> int:
    broken: list[InvariantError] = []
    task: asyncio.Task[None] | None = None

    def stop_broken(error: InvariantError) -> None:
        broken.append(error)
        if task is not None:
            task.cancel()

    faults = FaultMonitor(stop_broken)
    faults.install(loop)
    control = ProcessControl(faults)
    try:
        require_no_io_uring()
        loop_lag = loop.create_task(process_metrics.measure_loop_lag())
        if logs_to_stdout:
            log_stream.schedule_flushes(loop, log_stream.open_standard_output())
        task = loop.create_task(main(control))
        _handle_signals(loop, control, task.cancel)
        ring.announce(f"{title}: started")
        loop.run_until_complete(task)
        loop_lag.cancel()
    except InvariantError as error:
        faults.report_violation(error)
    except asyncio.CancelledError:
        logger.warning("stopped without waiting")
    except FinchshedError as error:
        ring.announce(f"{title}: can't go on: {error}")
        return ExitCode.FAILED
    except OSError as error:
        if error.errno not in ADDRESS_ERRORS:
            return _fault(title, error)
        ring.announce(f"{title}: can't listen: {error}")
        return ExitCode.FAILED
    except Exception as error:
        return _fault(title, error)
    if broken:
        ring.announce(f"{title}: stopped by a broken invariant: {broken[0]}")
        return ExitCode.FAULT
    ring.announce(f"{title}: stopped")
    return ExitCode.OK


def _fault(title: str, error: Exception) -> int:
    logger.opt(exception=error).critical("unexpected error: {!r}", error)
    ring.dump(f"unexpected error: {error!r}")
    ring.announce(f"{title}: stopped by an unexpected error: {error!r}")
    return ExitCode.FAULT


def _handle_signals(
    loop: asyncio.AbstractEventLoop, control: ProcessControl, stop_now: Callable[[], object]
) -> None:
    def on_stop_signal() -> None:
        if control.stop_requested.is_set():
            stop_now()
        control.request_stop()

    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, on_stop_signal)
    loop.add_signal_handler(RELOAD_SIGNAL, control.reload)
    loop.add_signal_handler(DUMP_SIGNAL, lambda: ring.dump("asked for by signal"))


def _no_reload() -> None:
    logger.info("told to read the settings again; this program reads them at its start only")


def _close(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.run_until_complete(loop.shutdown_asyncgens())
    asyncio.set_event_loop(None)
    loop.close()

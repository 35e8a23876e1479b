"""Runs a program in a uvloop event loop until it stops or is told to stop."""

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
"""Signals that request a graceful shutdown."""

DUMP_SIGNAL = signal.SIGUSR1
RELOAD_SIGNAL = signal.SIGHUP

ADDRESS_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES})
"""Errors caused by an unavailable listen address in the settings, not by a bug."""


class ProcessControl:
    """Shutdown and reload events passed to a program's main coroutine.

    Attributes
    ----------
    stop_requested
        Set on the first stop signal; the program must shut down gracefully and return.
    on_reload
        Called to reload the settings file (SIGHUP).
    faults
        Reports invariant violations detected outside event loop callbacks.
    """

    def __init__(self, faults: FaultMonitor) -> None:
        self.stop_requested = asyncio.Event()
        self.on_reload: Callable[[], None] = _ignore_reload
        self.faults = faults

    def reload(self) -> None:
        """Request a reload of the settings file."""
        self.on_reload()

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        process_metrics.STOPPING.set(1)
        self.stop_requested.set()


class Main(Protocol):
    """A program that serves until ``control.stop_requested`` is set, then shuts down."""

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

    Configures the log ring, checks that the loop does not use io_uring and installs signal
    handlers: SIGTERM and SIGINT request a graceful shutdown, which a further SIGTERM doesn't change
    and a further SIGINT cuts short; SIGHUP reloads the settings, SIGUSR1 dumps the ring. With
    ``logs_to_stdout``, decisions and state changes are also written to standard output as JSON
    lines.
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
    violations: list[InvariantError] = []
    task: asyncio.Task[None] | None = None

    def stop_on_violation(error: InvariantError) -> None:
        violations.append(error)
        if task is not None:
            task.cancel()

    faults = FaultMonitor(stop_on_violation)
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
        logger.warning("stopped without a graceful shutdown")
    except FinchshedError as error:
        ring.announce(f"{title}: can't go on: {error}")
        return ExitCode.FAILED
    except OSError as error:
        if error.errno not in ADDRESS_ERRORS:
            return _report_fault(title, error)
        ring.announce(f"{title}: can't listen: {error}")
        return ExitCode.FAILED
    except Exception as error:
        return _report_fault(title, error)
    if violations:
        ring.announce(f"{title}: stopped by a broken invariant: {violations[0]}")
        return ExitCode.FAULT
    ring.announce(f"{title}: stopped")
    return ExitCode.OK


def _report_fault(title: str, error: Exception) -> int:
    logger.opt(exception=error).critical("unexpected error: {!r}", error)
    ring.dump(f"unexpected error: {error!r}")
    ring.announce(f"{title}: stopped by an unexpected error: {error!r}")
    return ExitCode.FAULT


def _handle_signals(
    loop: asyncio.AbstractEventLoop, control: ProcessControl, stop_now: Callable[[], object]
) -> None:
    def on_stop_signal(number: signal.Signals) -> None:
        if not control.stop_requested.is_set():
            control.request_stop()
        elif number is signal.SIGINT:
            stop_now()
        else:
            logger.info("{}: the stop is already in progress", number.name)

    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, on_stop_signal, stop_signal)
    loop.add_signal_handler(RELOAD_SIGNAL, control.reload)
    loop.add_signal_handler(DUMP_SIGNAL, lambda: ring.dump("asked for by signal"))


def _ignore_reload() -> None:
    logger.info("ignored SIGHUP: this program reads its settings only at startup")


def _close(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.run_until_complete(loop.shutdown_asyncgens())
    asyncio.set_event_loop(None)
    loop.close()

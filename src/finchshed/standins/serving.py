"""Runs the HTTP application of a simulated process until a stop signal."""

import asyncio
import signal

from aiohttp import web

SHUTDOWN_TIMEOUT_SECONDS = 1.0
"""How long open requests may take to finish at shutdown."""


def stop_event(
    numbers: tuple[signal.Signals, ...] = (signal.SIGTERM, signal.SIGINT),
) -> asyncio.Event:
    """Return an event that is set when any of the signals arrives."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def start_site(app: web.Application, address: str) -> web.AppRunner:
    """Listen at ``address``; a handler is cancelled when its client disconnects."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), reuse_address=True)
    await site.start()
    return runner


async def serve_until_stopped(app: web.Application, address: str) -> None:
    """Serve ``app`` until a stop signal."""
    stopped = stop_event()
    runner = await start_site(app, address)
    await stopped.wait()
    await runner.cleanup()

"""``finchshed control``: runs one control node until it is told to stop."""

import asyncio
import signal

import uvloop

from finchshed.common.errors import InvariantError
from finchshed.control.node import ControlNode
from finchshed.control.settings import ControlSettings
from finchshed.observability import ring

PROGRAM = "control"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(settings: ControlSettings) -> int:
    """Run the control node of ``settings``; return the exit code."""
    ring.configure(PROGRAM, settings.node, settings.data_folder)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(settings))


async def _serve(settings: ControlSettings) -> int:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    broken: list[InvariantError] = []
    loop.set_exception_handler(_exception_handler(broken, stopping))
    node = ControlNode(settings)
    await node.start()
    ring.announce(f"control {settings.node} started, operators at {settings.rpc_address}")
    await stopping.wait()
    if broken:
        raise broken[0]
    await node.stop()
    ring.announce(f"control {settings.node} stopped")
    return 0


def _exception_handler(broken: list[InvariantError], stopping: asyncio.Event):  # type: ignore[no-untyped-def]
    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, InvariantError):
            broken.append(error)
            stopping.set()
            return
        loop.default_exception_handler(context)

    return handle

"""``finchshed control``: runs one control node until it is told to stop."""

import asyncio
import signal

import uvloop

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import InvariantError
from finchshed.control.background import Background
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
    broken: list[InvariantError] = []

    def on_broken(error: InvariantError) -> None:
        broken.append(error)
        stopping.set()

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    node = ControlNode(settings, Background(on_broken))
    await node.start()
    ring.announce(f"control {settings.node} started, operators at {settings.rpc_address}")
    await stopping.wait()
    if broken:
        raise broken[0]
    await node.stop()
    ring.announce(f"control {settings.node} stopped")
    return ExitCode.OK

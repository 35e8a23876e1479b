"""Entry point of ``finchshed control``."""

from finchshed.control.background import BackgroundTasks
from finchshed.control.node import ControlNode
from finchshed.control.settings import ControlSettings
from finchshed.runtime.process import ProcessControl, run_process


def run(settings: ControlSettings) -> int:
    """Run a control node until a stop is requested; return the process's exit code."""

    async def main(control: ProcessControl) -> None:
        node = ControlNode(settings, BackgroundTasks(control.faults.report_violation))
        await node.start()
        await control.stop_requested.wait()
        await node.stop()

    return run_process(
        main,
        "control",
        settings.node,
        settings.data_folder,
        settings.zone,
        logs_to_stdout=settings.logs_to_stdout,
    )

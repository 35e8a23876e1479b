"""Entry point of ``finchshed daemon``."""

from collections.abc import Mapping

from finchshed.daemon.daemon import Daemon
from finchshed.daemon.settings import DaemonSettings
from finchshed.observability.admin import AdminServer
from finchshed.observability.health import Health
from finchshed.observability.load_page import LOAD_PATH, LoadPage
from finchshed.runtime.process import ProcessControl, run_process


def run(settings: DaemonSettings) -> int:
    """Run a daemon until it is requested to stop; return the process's exit code."""

    async def main(control: ProcessControl) -> None:
        daemon = Daemon(settings)
        admin = _admin_server(settings, daemon)
        if admin is not None:
            await admin.start()
        await daemon.start()
        await control.stop_requested.wait()
        await daemon.stop()
        if admin is not None:
            await admin.stop()

    return run_process(
        main,
        "daemon",
        settings.node,
        settings.data_folder or None,
        settings.zone,
        logs_to_stdout=settings.logs_to_stdout,
    )


def _admin_server(settings: DaemonSettings, daemon: Daemon) -> AdminServer | None:
    if not settings.admin_address:
        return None

    def health() -> Health:
        return Health(healthy=daemon.is_serving, detail=daemon.state_detail)

    async def load(_: Mapping[str, str]) -> LoadPage:
        return daemon.load_page()

    return AdminServer(settings.admin_address, health, {LOAD_PATH: load})

"""One control node: its parts, started and stopped in order."""

from finchshed.configuration.store import CommittedRevision
from finchshed.control.distribution_server import DistributionServer
from finchshed.control.operator_service import OperatorService
from finchshed.control.revisions import RevisionFeed
from finchshed.control.rpc_server import RpcServer
from finchshed.control.settings import ControlSettings
from finchshed.control.single_node_log import SingleNodeLog
from finchshed.control.state_machine import ControlStateMachine


class ControlNode:
    """The parts of one control node."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._machine = ControlStateMachine(self._on_committed, self._on_restored)
        self._log = SingleNodeLog(settings.node, self._machine)
        self._feed = RevisionFeed(self._machine.store)
        self._distribution = DistributionServer(
            self._machine, self._log, settings.max_link_line_bytes
        )
        service = OperatorService(
            self._machine,
            self._log,
            distribution=self._distribution,
            feed=self._feed,
            bootstrap_token_sha256=settings.bootstrap_token_sha256,
        )
        self._rpc = RpcServer(service)

    async def start(self) -> None:
        """Start serving."""
        await self._distribution.start(self._settings.distribution_address)
        await self._rpc.start(self._settings.rpc_address)

    async def stop(self) -> None:
        """Finish requests in progress and stop."""
        await self._rpc.stop(self._settings.stop_seconds)
        await self._distribution.stop(self._settings.stop_seconds)

    def _on_committed(self, committed: CommittedRevision) -> None:
        self._feed.on_committed(committed)
        self._distribution.on_committed(committed)

    def _on_restored(self) -> None:
        self._feed.on_restored()
        self._distribution.on_restored()

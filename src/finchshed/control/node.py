"""Control node: creates, connects, starts and stops its components.

Owns the components; all callbacks between them are connected here.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from finchshed.configuration.store import CommittedRevision
from finchshed.consensus.options import RaftOptions
from finchshed.control.addresses import member_addresses
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons.distribution_service import DistributionService
from finchshed.control.memory import ControlMemoryPlan
from finchshed.control.operators.configuration_document import ConfigurationDocuments
from finchshed.control.operators.revisions import RevisionFeed
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.raft.host import RaftHost
from finchshed.control.raft.node_links import ControlNodeLinks
from finchshed.control.raft.node_messages import PeerHello
from finchshed.control.settings import ControlSettings
from finchshed.control.state.machine import ControlStateMachine
from finchshed.control.state.metrics import update_state_gauges
from finchshed.link.networks import PeerNetworks
from finchshed.observability.health import Health
from finchshed.runtime import clock
from finchshed.tls.credentials import Credentials, load_credentials

if TYPE_CHECKING:
    from finchshed.control.operators.rpc_server import RpcServer
    from finchshed.observability.admin import AdminServer

MAX_ELECTION_TIMEOUT_FACTOR = 2.0
"""Ratio of the maximum to the minimum election timeout, as in the Raft paper
(Ongaro and Ousterhout, 2014: 150 to 300 ms)."""

LEADERSHIP_TRANSFER_SECONDS = 2.0
"""Timeout of the leadership transfer at shutdown."""

ALTERNATIVES_INTERVAL_SECONDS = 2.0
"""Interval between updates of the control addresses sent to daemons."""


class ControlNode:
    """Components of one control node.

    Parameters
    ----------
    background
        Runs the node's tasks and receives invariant violations.

    Attributes
    ----------
    memory
        What the process may hold.
    """

    def __init__(self, settings: ControlSettings, background: BackgroundTasks) -> None:
        self._settings = settings
        self._background = background
        self.memory = ControlMemoryPlan(settings.max_memory_bytes)
        self._machine = ControlStateMachine(self._on_committed, self._on_restored)
        self._feed = RevisionFeed(self._machine.store, self.memory.history_bytes)
        self._host = self._make_host()
        self._log = GroupLog(
            self._host, self._machine, background, settings.request_timeout_seconds
        )
        networks = PeerNetworks(settings.peer_networks)
        credentials = load_credentials(settings)
        self._links = self._make_links(networks, credentials)
        self._distribution = DistributionService(
            settings.node,
            self._machine,
            self._log,
            background,
            memory=self.memory,
            networks=networks,
            credentials=credentials,
        )
        self._log.on_report = self._distribution.on_report
        self._log.on_quota = self._distribution.quotas.on_peer
        self._log.on_directory = self._distribution.directory.on_report
        self._log.on_crash_news = self._distribution.quarantine.on_report
        self.configuration = ConfigurationDocuments(
            self._machine, self._log, settings.request_timeout_seconds
        )
        self._rpc = self._make_rpc(credentials) if settings.rpc_address else None
        self._admin = _make_admin(settings, self._health)

    async def start(self) -> None:
        """Join the group, then serve daemons and operators."""
        await self._links.start(self._settings.raft_address)
        self._log.start(self._links)
        await self._distribution.start(self._settings.distribution_address)
        if self._rpc is not None:
            await self._rpc.start(self._settings.rpc_address)
        self._background.spawn(self._publish_alternatives())
        if self._settings.platform_list_url:
            self._spawn_poller()
        self._background.spawn(
            update_state_gauges(
                self._machine, self._distribution.connected_daemons, self._history_bytes
            )
        )
        if self._admin is not None:
            await self._admin.start()

    async def stop(self) -> None:
        """Finish requests in progress, transfer leadership and stop."""
        if self._rpc is not None:
            await self._rpc.stop(self._settings.stop_seconds)
        await self._distribution.stop(self._settings.stop_seconds)
        await self._transfer_leadership()
        self._background.cancel()
        self._links.stop()
        await self._host.stop()
        if self._admin is not None:
            await self._admin.stop()

    def _make_host(self) -> RaftHost:
        settings = self._settings
        return RaftHost(
            settings.node,
            settings.raft_advertised_address or settings.raft_address,
            member_addresses(settings.voters),
            settings.data_folder,
            options=_raft_options(settings, self.memory),
            may_form=settings.forms_group,
            zone=settings.zone,
            machine=self._machine,
            background=self._background,
        )

    def _make_links(
        self, networks: PeerNetworks, credentials: Credentials | None
    ) -> ControlNodeLinks:
        hello = PeerHello(self._settings.node, self._distribution_address())
        return ControlNodeLinks(
            hello,
            self._log.on_message,
            self._background,
            networks=networks,
            credentials=credentials,
            max_unsent_bytes=self.memory.peer_unsent_bytes,
        )

    def _distribution_address(self) -> str:
        """Return the address at which daemons reach this node."""
        settings = self._settings
        return settings.distribution_advertised_address or settings.distribution_address

    def _make_rpc(self, credentials: Credentials | None) -> "RpcServer":
        # Imported lazily: a node without an RPC listener doesn't load gRPC.
        from finchshed.control.operators.rpc_server import RpcServer
        from finchshed.control.operators.service import OperatorService

        service = OperatorService(
            self._machine,
            self._log,
            distribution=self._distribution,
            feed=self._feed,
            bootstrap_token_sha256=self._settings.bootstrap_token_sha256,
            membership=self._log,
        )
        return RpcServer(service, credentials)

    def _spawn_poller(self) -> None:
        from finchshed.control.daemons.platform_poller import PlatformPoller

        poller = PlatformPoller(self._settings, self._machine, self._distribution.send_hints)
        self._background.spawn(poller.run())

    async def _transfer_leadership(self) -> None:
        """Transfer leadership, so that the group doesn't wait for an election timeout."""
        deadline = clock.now() + LEADERSHIP_TRANSFER_SECONDS
        self._host.transfer_leadership()
        while self._host.is_leader and clock.now() < deadline:
            await self._host.wait_for_role_change(deadline - clock.now())

    async def _publish_alternatives(self) -> None:
        own = self._distribution_address()
        while True:
            addresses = {*self._links.distribution_addresses.values(), own}
            self._distribution.set_alternatives(tuple(sorted(addresses)))
            await asyncio.sleep(ALTERNATIVES_INTERVAL_SECONDS)

    def _history_bytes(self) -> dict[str, int]:
        """Return the size of the changes kept for each kind of receiver."""
        return {
            "daemons": self._distribution.history_bytes(),
            "watches": self._feed.encoded_bytes,
        }

    def _health(self) -> Health:
        if self._log.in_contact():
            return Health(healthy=True)
        return Health(healthy=False, detail="no leader with a quorum is known")

    def _on_committed(self, committed: CommittedRevision) -> None:
        self._feed.on_committed(committed)
        self._distribution.on_committed(committed)

    def _on_restored(self) -> None:
        self._feed.on_restored()
        self._distribution.on_restored()


def _make_admin(settings: ControlSettings, health: Callable[[], Health]) -> "AdminServer | None":
    if not settings.admin_address:
        return None
    from finchshed.observability.admin import AdminServer

    return AdminServer(settings.admin_address, health)


def _raft_options(settings: ControlSettings, memory: ControlMemoryPlan) -> RaftOptions:
    return RaftOptions(
        heartbeat_interval_seconds=settings.heartbeat_seconds,
        election_timeout_min_seconds=settings.election_timeout_seconds,
        election_timeout_max_seconds=MAX_ELECTION_TIMEOUT_FACTOR
        * settings.election_timeout_seconds,
        standby_after_seconds=settings.standby_after_seconds,
        admits_standbys=settings.admits_standbys,
        tolerated_failures=settings.tolerated_failures,
        max_in_flight_bytes=memory.in_flight_bytes,
        snapshot_every_entries=settings.snapshot_entries,
        snapshot_every_bytes=memory.log_bytes,
        trailing_bytes=memory.log_bytes,
        max_unsaved_bytes=memory.uncommitted_bytes,
        max_pending_bytes=memory.uncommitted_bytes,
        read_timeout_seconds=settings.request_timeout_seconds / 2,
    )

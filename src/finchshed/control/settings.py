"""Settings of ``finchshed control``."""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from finchshed.settings.fields import (
    PRIVATE_NETWORKS,
    ListenAddress,
    Name,
    NamedAddress,
    Network,
    OptionalAddress,
    OptionalListenAddress,
    OptionalUrl,
)
from finchshed.tls.files import AuthorityFile, CertificateFile, KeyFile, TlsFiles, validate_files

Sha256 = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{64})?$")]


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one control node."""

    node: Annotated[Name, msgspec.Meta(description="Name of this control node, unique.")]
    region: Annotated[Name, msgspec.Meta(description="Region this machine stands in.")]
    zone: Annotated[Name, msgspec.Meta(description="Zone this machine stands in.")]
    data_folder: Annotated[
        str, msgspec.Meta(min_length=1, description="Folder for the log, snapshots and dumps.")
    ]
    raft_address: Annotated[
        ListenAddress, msgspec.Meta(description="Listens for other control nodes, a.b.c.d:port.")
    ]
    distribution_address: Annotated[
        ListenAddress, msgspec.Meta(description="Listens for daemons, a.b.c.d:port.")
    ]
    raft_advertised_address: Annotated[
        OptionalAddress,
        msgspec.Meta(
            description=(
                "Where other control nodes reach raft_address, when it isn't that address itself "
                "(behind a relay); empty: raft_address."
            )
        ),
    ] = ""
    distribution_advertised_address: Annotated[
        OptionalAddress,
        msgspec.Meta(
            description=(
                "Where daemons reach distribution_address, when it isn't that address itself; "
                "named to daemons that have to move. Empty: distribution_address."
            )
        ),
    ] = ""
    rpc_address: Annotated[
        OptionalListenAddress,
        msgspec.Meta(description="Listens for operators (gRPC), a.b.c.d:port; empty: not served."),
    ]
    admin_address: Annotated[
        OptionalListenAddress,
        msgspec.Meta(description="Serves metrics, health and the log ring; empty: not served."),
    ] = ""
    voters: Annotated[
        tuple[NamedAddress, ...],
        msgspec.Meta(
            min_length=1,
            description=(
                "Voters a new control group is formed of, name=a.b.c.d:port of their "
                "raft_address; the same list on every node. A node that isn't in it joins when "
                "an operator adds it."
            ),
        ),
    ]
    forms_group: Annotated[
        bool,
        msgspec.Meta(
            description=(
                "Whether this node may form a new group with the other voters; false on a node "
                "that comes to a group which was formed before."
            )
        ),
    ] = True
    admits_standbys: Annotated[
        bool,
        msgspec.Meta(
            description=(
                "Whether the group takes in, as a standby, any node that names one of its members "
                "among its voters; else an operator adds it."
            )
        ),
    ] = False
    tolerated_failures: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=4,
            description=(
                "Control machines whose loss at once, with their disks, must be borne; standbys "
                "are promoted until twice as many and one vote. 0: those that are listed vote."
            ),
        ),
    ] = 0
    bootstrap_token_sha256: Annotated[
        Sha256,
        msgspec.Meta(
            description=(
                "SHA-256, hexadecimal, of the token that may change a configuration in which "
                "no operator is declared yet; empty: none may."
            )
        ),
    ] = ""
    peer_networks: Annotated[
        tuple[Network, ...],
        msgspec.Meta(
            description="Networks (CIDR) that daemons and other control nodes connect from."
        ),
    ] = PRIVATE_NETWORKS
    platform_list_url: Annotated[
        OptionalUrl,
        msgspec.Meta(
            description="The platform's list of live and leaving machines; empty: not read.",
        ),
    ] = ""
    platform_poll_seconds: Annotated[
        float, msgspec.Meta(ge=0.1, le=300.0, description="Time between reads of that list.")
    ] = 0.5
    platform_lag_seconds: Annotated[
        float, msgspec.Meta(ge=0.0, le=3600.0, description="How far that list lags at most.")
    ] = 60.0
    election_timeout_seconds: Annotated[
        float,
        msgspec.Meta(
            ge=0.15, le=30.0, description="Shortest time without a leader before an election."
        ),
    ] = 1.0
    heartbeat_seconds: Annotated[
        float, msgspec.Meta(ge=0.02, le=10.0, description="Time between the leader's heartbeats.")
    ] = 0.1
    standby_after_seconds: Annotated[
        float,
        msgspec.Meta(
            ge=1.0,
            le=1e9,
            description="A voter silent for this long is replaced by a standby that has caught up.",
        ),
    ] = 60.0
    request_timeout_seconds: Annotated[
        float,
        msgspec.Meta(ge=0.1, le=60.0, description="Longest wait for a quorum's agreement."),
    ] = 4.0
    snapshot_entries: Annotated[
        int, msgspec.Meta(ge=16, le=10_000_000, description="Log entries between snapshots.")
    ] = 20_000
    max_memory_bytes: Annotated[
        int,
        msgspec.Meta(
            ge=1 << 20,
            le=1 << 40,
            description=(
                "Memory of the process; bounds its histories, its queues, the ledger and the size "
                "of a configuration."
            ),
        ),
    ] = 2 << 30
    stop_seconds: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=60.0, description="Longest wait for requests in progress at stop."),
    ] = 5.0
    logs_to_stdout: Annotated[
        bool,
        msgspec.Meta(description="Whether decisions go to standard output, as JSON lines."),
    ] = True
    tls_certificate_file: CertificateFile = ""
    tls_key_file: KeyFile = ""
    tls_authority_file: AuthorityFile = ""

    @property
    def tls_files(self) -> TlsFiles:
        """Key and certificates of this process."""
        return TlsFiles(self.tls_certificate_file, self.tls_key_file, self.tls_authority_file)

    def file_problems(self) -> Mapping[str, str]:
        """Return problems with the configured files, by setting; called by the settings loader."""
        return validate_files(self.tls_files)

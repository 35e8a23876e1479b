"""Settings of a daemon process: a flat TOML table, overridden by command-line flags."""

from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from finchshed.settings.fields import (
    PRIVATE_NETWORKS,
    ListenAddress,
    Name,
    Network,
    OptionalAddress,
    OptionalListenAddress,
    OptionalName,
    ZonedAddress,
)
from finchshed.tls.files import AuthorityFile, CertificateFile, KeyFile, TlsFiles, validate_files


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a daemon process. Sizes are in bytes and durations in seconds."""

    node: Annotated[Name, Meta(description="Name of this daemon, unique in the deployment.")]
    region: Annotated[Name, Meta(description="Region the machine is in.")]
    zone: Annotated[Name, Meta(description="Zone the machine is in.")]
    service: Annotated[
        OptionalName, Meta(description="Service of the back end beside it; empty on an edge.")
    ] = ""
    endpoint: Annotated[
        OptionalName, Meta(description="Name of its endpoint resource; empty on an edge.")
    ] = ""
    backend_address: Annotated[
        OptionalAddress, Meta(description="HTTP address of the back end; empty on an edge.")
    ] = ""
    http_address: Annotated[
        OptionalListenAddress,
        Meta(
            description=(
                "HTTP listener for the local back end and outside callers that name the service; "
                "empty for none."
            )
        ),
    ]
    host_address: Annotated[
        OptionalListenAddress,
        Meta(description="HTTP listener for requests by host and path; empty for none."),
    ] = ""
    registers_backend: Annotated[
        bool,
        Meta(
            description=(
                "Whether the back end tells by heartbeats who it is, in place of a declared "
                "endpoint."
            )
        ),
    ] = False
    backend_silence_seconds: Annotated[
        float,
        Meta(gt=0, le=3600, description="A back end without a heartbeat this long is gone."),
    ] = 5.0
    polls_slow_backend: Annotated[
        bool,
        Meta(
            description=(
                "Whether a back end that reports that it is slow is polled by health checks, so "
                "that the end of a slow period shows at once."
            )
        ),
    ] = True
    link_address: Annotated[
        ListenAddress, Meta(description="Listener for other daemons; the address in its endpoint.")
    ]
    admin_address: Annotated[
        OptionalListenAddress, Meta(description="Metrics, health, load and ring; empty for none.")
    ] = ""
    control_addresses: Annotated[
        tuple[ZonedAddress, ...],
        Meta(
            min_length=1,
            description=(
                "Distribution addresses of the control nodes; those of the own zone are tried "
                "first, the others in an order of the daemon's own."
            ),
        ),
    ]
    data_folder: Annotated[
        str, Meta(description="Folder for the highest revision seen; empty for none.")
    ] = ""
    peer_networks: Annotated[
        tuple[Network, ...],
        Meta(description="Networks (CIDR) links from other daemons are taken from."),
    ] = PRIVATE_NETWORKS
    subset_size: Annotated[
        int,
        Meta(
            ge=2,
            le=100_000,
            description=(
                "Endpoints of one service this daemon uses in its zone, in its region and "
                "elsewhere; the others only while none of those can be used."
            ),
        ),
    ] = 20
    heartbeat_seconds: Annotated[
        float,
        Meta(gt=0, le=60, description="A busy link silent for this long is sent a heartbeat."),
    ] = 0.25
    idle_heartbeat_seconds: Annotated[
        float, Meta(gt=0, le=60, description="The same for a link without calls in progress.")
    ] = 5.0
    silence_seconds: Annotated[
        float, Meta(gt=0, le=600, description="A peer that answers nothing this long is cut off.")
    ] = 1.0
    connect_timeout_seconds: Annotated[
        float, Meta(gt=0, le=60, description="Time to open a link or a back-end connection.")
    ] = 0.5
    compresses_links: Annotated[
        bool,
        Meta(
            description=(
                "Whether links to daemons of other zones are compressed; those under TLS never are."
            )
        ),
    ] = True
    link_idle_seconds: Annotated[
        float, Meta(gt=0, le=86_400, description="A link unused for this long is closed.")
    ] = 120.0
    max_unsent_bytes: Annotated[
        int,
        Meta(ge=65_536, le=1 << 30, description="Unsent bytes of a link past which it is full."),
    ] = 16 << 20
    max_spooled_bytes: Annotated[
        int, Meta(ge=1 << 20, le=1 << 34, description="Bodies held at a time, in sum.")
    ] = 128 << 20
    max_memory_bytes: Annotated[
        int,
        Meta(
            ge=1 << 20,
            le=1 << 40,
            description=(
                "Memory of the process: bodies are refused or given up before it is reached, as is "
                "an answer above 9 in 100 of what lies above 64 MiB."
            ),
        ),
    ] = 2 << 30
    max_descriptors: Annotated[
        int,
        Meta(
            ge=0,
            le=1 << 20,
            description=(
                "Descriptors that the process may have open, 0: as many as the system allows it. "
                "Connections of callers may take half of them."
            ),
        ),
    ] = 0
    max_connections: Annotated[
        int, Meta(ge=1, le=65_536, description="Connections kept to the back end.")
    ] = 128
    ledger_timeout_seconds: Annotated[
        float, Meta(gt=0, le=60, description="Longest wait for the ledger before a refusal.")
    ] = 1.0
    grant_lease_seconds: Annotated[
        float, Meta(gt=0, le=60, description="A ledger grant older than this is not used.")
    ] = 2.0
    drain_seconds: Annotated[
        float, Meta(gt=0, le=86_400, description="Longest wait for work in progress at a stop.")
    ] = 300.0
    drain_notice_seconds: Annotated[
        float, Meta(ge=0, le=60, description="Time a stop leaves for late arrivals to come in.")
    ] = 0.5
    logs_to_stdout: Annotated[
        bool, Meta(description="Whether decisions go to standard output, as JSON lines.")
    ] = True
    drain_serving_seconds: Annotated[
        float,
        Meta(
            ge=0,
            le=60,
            description=(
                "Time a stop lets other daemons go on calling the back end, which stays; within "
                "the time for late arrivals."
            ),
        ),
    ] = 0.0
    tls_certificate_file: CertificateFile = ""
    tls_key_file: KeyFile = ""
    tls_authority_file: AuthorityFile = ""

    @property
    def tls_files(self) -> TlsFiles:
        """Key and certificates of this process."""
        return TlsFiles(self.tls_certificate_file, self.tls_key_file, self.tls_authority_file)

    def file_problems(self) -> Mapping[str, str]:
        """Return problems with the TLS files, by setting (called by the settings loader)."""
        return validate_files(self.tls_files)

    @property
    def accepted_silence_seconds(self) -> float:
        """Timeout of an accepted link without traffic; allows for two idle heartbeats."""
        return 2 * self.idle_heartbeat_seconds + self.silence_seconds

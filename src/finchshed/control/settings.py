"""Settings of ``finchshed control``."""

from typing import Annotated

import msgspec

from finchshed.configuration.resources import Address, Name

MemberAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}=[0-9.]+:[0-9]{1,5}$")
]
"""A member of the control group, ``name=a.b.c.d:port``."""

OptionalAddress = Annotated[str, msgspec.Meta(pattern=r"^([0-9.]+:[0-9]{1,5})?$")]
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
        Address, msgspec.Meta(description="Listens for other control nodes, a.b.c.d:port.")
    ]
    distribution_address: Annotated[
        Address, msgspec.Meta(description="Listens for daemons, a.b.c.d:port.")
    ]
    rpc_address: Annotated[
        Address, msgspec.Meta(description="Listens for operators (gRPC), a.b.c.d:port.")
    ]
    admin_address: Annotated[
        OptionalAddress,
        msgspec.Meta(description="Serves metrics, health and the log ring; empty: not served."),
    ] = ""
    voters: Annotated[
        tuple[MemberAddress, ...],
        msgspec.Meta(
            min_length=1,
            description=(
                "Voters a new control group is formed of, name=a.b.c.d:port of their "
                "raft_address; the same list on every node. A node that isn't in it joins when "
                "an operator adds it."
            ),
        ),
    ]
    bootstrap_token_sha256: Annotated[
        Sha256,
        msgspec.Meta(
            description=(
                "SHA-256, hexadecimal, of the token that may change a configuration in which "
                "no operator is declared yet; empty: none may."
            )
        ),
    ] = ""
    platform_list_url: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(http://.+)?$",
            description="The platform's list of live and leaving machines; empty: not read.",
        ),
    ] = ""
    platform_poll_seconds: Annotated[
        float, msgspec.Meta(ge=0.1, le=300.0, description="Time between reads of that list.")
    ] = 2.0
    election_timeout_seconds: Annotated[
        float,
        msgspec.Meta(
            ge=0.15, le=30.0, description="Shortest time without a leader before an election."
        ),
    ] = 1.0
    heartbeat_seconds: Annotated[
        float, msgspec.Meta(ge=0.02, le=10.0, description="Time between the leader's heartbeats.")
    ] = 0.1
    request_timeout_seconds: Annotated[
        float,
        msgspec.Meta(ge=0.1, le=60.0, description="Longest wait for a quorum's agreement."),
    ] = 4.0
    snapshot_entries: Annotated[
        int, msgspec.Meta(ge=16, le=10_000_000, description="Log entries between snapshots.")
    ] = 20_000
    stop_seconds: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=60.0, description="Longest wait for requests in progress at stop."),
    ] = 5.0

"""A Raft host that is the only voter of its group."""

from pathlib import Path

from finchshed.consensus.options import RaftOptions
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.host import RaftHost
from finchshed.control.state.machine import ControlStateMachine
from tests.control.group import free_addresses

OPTIONS = RaftOptions(
    heartbeat_interval_seconds=0.05,
    election_timeout_min_seconds=0.2,
    election_timeout_max_seconds=0.4,
)


def only_voter(
    folder: Path, machine: ControlStateMachine, background: BackgroundTasks
) -> tuple[RaftHost, str]:
    """Return the host ``c1`` with its log in ``folder``, and its address."""
    (address,) = free_addresses(1)
    host = RaftHost(
        "c1",
        address,
        {"c1": address},
        str(folder),
        options=OPTIONS,
        machine=machine,
        background=background,
    )
    return host, address

"""Settings of the stand-ins, each read from one TOML file."""

import enum
import pathlib
from typing import Annotated, TypeVar

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.configuration.resources import Address, Name

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class Distribution(enum.StrEnum):
    """Shape of the time a back end takes for one request."""

    CONSTANT = "constant"
    """For tests: no deployment has it."""

    GAMMA = "gamma"
    """Of shape 8, as in the emulator: the coefficient of variation is 0.35."""


class RetryHabit(enum.StrEnum):
    """What an outside caller does when it gets no whole answer."""

    RETRY_AFTER = "retry_after"
    HARD = "hard"


class LoadReporting(enum.StrEnum):
    """How truthful a back end's load endpoint is."""

    HONEST = "honest"
    LAGGING = "lagging"
    ZERO = "zero"


class CallOn(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request that serving ``prefix`` needs from another service."""

    prefix: str
    service: Name
    path: str


class BackendSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one stand-in back end.

    Attributes
    ----------
    daemon_address
        HTTP address of its own daemon, through which it calls on.
    queue_limit
        Requests it holds beyond its slots before it refuses.
    leave_grace_seconds
        After a drain begins it serves what still arrives for so long, then refuses.
    """

    name: Name
    service: Name
    zone: Name
    address: Address
    daemon_address: Address
    record_path: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    service_time_seconds: Seconds
    distribution: Distribution = Distribution.GAMMA
    answer_bytes: Count = 512
    queue_limit: Count = 64
    load_reporting: LoadReporting = LoadReporting.HONEST
    leave_grace_seconds: Seconds = 5.0
    seed: int = 1
    calls: tuple[CallOn, ...] = ()


class StandinLoad(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests of one kind that a caller sends.

    Attributes
    ----------
    rate_per_second
        Mean of the Poisson arrivals before the surge factor.
    keyed
        Whether each request carries its own idempotency key.
    download_bytes
        Above zero the request is a download of this size, fetched in ranges as one session.
    conditional
        Whether a download's later ranges name its edition (If-Match). Without it the caller
        relies on the system, and keeps to one edge, which knows the session.
    identities
        Number of outside callers the requests are spread over.
    surges
        Whether a surge multiplies this load.
    backoff_seconds
        Mean pause before a hard repeat, drawn evenly from half to one and a half of it.
    """

    name: Name
    service: Name
    path: str
    rate_per_second: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
    method: str = "GET"
    body_bytes: Count = 0
    keyed: bool = False
    download_bytes: Count = 0
    range_bytes: Annotated[int, msgspec.Meta(ge=1)] = 65_536
    conditional: bool = True
    identities: Annotated[int, msgspec.Meta(ge=1)] = 100
    surges: bool = True
    retry: RetryHabit = RetryHabit.RETRY_AFTER
    backoff_seconds: Seconds = 0.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)] = 2.0


class Phase(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A stretch of the run in which every surging load is multiplied by ``factor``."""

    name: Name
    duration_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
    factor: Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)] = 1.0


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one stand-in caller process.

    Attributes
    ----------
    edge_addresses
        HTTP addresses of edge daemons: the first is used, the others by repeats.
    client_delay_seconds
        One-way delay between clients and the edge, added before and after each attempt.
    """

    name: Name
    zone: Name
    edge_addresses: tuple[Address, ...]
    record_path: str
    loads: tuple[StandinLoad, ...]
    phases: tuple[Phase, ...]
    client_delay_seconds: Seconds = 0.0
    seed: int = 1


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the stand-in platform list.

    Attributes
    ----------
    lag_seconds
        A change of the list shows up only after so long.
    """

    address: Address
    lag_seconds: Seconds = 0.0


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one stand-in operator.

    Attributes
    ----------
    changes
        Changes to make, numbered from ``first_number``.
    """

    name: Name
    token: str
    rpc_addresses: tuple[Address, ...]
    record_path: str
    changes: Count
    first_number: Count = 0
    pause_seconds: Seconds = 0.0


def load(struct_type: type[SettingsT], path: str | pathlib.Path) -> SettingsT:
    """Read settings of ``struct_type`` from a TOML file.

    Raises
    ------
    SettingsError
        If the file can't be read or holds a wrong key or value.
    """
    try:
        content = pathlib.Path(path).read_bytes()
        return msgspec.toml.decode(content, type=struct_type)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error

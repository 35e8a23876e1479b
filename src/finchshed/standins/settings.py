"""Settings of the simulated processes, each read from one TOML file."""

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
    """Distribution of a backend's service times."""

    CONSTANT = "constant"
    """Used by tests only."""

    GAMMA = "gamma"
    """Gamma distribution with shape 8 (coefficient of variation 0.35), as in the emulator."""


class RetryBehavior(enum.StrEnum):
    """When an external caller retries a request without a complete response."""

    RETRY_AFTER = "retry_after"
    HARD = "hard"


class LoadReporting(enum.StrEnum):
    """Accuracy of the load that a backend reports."""

    HONEST = "honest"
    LAGGING = "lagging"
    ZERO = "zero"


class DownstreamCall(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A call to another service that requests under ``prefix`` need."""

    prefix: str
    service: Name
    path: str


class BackendSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one simulated backend.

    Attributes
    ----------
    daemon_address
        HTTP address of its own daemon, which forwards its downstream calls.
    queue_limit
        Number of requests that may wait for a slot before further requests are refused.
    leave_grace_seconds
        How long it accepts new requests after a drain begins.
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
    calls: tuple[DownstreamCall, ...] = ()


class StandinLoad(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request that a caller sends.

    Attributes
    ----------
    rate_per_second
        Mean rate of the Poisson arrivals before the surge factor.
    keyed
        Whether each request carries its own idempotency key.
    download_bytes
        If above zero, the request is a download of this size, fetched in ranges as one session.
    conditional
        Whether later ranges of a download send the edition in If-Match. Otherwise the caller
        relies on the system for a consistent edition and stays with one edge, which knows the
        session.
    identities
        Number of external callers that share the requests.
    surges
        Whether the phase factor applies to this load.
    backoff_seconds
        Mean backoff of ``hard`` retries, uniform between 0.5 and 1.5 times this value.
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
    retry: RetryBehavior = RetryBehavior.RETRY_AFTER
    backoff_seconds: Seconds = 0.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)] = 2.0


class Phase(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A period of the run in which the rate of every surging load is multiplied by ``factor``."""

    name: Name
    duration_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
    factor: Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)] = 1.0


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one simulated caller process.

    Attributes
    ----------
    edge_addresses
        HTTP addresses of edge daemons; retries use the addresses after the first.
    client_delay_seconds
        One-way network delay to the edge, added before and after each attempt.
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
    """Settings of the simulated platform.

    Attributes
    ----------
    lag_seconds
        Delay before a change of the instance list is published.
    """

    address: Address
    lag_seconds: Seconds = 0.0


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one simulated operator.

    Attributes
    ----------
    changes
        Number of changes to submit, numbered from ``first_number``.
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
        If the file can't be read, or has an unknown key or an invalid value.
    """
    try:
        content = pathlib.Path(path).read_bytes()
        return msgspec.toml.decode(content, type=struct_type)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error

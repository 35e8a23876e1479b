"""What daemons and control nodes tell each other of requests that back ends ended under."""

from typing import Annotated, TypeAlias

import msgspec

MAX_CRASHES = 16
"""Crashes of one request that are kept and sent. It is quarantined at the fourth at the latest; one
more doubles the time, up to its bound."""

MAX_NEWS_RECORDS = 4096
"""Records taken in one message: four times what a node keeps."""

Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
CrashNames: TypeAlias = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_CRASHES)]


class Crash(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A back end that ended while it ran a request.

    Attributes
    ----------
    instance
        Start of the back end; a start ends once, so it names the crash.
    is_alone
        Whether no other request that ran there came into question as much.
    """

    instance: Name
    is_alone: bool


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """All that is known of one request. Records merge by union, so they may be told in any order.

    Attributes
    ----------
    age_seconds
        Time since the last crash, when the record was sent: clocks of machines are not compared.
    refuted
        Instances whose end is no longer held against the request, as it has run to an end since or
        an operator said so.
    """

    signature: Name
    age_seconds: Annotated[float, msgspec.Meta(ge=0.0)]
    crashes: Annotated[tuple[Crash, ...], msgspec.Meta(max_length=MAX_CRASHES)]
    refuted: CrashNames = ()


class CrashNews(msgspec.Struct, frozen=True, tag="crash_news"):
    """Records that are news to the receiver, as far as the sender knows."""

    records: Annotated[tuple[CrashRecord, ...], msgspec.Meta(max_length=MAX_NEWS_RECORDS)]

"""Messages about crash-causing requests, exchanged by daemons and control nodes."""

from typing import Annotated, TypeAlias

import msgspec

MAX_CRASHES = 16
"""Maximum number of crashes stored and sent per request.

A request is quarantined at the fourth crash at the latest; each further one doubles the time, up
to its bound."""

MAX_NEWS_RECORDS = 4096
"""Maximum number of records accepted in one message: four times what a node keeps."""

Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
CrashNames: TypeAlias = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_CRASHES)]


class Crash(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A crash of a back end while it ran a request.

    Attributes
    ----------
    instance
        Identity of the back end process, which crashes at most once and so identifies the crash.
    is_alone
        Whether no other request that ran there was equally suspect.
    """

    instance: Name
    is_alone: bool


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Crash history of one request. Records merge by union, so they may arrive in any order.

    Attributes
    ----------
    age_seconds
        Time since the last crash when the record was sent; absolute clocks are not compared.
    refuted
        Instances whose crash no longer counts, because the request has completed since or an
        operator cleared it.
    """

    signature: Name
    age_seconds: Annotated[float, msgspec.Meta(ge=0.0)]
    crashes: Annotated[tuple[Crash, ...], msgspec.Meta(max_length=MAX_CRASHES)]
    refuted: CrashNames = ()


class CrashNews(msgspec.Struct, frozen=True, tag="crash_news"):
    """Records that, as far as the sender knows, the receiver does not have yet."""

    records: Annotated[tuple[CrashRecord, ...], msgspec.Meta(max_length=MAX_NEWS_RECORDS)]

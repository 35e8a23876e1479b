"""Configuration changes and their results."""

from typing import TypeAlias

import msgspec

from finchshed.configuration.resources import Resource, ResourceKey


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """An atomic change submitted by an operator.

    Attributes
    ----------
    change_id
        Idempotency key chosen by the operator's client. A resend returns the first result.
    expected_revision
        Revision that the change is based on. Exactly one of several concurrent changes based on
        the same revision is accepted.
    is_whole
        Whether ``puts`` replaces all services, host routes, ingress limits and tenants. Resources
        of these kinds that it doesn't contain are deleted.
    version
        Version number assigned by the operator, higher than the current one; 0 if unversioned. A
        versioned change is checked against ``base_version`` instead of ``expected_revision``.
    base_version
        Version that the change is based on; 0 if there was none.
    source
        Configuration document as the operator wrote it, stored for retrieval.
    """

    change_id: str
    operator: str
    expected_revision: int
    puts: tuple[Resource, ...] = ()
    deletes: tuple[ResourceKey, ...] = ()
    is_whole: bool = False
    version: int = 0
    base_version: int = 0
    source: str = ""


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The change is committed as ``revision`` and can't be lost."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Another change based on the same revision was accepted first."""

    current_revision: int
    winner_change_id: str
    winner_operator: str


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The change was rejected because it is malformed or would make the configuration invalid."""

    problems: tuple[str, ...]


ChangeResult: TypeAlias = Accepted | Conflict | Invalid

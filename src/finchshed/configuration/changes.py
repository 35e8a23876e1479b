"""Changes of the configuration and their results, as values."""

from typing import TypeAlias

import msgspec

from finchshed.configuration.resources import Resource, ResourceKey


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operator's change, applied whole or not at all.

    Attributes
    ----------
    change_id
        Chosen by the operator's client. A resend under the same identity gets the first result.
    expected_revision
        Revision the change was made against. Of racing changes against one revision exactly one
        is accepted.
    is_whole
        Whether ``puts`` are all services, routes by host, limits and tenants there are to be: those
        not among them are deleted.
    version
        Number that the operator gave the configuration, above the one in force; 0: none. The
        change then goes by ``base_version`` in place of ``expected_revision``.
    base_version
        Version the change was made against; 0: none was in force.
    source
        The configuration as the operator wrote it, kept to be read back.
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
    """The change is committed as ``revision`` and never reverts."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Another change was accepted first."""

    current_revision: int
    winner_change_id: str
    winner_operator: str


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The change would make a configuration that contradicts itself."""

    problems: tuple[str, ...]


ChangeResult: TypeAlias = Accepted | Conflict | Invalid

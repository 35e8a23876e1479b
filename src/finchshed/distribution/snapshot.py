"""A configuration at one revision, and the arithmetic of deltas.

A delta from ``base`` to ``revision`` names, for every resource that changed in between, its
state at ``revision``. So it may be applied to any revision in ``base .. revision - 1``: what it
repeats is equal. Two deltas that follow each other merge into one in the same way.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.configuration.resources import Endpoint, Resource, ResourceKey, key_of
from finchshed.distribution.messages import Delta


@dataclass(frozen=True, slots=True)
class Configuration:
    """All resources as accepted up to ``revision``; never changed once made."""

    revision: int = 0
    resources: Mapping[ResourceKey, Resource] = field(default_factory=dict)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of all services."""
        return tuple(item for item in self.resources.values() if isinstance(item, Endpoint))


def is_applicable(delta: Delta, revision: int) -> bool:
    """Return whether ``delta`` can be applied to a configuration at ``revision``."""
    return delta.base == 0 or delta.base <= revision


def apply_delta(configuration: Configuration, delta: Delta) -> Configuration:
    """Return ``configuration`` brought to the delta's revision.

    Raises
    ------
    InvariantError
        If the delta starts after the configuration's revision, or would take it back.
    """
    if not is_applicable(delta, configuration.revision):
        raise InvariantError(f"delta from {delta.base} does not fit {configuration.revision}")
    if delta.revision < configuration.revision:
        raise InvariantError(f"delta to {delta.revision} reverts {configuration.revision}")
    if delta.base == 0:
        return Configuration(delta.revision, {key_of(item): item for item in delta.puts})
    resources = dict(configuration.resources)
    for key in delta.deletes:
        resources.pop(key, None)
    for item in delta.puts:
        resources[key_of(item)] = item
    return Configuration(delta.revision, resources)


def full_delta(configuration: Configuration, confirmed: bool = False) -> Delta:
    """Return the delta that stands for the whole of ``configuration``."""
    return Delta(
        base=0,
        revision=configuration.revision,
        puts=tuple(configuration.resources.values()),
        confirmed=confirmed,
    )


def empty_delta(revision: int, confirmed: bool = False) -> Delta:
    """Return the delta that changes nothing at ``revision``; it serves as a heartbeat."""
    return Delta(base=revision, revision=revision, confirmed=confirmed)


def merge(deltas: Iterable[Delta]) -> Delta:
    """Return one delta for a run of deltas, each starting where the one before ended.

    Raises
    ------
    InvariantError
        If there is none, or there is a gap between two.
    """
    puts: dict[ResourceKey, Resource] = {}
    deletes: dict[ResourceKey, None] = {}
    base = revision = -1
    for delta in deltas:
        if revision not in (-1, delta.base):
            raise InvariantError(f"delta from {delta.base} does not follow {revision}")
        if base == -1:
            base = delta.base
        revision = delta.revision
        for key in delta.deletes:
            puts.pop(key, None)
            deletes[key] = None
        for item in delta.puts:
            key = key_of(item)
            deletes.pop(key, None)
            puts[key] = item
    if base == -1:
        raise InvariantError("no delta to merge")
    return Delta(base=base, revision=revision, puts=tuple(puts.values()), deletes=tuple(deletes))

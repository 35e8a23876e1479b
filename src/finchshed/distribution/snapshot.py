"""Configuration at one revision, and applying and merging deltas.

A delta from ``base`` to ``revision`` contains the state at ``revision`` of every resource that
changed in between. It can therefore be applied to any revision from ``base`` to ``revision - 1``,
and consecutive deltas can be merged into one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.configuration.resources import Endpoint, Resource, ResourceKey, key_of
from finchshed.distribution.messages import Delta


@dataclass(frozen=True, slots=True)
class Configuration:
    """Immutable set of all resources at ``revision``."""

    revision: int = 0
    resources: Mapping[ResourceKey, Resource] = field(default_factory=dict)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of all services."""
        return tuple(item for item in self.resources.values() if isinstance(item, Endpoint))


def is_applicable(delta: Delta, revision: int) -> bool:
    """Return whether ``delta`` can be applied to a configuration at ``revision``."""
    return delta.base == 0 or delta.base <= revision


def apply_delta(configuration: Configuration, delta: Delta) -> Configuration:
    """Return ``configuration`` updated to the delta's revision.

    Raises
    ------
    InvariantError
        If the delta starts after the configuration's revision, or ends before it.
    """
    if not is_applicable(delta, configuration.revision):
        raise InvariantError(
            f"delta starts at revision {delta.base}, after the configuration's revision "
            f"{configuration.revision}"
        )
    if delta.revision < configuration.revision:
        raise InvariantError(
            f"delta ends at revision {delta.revision}, before the configuration's revision "
            f"{configuration.revision}"
        )
    if delta.base == 0:
        return Configuration(delta.revision, {key_of(item): item for item in delta.puts})
    resources = dict(configuration.resources)
    for key in delta.deletes:
        resources.pop(key, None)
    for item in delta.puts:
        resources[key_of(item)] = item
    return Configuration(delta.revision, resources)


def full_delta(configuration: Configuration, confirmed: bool = False) -> Delta:
    """Return the delta with base 0 that contains all of ``configuration``."""
    return Delta(
        base=0,
        revision=configuration.revision,
        puts=tuple(configuration.resources.values()),
        confirmed=confirmed,
    )


def empty_delta(revision: int, confirmed: bool = False) -> Delta:
    """Return a delta without changes at ``revision``, used as a heartbeat."""
    return Delta(base=revision, revision=revision, confirmed=confirmed)


def merge(deltas: Iterable[Delta]) -> Delta:
    """Merge consecutive deltas into one.

    Raises
    ------
    InvariantError
        If there are no deltas, or one doesn't start where the previous one ended.
    """
    puts: dict[ResourceKey, Resource] = {}
    deletes: dict[ResourceKey, None] = {}
    base = revision = -1
    for delta in deltas:
        if revision not in (-1, delta.base):
            raise InvariantError(
                f"delta starts at revision {delta.base}, but the previous one ends at {revision}"
            )
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

"""Computes and describes the difference between the current and a declared configuration."""

from collections.abc import Mapping

import msgspec

from finchshed.configuration.resources import Endpoint, Resource, ResourceKey


class Declarations(msgspec.Struct, frozen=True):
    """Resources read from declaration files.

    Attributes
    ----------
    explicit_states
        Endpoints whose declaration sets their state. Other endpoints keep their current state, so
        that applying the files doesn't undo an operator's drain.
    """

    resources: dict[ResourceKey, Resource]
    explicit_states: frozenset[ResourceKey] = frozenset()


class Difference(msgspec.Struct, frozen=True):
    """Resources to put and keys to delete."""

    puts: tuple[Resource, ...]
    deletes: tuple[ResourceKey, ...]

    def __bool__(self) -> bool:
        return bool(self.puts or self.deletes)


def difference(in_force: Mapping[ResourceKey, Resource], declared: Declarations) -> Difference:
    """Return the puts and deletes that turn ``in_force`` into ``declared``."""
    puts = []
    for key, resource in declared.resources.items():
        current = in_force.get(key)
        target = resource
        if key not in declared.explicit_states:
            target = _with_current_state(resource, current)
        if target != current:
            puts.append(target)
    deletes = sorted(key for key in in_force if key not in declared.resources)
    return Difference(tuple(puts), tuple(deletes))


def describe_difference(in_force: Mapping[ResourceKey, Resource], changed: Difference) -> list[str]:
    """Return one human-readable line per added or deleted resource and changed field."""
    lines = []
    for resource in changed.puts:
        kind = str(type(resource).__struct_config__.tag)
        current = in_force.get(ResourceKey(kind, resource.name))
        if current is None:
            lines.append(f"+ {kind} {resource.name}")
            continue
        for field in resource.__struct_fields__:
            before, after = getattr(current, field), getattr(resource, field)
            if before != after:
                lines.append(f"~ {kind} {resource.name}: {field}: {before!r} -> {after!r}")
    lines += [f"- {key.kind} {key.name}" for key in changed.deletes]
    return lines


def _with_current_state(resource: Resource, current: Resource | None) -> Resource:
    if isinstance(resource, Endpoint) and isinstance(current, Endpoint):
        return msgspec.structs.replace(resource, state=current.state)
    return resource

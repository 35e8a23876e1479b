"""Configuration as sent to daemons: everything except operators. Pure.

Daemons don't need the digests of operators' tokens, so these are not exposed in daemons' memory and
data folders. A change of operators alone reaches daemons as a revision without changes.
"""

from collections.abc import Iterable

from finchshed.configuration.resources import Operator, Resource, ResourceKey, key_of
from finchshed.configuration.store import CommittedRevision
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration

OPERATOR_KIND = str(Operator.__struct_config__.tag)


def configuration_for_daemons(revision: int, resources: Iterable[Resource]) -> Configuration:
    """Return the full configuration without operators."""
    kept = (resource for resource in resources if not isinstance(resource, Operator))
    return Configuration(revision, {key_of(resource): resource for resource in kept})


def delta_for_daemons(committed: CommittedRevision) -> Delta:
    """Return an accepted change without operators."""
    return Delta(
        base=committed.revision - 1,
        revision=committed.revision,
        puts=tuple(item for item in committed.puts if not isinstance(item, Operator)),
        deletes=tuple(key for key in committed.deletes if not _is_operator(key)),
    )


def _is_operator(key: ResourceKey) -> bool:
    return key.kind == OPERATOR_KIND

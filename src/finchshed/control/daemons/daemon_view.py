"""The part of the configuration that daemons are sent. Pure.

Operators are left out: a daemon has no use for the digests of their tokens, and whoever reads a
daemon's memory or data folder should not find them. A change of operators alone reaches daemons as
a revision that changes nothing.
"""

from collections.abc import Iterable

from finchshed.configuration.resources import Operator, Resource, ResourceKey, key_of
from finchshed.configuration.store import CommittedRevision
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration

OPERATOR_KIND = str(Operator.__struct_config__.tag)


def configuration_for_daemons(revision: int, resources: Iterable[Resource]) -> Configuration:
    """Return the whole configuration as daemons hold it."""
    kept = (resource for resource in resources if not isinstance(resource, Operator))
    return Configuration(revision, {key_of(resource): resource for resource in kept})


def delta_for_daemons(committed: CommittedRevision) -> Delta:
    """Return an accepted change as daemons are sent it."""
    return Delta(
        base=committed.revision - 1,
        revision=committed.revision,
        puts=tuple(item for item in committed.puts if not isinstance(item, Operator)),
        deletes=tuple(key for key in committed.deletes if not _is_operator(key)),
    )


def _is_operator(key: ResourceKey) -> bool:
    return key.kind == OPERATOR_KIND

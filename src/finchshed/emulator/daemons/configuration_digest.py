"""Digest of a configuration, by which histories tell whether two daemons hold the same."""

import msgspec
import xxhash

from finchshed.distribution.snapshot import Configuration


def digest_of_configuration(configuration: Configuration) -> str:
    """Return xxh3-64 (hexadecimal) over all resources, in order of their keys."""
    resources = [configuration.resources[key] for key in sorted(configuration.resources)]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(resources))

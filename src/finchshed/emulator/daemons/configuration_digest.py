"""Digest that identifies a configuration's content in a history."""

import msgspec
import xxhash

from finchshed.distribution.snapshot import Configuration


def digest_of_configuration(configuration: Configuration) -> str:
    """Return the hexadecimal xxh3-64 of all resources, ordered by key."""
    resources = [configuration.resources[key] for key in sorted(configuration.resources)]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(resources))

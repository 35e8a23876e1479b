"""Connections of callers leave descriptors for everything else."""

import resource

from finchshed.runtime.descriptors import (
    MIN_CONNECTIONS,
    descriptor_limit,
    max_auxiliary_connections,
    max_caller_connections,
)

AUXILIARY_ENDPOINTS = 3


def test_callers_and_auxiliary_endpoints_leave_a_quarter_of_the_descriptors() -> None:
    for descriptors in (256, 1_024, 4_100, 1 << 20):
        auxiliary = AUXILIARY_ENDPOINTS * max_auxiliary_connections(descriptors)
        assert max_caller_connections(descriptors) + auxiliary <= 0.75 * descriptors


def test_few_descriptors_still_leave_some_connections() -> None:
    assert max_caller_connections(10) == max_auxiliary_connections(10) == MIN_CONNECTIONS


def test_the_systems_limit_holds_where_none_is_set() -> None:
    assert descriptor_limit(300) == 300
    assert descriptor_limit(0) <= max(1 << 20, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

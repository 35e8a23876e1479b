"""For how long a share of a limit may be used, and how long the leader has to count it.

The times build on each other, so they stand together: a share is safe as long as the leader counts
it for longer than any daemon may use it. docs/design/quotas.md says why; 1,000 seeds of
tests/quota/test_quotas_in_a_failing_world.py hold it.
"""

LEASE_SECONDS = 4.6
"""A daemon uses a share for this long after the report that it was granted for.

Longer than a change of the leader takes, so that daemons are served meanwhile. Chosen, not
measured."""

ANSWER_TIMEOUT_SECONDS = 1.0
"""A daemon takes no answer that comes later than this after its report: what the report told of
shares in use then still holds when the leader reads it. Chosen, not measured."""

LEADER_LEASE_SECONDS = LEASE_SECONDS + ANSWER_TIMEOUT_SECONDS
"""The leader counts a share for this long after the last report that told of it."""

LEADER_OVERLAP_SECONDS = 1.0
"""The leader before may have granted until so long after the new one was chosen (see
:mod:`finchshed.control.daemons.quota_service`)."""

SETTLE_SECONDS = LEADER_LEASE_SECONDS + LEADER_OVERLAP_SECONDS
"""After this time none of the shares is left that were granted before a new leader."""

DAEMON_EXPIRY_SECONDS = 30.0
"""A daemon that has told nothing for this long is no longer noted as one that may hold a share.
With 6 s a day of troubles went on alike: 0.652 to 0.655 (docs/design/compared-policies.md)."""

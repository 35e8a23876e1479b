"""Lease durations for daemons' shares of a tenant limit.

The total of all shares stays within the limit because the leader counts a share for longer than any
daemon may use it. See docs/design/quotas.md for the argument;
tests/quota/test_quotas_in_a_failing_world.py checks the limit under injected faults.
"""

LEASE_SECONDS = 4.6
"""How long a daemon may use a share after sending the report that the share answers.

Outlasts a leader election, so daemons keep serving during one."""

ANSWER_TIMEOUT_SECONDS = 1.0
"""Answers that arrive later than this after the report are discarded.

Bounds how stale the reported shares can be when the leader reads them."""

LEADER_LEASE_SECONDS = LEASE_SECONDS + ANSWER_TIMEOUT_SECONDS
"""How long the leader counts a share after the last report that contained it."""

LEADER_OVERLAP_SECONDS = 1.0
"""How long a deposed leader may keep granting after its successor's election (see
:mod:`finchshed.control.daemons.quota_service`)."""

SETTLE_SECONDS = LEADER_LEASE_SECONDS + LEADER_OVERLAP_SECONDS
"""Time after an election by which every share granted by earlier leaders has expired."""

DAEMON_EXPIRY_SECONDS = LEADER_LEASE_SECONDS + 2.0
"""A daemon that sent no report for this long is removed from the recorded share holders.

Its shares have ended by then; the margin is for a daemon that reported last to a deposed leader,
until it learns of the new one. While a daemon that is gone stays recorded, a new leader waits for
it until :data:`SETTLE_SECONDS` have passed before it grants anything."""

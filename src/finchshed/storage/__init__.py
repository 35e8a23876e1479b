"""Durable state of a control node: journal, snapshots and disk incarnation."""

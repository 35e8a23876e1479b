"""Durable state of a control node: journal, snapshots, disk incarnation."""

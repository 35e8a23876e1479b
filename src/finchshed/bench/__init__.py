"""Measurements on one machine: a hop's latency in pairs, the decisions, the replicated log."""

"""Concurrency limit derived from refusals and measured latency."""

"""Concurrency limit learnt from measured latency."""

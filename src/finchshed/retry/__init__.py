"""Retry budget per root request, retry token bucket per service, and retry policy."""

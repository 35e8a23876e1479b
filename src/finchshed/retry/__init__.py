"""Retry budget of a root request, service-wide retry bucket, and when to retry."""

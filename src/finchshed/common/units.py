"""Time units: seconds within the process, milliseconds in messages and headers."""

MILLISECONDS = 1000.0
"""Milliseconds in a second."""

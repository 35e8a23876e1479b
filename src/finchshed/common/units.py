"""Factors between units of time: inside, times are seconds; lines and headers have milliseconds."""

MILLISECONDS = 1000.0
"""Milliseconds in a second."""

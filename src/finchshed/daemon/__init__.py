"""The daemon beside each back end, and at the edge in front of outside callers."""

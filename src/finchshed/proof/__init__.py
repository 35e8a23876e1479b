"""Means of proof: recorded histories, checkers of the invariants, and campaigns over seeds."""

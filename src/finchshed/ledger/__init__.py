"""Ledger that executes non-repeatable requests at most once."""

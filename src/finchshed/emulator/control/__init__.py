"""Emulated control nodes, which run the production log, state machine and hub."""

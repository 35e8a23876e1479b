"""Replay of recorded traces against expected outcomes.

Owns the formats of traces and outcomes, and the checks of a history against them. Relies on the
emulator to play a trace, and on ``proof`` for the invariants.
"""

"""Replay of recorded traces against stated outcomes.

Owns the forms of traces and outcomes and the judge. Relies on the emulator to play a trace, and on
``proof`` for the properties that must always hold.
"""

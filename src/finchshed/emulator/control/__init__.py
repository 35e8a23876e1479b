"""Emulated control nodes: the production log, state machine and hub over the emulator's network."""

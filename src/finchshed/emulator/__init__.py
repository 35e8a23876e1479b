"""Discrete-event emulator of whole deployments, running the production decision modules.

Simulates time, links, back ends, callers and processes (``Simulated...``), and records events in
the schema of ``proof.history``. Scope and limits of the model: docs/design/emulation.md.
"""

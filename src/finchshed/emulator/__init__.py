"""Discrete-event model of whole deployments, running the production decision modules.

Owns simulated time, links, back ends, callers and the models of processes (``Simulated...``).
Relies on the product for every decision and on ``proof.history`` for the events that it records.
What it stands for and leaves out: docs/design/emulation.md.
"""

"""Means of proof: recorded histories, checkers of what must hold, a simulated consensus group.

Owns the schema of histories. Relies on nothing that runs a deployment: the emulator and the fleet
write histories, and ``campaign`` draws the faults.
"""

"""Proof of the replicated log under failure, in deterministic simulation.

A group of control nodes runs the production code (:class:`~finchshed.consensus.node.RaftNode`,
:class:`~finchshed.consensus.effect_runner.EffectRunner`, :mod:`finchshed.storage`) on simulated
disks, clocks and links, all driven by one seed. Faults are injected, clients propose
and read meanwhile, and checkers look at every step and at the recorded history. The approach is
that of deterministic simulation testing (Zhou et al., "FoundationDB", SIGMOD '21).
"""

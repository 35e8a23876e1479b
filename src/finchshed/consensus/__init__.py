"""The replicated log of the control nodes.

Raft as published (Ongaro and Ousterhout, USENIX ATC '14; Ongaro's dissertation, Stanford 2014),
with pre-vote, check-quorum, read-index reads, learners, single-server membership changes and
leadership transfer. :class:`finchshed.consensus.node.RaftNode` is a pure state machine: events and
a time go in, effects come out.
:class:`finchshed.consensus.effect_runner.EffectRunner` carries the effects out.
"""

"""The replicated log of the control nodes.

Implements Raft (Ongaro and Ousterhout, USENIX ATC '14; Ongaro's dissertation, Stanford 2014) with
pre-vote, check-quorum, read-index reads, learners, single-server membership changes and leadership
transfer. :class:`finchshed.consensus.node.RaftNode` is a pure state machine that maps events and a
time to effects; :class:`finchshed.consensus.effect_runner.EffectRunner` executes the effects.
"""

"""Raft replication of the control group: storage, peer connections, leader forwarding."""

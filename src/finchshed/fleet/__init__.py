"""Runs whole deployments as separate processes on one machine, for demos and fault tests."""

"""Runs whole deployments as separate processes on one machine, for demonstration and proof."""

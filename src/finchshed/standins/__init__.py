"""Simulated backends, callers, operators and platform for testing whole deployments."""

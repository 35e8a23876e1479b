"""Discrete-event model of whole deployments, running the production decision modules."""

"""Requests that crash the back ends that run them: found, told on, and kept away."""

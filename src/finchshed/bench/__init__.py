"""Experiments: parameters, seeds and baselines in a file; measures as JSON lines."""

"""Admission beside a back end: rank, bounded priority queue, threshold told upstream."""

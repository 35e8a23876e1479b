"""Admission beside a back end: rank, bounded priority queue, threshold that callers refuse by."""

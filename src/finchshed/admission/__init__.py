"""Admission control beside a back end: ranks, bounded priority queue, admission threshold."""

"""Reads the structured logs of several processes and shows one request's trace through them."""

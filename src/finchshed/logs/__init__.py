"""Reads the structured logs of several processes and shows one request's way through them."""

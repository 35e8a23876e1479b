"""Endpoint selection and the caller's side of a call."""

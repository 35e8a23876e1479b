"""Mutual TLS between the processes of a deployment, with keys and certificates read from files.

See docs/design/transport-security.md.
"""

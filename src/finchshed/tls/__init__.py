"""Mutual TLS between the processes of a deployment, with keys and certificates from files.

See docs/design/transport-security.md.
"""

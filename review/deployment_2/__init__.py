"""Stand-ins of the second review: a small deployment of the programs on loopback addresses.

Only the standard library is used. The programs are started with the commands of the deploy file
and are told nothing but what DEPLOY.md names. Clients, servers, operator and platform follow
PROTOCOL.md.
"""

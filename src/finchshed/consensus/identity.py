"""Identity of a member of the control group."""

import msgspec


class NodeIdentity(msgspec.Struct, frozen=True, order=True):
    """A node name and the incarnation of its disk.

    Votes and acknowledgements are only valid while the disk that stores them exists, so a node
    that lost its disk returns as a new identity. As a receiver, an empty incarnation means
    whichever incarnation currently has the name.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        """Return ``name#incarnation``, the form stored in a vote."""
        return f"{self.name}#{self.incarnation}"

"""Who a member of the control group is."""

import msgspec


class NodeIdentity(msgspec.Struct, frozen=True, order=True):
    """A node's name together with the incarnation of its disk.

    Votes and acknowledgements are promises kept on a disk, so they belong to the disk: a node
    that lost its disk comes back as somebody else, who promised nothing. An empty incarnation
    addresses whoever has the name now.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        """Return the identity as one word, as stored in a vote."""
        return f"{self.name}#{self.incarnation}"

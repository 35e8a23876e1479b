"""Identities of the requests that one connection to the back end has carried.

An answer proves by its identity which request it belongs to, but not which sending of that request.
So no connection carries two requests of one identity.
"""

MAX_REQUESTS = 1000
"""Requests after which a connection is closed, which bounds what is remembered for it."""


class CarriedRequests:
    """The requests of one connection, from its opening on.

    Only hashes are kept: two identities with the same hash count as one, which costs a connection
    and nothing else.
    """

    def __init__(self) -> None:
        self._hashes: set[int] = set()
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Whether the connection must carry no further request."""
        return self.count >= MAX_REQUESTS

    def add(self, identity: str) -> None:
        """Add a request that is sent; an empty ``identity`` stands for those that have none."""
        self.count += 1
        self._hashes.add(hash(identity))

    def has(self, identity: str) -> bool:
        """Return whether a request of ``identity`` was sent."""
        return hash(identity) in self._hashes

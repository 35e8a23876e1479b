"""Identity of one run of a back end's process."""

import msgspec


class InstanceRun(msgspec.Struct, frozen=True, gc=False):
    """One run of a back end; a process may start again under the instance that it had.

    Attributes
    ----------
    instance
        Name that the back end gives itself; empty if it has none.
    born_ms
        Start of the process as it states, Unix milliseconds; 0 if unknown.
    """

    instance: str = ""
    born_ms: int = 0

    def is_same(self, other: "InstanceRun") -> bool:
        """Return whether both may be one run: an unknown start matches any."""
        if self.instance != other.instance:
            return False
        return self.born_ms == other.born_ms or not self.born_ms or not other.born_ms

    @property
    def label(self) -> str:
        """Text that differs between runs, as far as their starts are known."""
        return f"{self.instance}@{self.born_ms}" if self.born_ms else self.instance

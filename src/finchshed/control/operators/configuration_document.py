"""The configuration as one document of the operator's: replaced whole, read back as it was given.

Built on the replicated log: a document is one change of it, named by its content, so that the same
document offered again, to any node and after any failure, gets the first answer.
"""

import asyncio
import hashlib

import msgspec

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.configuration.resources import Resource
from finchshed.configuration.store import BOOTSTRAP_OPERATOR
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.commands import ApplyChange
from finchshed.control.state.machine import ControlStateMachine


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """A whole configuration as an operator offers it.

    ``version`` is the operator's number for it, ``base_version`` that of the one it was made from,
    0 for none; ``source`` is what is read back.
    """

    version: int
    base_version: int
    resources: tuple[Resource, ...]
    source: str


class Unavailable(msgspec.Struct, frozen=True):
    """No quorum answered in time. An offered document may have been accepted all the same."""

    detail: str


class ConfigurationDocuments:
    """Replaces and reads the configuration.

    Parameters
    ----------
    timeout_seconds
        Longest wait for a quorum.
    """

    def __init__(
        self, machine: ControlStateMachine, log: ReplicatedLog, timeout_seconds: float
    ) -> None:
        self._machine = machine
        self._log = log
        self._timeout = timeout_seconds

    async def replace(
        self, document: ConfigurationDocument
    ) -> Accepted | Conflict | Invalid | Unavailable:
        """Offer a document; the same one offered again gets the first answer."""
        change = Change(
            change_id=_identity_of(document),
            operator=BOOTSTRAP_OPERATOR,
            expected_revision=0,
            puts=document.resources,
            is_whole=True,
            version=document.version,
            base_version=document.base_version,
            source=document.source,
        )
        try:
            async with asyncio.timeout(self._timeout):
                result = await self._log.propose(ApplyChange(change))
        except (ControlUnavailableError, TimeoutError) as error:
            return Unavailable(str(error) or "no quorum answered in time")
        assert isinstance(result, Accepted | Conflict | Invalid), "no other result"
        return result

    async def read(self) -> ConfigurationDocument | Unavailable:
        """Return the latest document, without its resources; version 0: none was accepted."""
        try:
            async with asyncio.timeout(self._timeout):
                await self._log.read_barrier()
        except (ControlUnavailableError, TimeoutError) as error:
            return Unavailable(str(error) or "no quorum answered in time")
        store = self._machine.store
        return ConfigurationDocument(store.version, 0, (), store.source)


def _identity_of(document: ConfigurationDocument) -> str:
    text = f"{document.version}/{document.base_version}/{document.source}"
    return hashlib.sha256(text.encode()).hexdigest()

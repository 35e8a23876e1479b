"""Replaces and reads the configuration as a single document.

A document is applied as one change whose identifier is a hash of its content. Submitting the same
document again, to any node and after any failure, returns the first result.
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
    """Complete configuration submitted by an operator.

    ``version`` is the operator's version number, ``base_version`` that of the document it was
    derived from or 0; ``source`` is the text that is returned when the document is read.
    """

    version: int
    base_version: int
    resources: tuple[Resource, ...]
    source: str


class Unavailable(msgspec.Struct, frozen=True):
    """No quorum answered in time. A submitted document may still be accepted."""

    detail: str


class ConfigurationDocuments:
    """Replaces and reads the configuration document.

    Parameters
    ----------
    timeout_seconds
        Timeout of a request.
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
        """Submit a document; submitting it again returns the first result."""
        change = Change(
            change_id=_change_id_of(document),
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
        assert isinstance(result, Accepted | Conflict | Invalid), (
            f"unexpected result of a change: {result}"
        )
        return result

    async def read(self) -> ConfigurationDocument | Unavailable:
        """Return the latest document without its resources; version 0 if there is none."""
        try:
            async with asyncio.timeout(self._timeout):
                await self._log.read_barrier()
        except (ControlUnavailableError, TimeoutError) as error:
            return Unavailable(str(error) or "no quorum answered in time")
        store = self._machine.store
        return ConfigurationDocument(store.version, 0, (), store.source)


def _change_id_of(document: ConfigurationDocument) -> str:
    text = f"{document.version}/{document.base_version}/{document.source}"
    return hashlib.sha256(text.encode()).hexdigest()

"""Publishes answers and faults of the back end, as observed by calls.

Decouples the serving side from its subscribers, which follow the state of the back end.
"""

from collections.abc import Callable

import msgspec

from finchshed.daemon.backend.client import BackendAnswer, BackendResult
from finchshed.directory.instance_run import InstanceRun


class AnswerEvent(msgspec.Struct, frozen=True, gc=False):
    """An answer of ``run``, which the call was sent to at ``sent_at``, in monotonic seconds.

    ``request`` identifies the call.
    """

    answer: BackendAnswer
    run: InstanceRun
    request: str
    sent_at: float


class BackendEvents:
    """Calls subscribers in the order in which they subscribed."""

    def __init__(self) -> None:
        self._on_answer: list[Callable[[AnswerEvent], None]] = []
        self._on_fault: list[Callable[[InstanceRun, BackendResult], None]] = []

    def subscribe_answers(self, on_answer: Callable[[AnswerEvent], None]) -> None:
        """Call ``on_answer`` with each answer to a call."""
        self._on_answer.append(on_answer)

    def subscribe_faults(self, on_fault: Callable[[InstanceRun, BackendResult], None]) -> None:
        """Call ``on_fault`` with the intended run and the result of each faulty call.

        A fault is a result without a complete answer, or an answer from another instance.
        """
        self._on_fault.append(on_fault)

    def publish_answer(self, event: AnswerEvent) -> None:
        """Notify subscribers of an answer."""
        for on_answer in self._on_answer:
            on_answer(event)

    def publish_fault(self, run: InstanceRun, result: BackendResult) -> None:
        """Notify subscribers of a fault."""
        for on_fault in self._on_fault:
            on_fault(run, result)

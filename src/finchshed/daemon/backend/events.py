"""What calls show of the back end, passed on to those who follow its state.

The serving side sees answers and faults as it runs calls; health monitor and registration follow
them. The list of followers stands between, so that serving is built without knowing them.
"""

from collections.abc import Callable

from finchshed.daemon.backend.client import BackendAnswer, BackendResult


class BackendEvents:
    """Followers are called in the order in which they subscribed."""

    def __init__(self) -> None:
        self._on_answer: list[Callable[[BackendAnswer], None]] = []
        self._on_fault: list[Callable[[str, BackendResult], None]] = []

    def subscribe_answers(self, on_answer: Callable[[BackendAnswer], None]) -> None:
        """Have ``on_answer`` called with each answer to a call."""
        self._on_answer.append(on_answer)

    def subscribe_faults(self, on_fault: Callable[[str, BackendResult], None]) -> None:
        """Have ``on_fault`` called with the instance that was meant and what went wrong there.

        That is a result without a whole answer, or the answer of another instance.
        """
        self._on_fault.append(on_fault)

    def publish_answer(self, answer: BackendAnswer) -> None:
        """Pass an answer on."""
        for on_answer in self._on_answer:
            on_answer(answer)

    def publish_fault(self, instance: str, result: BackendResult) -> None:
        """Pass a fault on."""
        for on_fault in self._on_fault:
            on_fault(instance, result)

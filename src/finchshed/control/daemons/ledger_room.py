"""Whether this process has memory for more of the ledger.

Checked before an operation enters the log, by the node that proposes it, since the state machine
must decide alike on nodes with different memory.
"""

from finchshed.common.outcomes import Answered
from finchshed.control.memory import (
    LEDGER_ANSWER_COPIES,
    LEDGER_ANSWERS_DIVISOR,
    LEDGER_HEADER_BYTES,
    LEDGER_KEY_BYTES,
)
from finchshed.ledger.ledger import (
    DEFAULT_MAX_ANSWER_BYTES,
    Ledger,
    answer_bytes,
    header_count,
)


class LedgerRoom:
    """Bounds the ledger by the memory of this process.

    Parameters
    ----------
    max_bytes
        Memory for keys and answers.
    """

    def __init__(self, ledger: Ledger, max_bytes: int) -> None:
        self._ledger = ledger
        self._max_bytes = max_bytes
        self._max_bytes_of_answers = max_bytes // LEDGER_ANSWERS_DIVISOR

    def accepts_key(self, key: str) -> bool:
        """Return whether ``key`` is known or there is memory for it."""
        if key in self._ledger:
            return True
        return self._bytes_of_keys(1) + self._bytes_of_answers() <= self._max_bytes

    def accepts_answer(self, answer: Answered) -> bool:
        """Return whether ``answer`` can be stored."""
        size = answer_bytes(answer)
        if size > DEFAULT_MAX_ANSWER_BYTES:
            return False
        answers = self._bytes_of_answers() + _memory_of_answers(size, header_count(answer))
        if answers > self._max_bytes_of_answers:
            return False
        return self._bytes_of_keys() + answers <= self._max_bytes

    def _bytes_of_keys(self, new: int = 0) -> int:
        return (len(self._ledger) + new) * LEDGER_KEY_BYTES

    def _bytes_of_answers(self) -> int:
        return _memory_of_answers(self._ledger.total_answer_bytes, self._ledger.total_headers)


def _memory_of_answers(size: int, headers: int) -> int:
    """Return the memory of answers with ``size`` bytes and ``headers`` header fields in all."""
    return LEDGER_ANSWER_COPIES * size + LEDGER_HEADER_BYTES * headers

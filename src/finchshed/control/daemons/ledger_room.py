"""Whether this process has memory for more of the ledger.

Checked before an operation enters the log, by the node that proposes it, since the state machine
must decide alike on nodes with different memory.
"""

from finchshed.common.outcomes import Answered
from finchshed.control.memory import (
    LEDGER_ANSWER_COPIES,
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

    def accepts_key(self, key: str) -> bool:
        """Return whether ``key`` is known or there is memory for it."""
        return key in self._ledger or self._used_bytes() + LEDGER_KEY_BYTES <= self._max_bytes

    def accepts_answer(self, answer: Answered) -> bool:
        """Return whether ``answer`` can be stored."""
        size = answer_bytes(answer)
        if size > DEFAULT_MAX_ANSWER_BYTES:
            return False
        needed = _memory_of_answers(size, header_count(answer))
        return self._used_bytes() + needed <= self._max_bytes

    def _used_bytes(self) -> int:
        ledger = self._ledger
        answers = _memory_of_answers(ledger.total_answer_bytes, ledger.total_headers)
        return len(ledger) * LEDGER_KEY_BYTES + answers


def _memory_of_answers(size: int, headers: int) -> int:
    """Return the memory of answers with ``size`` bytes and ``headers`` header fields in all."""
    return LEDGER_ANSWER_COPIES * size + LEDGER_HEADER_BYTES * headers

"""Whether this process has memory for more of the ledger.

Checked before an operation enters the log, by the node that proposes it, since the state machine
must decide alike on nodes with different memory.
"""

from finchshed.common.outcomes import Answered
from finchshed.control.memory import LEDGER_ANSWER_COPIES, LEDGER_KEY_BYTES
from finchshed.ledger.ledger import DEFAULT_MAX_ANSWER_BYTES, Ledger, answer_bytes


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
        return self._used_bytes() + LEDGER_ANSWER_COPIES * size <= self._max_bytes

    def _used_bytes(self) -> int:
        answers = LEDGER_ANSWER_COPIES * self._ledger.total_answer_bytes
        return len(self._ledger) * LEDGER_KEY_BYTES + answers

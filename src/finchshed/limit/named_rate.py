"""Rate limit in force at one back end, learned from its answers and from callers. No I/O.

Answers are ordered by the arrival of their heads, since a long body may complete after the answer
to a later request. The end of the limit takes an answer to a request that was sent after the limit
was last named: any other one may have been made before that. A caller's knowledge counts only until
the back end itself has answered: it carries the limit over a restart of the daemon beside the back
end.
"""

from finchshed.limit.rate_notice import RateLimitNotice


class NamedRateLimit:
    """The limit that the current run of a back end names.

    Attributes
    ----------
    requests_per_second
        The limit in force, or None.
    """

    def __init__(self) -> None:
        self.requests_per_second: float | None = None
        self._answered_at = float("-inf")
        self._named_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether the back end has answered or a caller has told a limit."""
        return self._has_answered or self.requests_per_second is not None

    @property
    def _has_answered(self) -> bool:
        return self._answered_at > float("-inf")

    def on_answer(self, notice: RateLimitNotice, sent_at: float, received_at: float) -> bool:
        """Apply an answer; return whether the limit changed.

        An unreadable notice changes nothing.

        Parameters
        ----------
        sent_at, received_at
            When the request was sent and when the head of its answer arrived, in monotonic seconds.
        """
        if notice.unreadable or received_at < self._answered_at:
            return False
        self._answered_at = received_at
        if notice.requests_per_second is not None:
            self._named_at = received_at
        elif sent_at < self._named_at:
            return False
        return self._set(notice.requests_per_second)

    def on_caller(self, requests_per_second: float) -> bool:
        """Apply the limit that a caller was told of; return whether the limit changed."""
        known = self.requests_per_second
        if self._has_answered or (known is not None and known <= requests_per_second):
            return False
        return self._set(requests_per_second)

    def on_new_run(self) -> bool:
        """Forget the limit of an earlier run; return whether there was one."""
        self._answered_at = float("-inf")
        self._named_at = float("-inf")
        return self._set(None)

    def _set(self, requests_per_second: float | None) -> bool:
        if requests_per_second == self.requests_per_second:
            return False
        self.requests_per_second = requests_per_second
        return True

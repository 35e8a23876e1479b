"""How long answers of each route have taken lately at the longest. No I/O."""

DECAY = 0.995
"""Part of the longest duration that is left after each further answer."""

MAX_ROUTES = 4_096
"""Routes that are remembered; the one added first is forgotten first."""


class RouteDurations:
    """Longest recent durations by route name, seconds."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def add(self, route: str, seconds: float) -> None:
        """Add how long an answer took."""
        longest = self._longest.get(route)
        if longest is not None:
            self._longest[route] = max(seconds, DECAY * longest)
            return
        if len(self._longest) >= MAX_ROUTES:
            del self._longest[next(iter(self._longest))]
        self._longest[route] = seconds

    def recent_maximum(self, route: str) -> float:
        """Return the longest recent duration, seconds; 0 if none is known."""
        return self._longest.get(route, 0.0)

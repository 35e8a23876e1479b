"""Running time of back ends that went into requests which their callers did not get whole."""

from finchshed.proof.history import History, RunBegan, RunEnded
from finchshed.replay.judge import request_records


def wasted_fraction(history: History) -> float:
    """Return the wasted part, 0 to 1, of all running time of a history."""
    records = request_records(history)
    began: dict[str, RunBegan] = {}
    total = 0.0
    wasted = 0.0
    for event in history.events:
        if isinstance(event, RunBegan):
            began[event.run] = event
        elif isinstance(event, RunEnded):
            start = began.pop(event.run)
            seconds = event.time - start.time
            total += seconds
            record = records.get(start.root)
            if record is None or record.result != "answered":
                wasted += seconds
    return wasted / total if total else 0.0

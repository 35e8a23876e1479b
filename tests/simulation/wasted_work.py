"""Running time that back ends spent on requests that were not answered."""

from finchshed.proof.history import RunBegan, RunEnded
from finchshed.proof.history_file import History
from finchshed.replay.outcome_checks import request_records


def wasted_fraction(history: History) -> float:
    """Return the fraction of the running time in a history that was wasted."""
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

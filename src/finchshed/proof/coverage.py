"""How much of a history the checkers had to judge, so that a pass can be seen not to be empty."""

from collections import Counter
from collections.abc import Iterable

from finchshed.proof.history import (
    Admission,
    AttemptSent,
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    EndpointLeaving,
    Event,
    Fault,
    PlannedStop,
    RevisionInForce,
    RunBegan,
)


def coverage_of(events: Iterable[Event]) -> Counter[str]:
    """Return counts of what the checkers judge."""
    counts: Counter[str] = Counter()
    for event in events:
        match event:
            case CallBegan():
                counts["outside calls" if not event.parent else "calls on"] += 1
            case CallEnded():
                counts[_name_of(event.result)] += 1
            case RunBegan():
                counts["runs"] += 1
                counts["runs with a key"] += bool(event.key)
                counts["runs in a session"] += bool(event.session)
            case AttemptSent():
                counts["attempts"] += 1
            case Admission():
                counts["sheds"] += not event.admitted
            case EndpointLeaving():
                counts["leaving back ends"] += 1
            case PlannedStop():
                counts["planned stops"] += 1
            case ChangeAnswered():
                counts["changes accepted"] += event.result == "accepted"
                counts["changes in conflict"] += event.result == "conflict"
            case RevisionInForce():
                counts["revisions in force"] += 1
            case Fault():
                counts["faults"] += not event.ended
    return counts


def _name_of(result: CallResult) -> str:
    return f"calls {result.value}"

"""The most whole requests a deployment can answer, given slots and service times alone.

Requests are admitted greedily in the declared order of importance, each kind up to what is offered
or up to the first service whose slots are used up. This is the limit under strict priority: a
scheme could answer more requests in sum only by preferring cheap ones over important ones.
"""

from finchshed.common.importance import Importance
from finchshed.emulator.deployment import Deployment, Hop, RequestKind


def slot_seconds(hop: Hop, slow: dict[str, float]) -> dict[str, float]:
    """Return slot seconds that one request takes at each service, without queueing.

    ``slow`` gives factors by which services are slowed.
    """
    used: dict[str, float] = {}
    _add_slot_seconds(hop, slow, used)
    return used


def _add_slot_seconds(hop: Hop, slow: dict[str, float], used: dict[str, float]) -> float:
    below = [_add_slot_seconds(call, slow, used) for call in hop.calls]
    held = hop.seconds * slow.get(hop.service, 1.0) + max(below, default=0.0)
    used[hop.service] = used.get(hop.service, 0.0) + held
    return held


def limits_by_kind(
    deployment: Deployment, offered: dict[str, float], slow: dict[str, float]
) -> dict[str, float]:
    """Return for each kind the requests per second that can be answered.

    Parameters
    ----------
    offered
        Root requests per second, by kind.
    slow
        Factors by which services are slowed.
    """
    free = {
        service.name: float(service.back_ends * service.slots) for service in deployment.services
    }
    result: dict[str, float] = {}
    for importance in sorted(Importance, reverse=True):
        kinds = [kind for kind in deployment.kinds if kind.importance == importance]
        for kind in kinds:
            rate = min(offered.get(kind.name, 0.0), _fitting(kind, slow, free))
            for service, seconds in slot_seconds(kind.hop, slow).items():
                free[service] -= rate * seconds
            result[kind.name] = rate
    return result


def _fitting(kind: RequestKind, slow: dict[str, float], free: dict[str, float]) -> float:
    needs = slot_seconds(kind.hop, slow)
    return min(max(free[service], 0.0) / seconds for service, seconds in needs.items() if seconds)

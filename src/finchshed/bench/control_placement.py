"""``finchshed bench placement``: what a layout of control machines survives, by enumeration. Pure.

Every set of machines that one fault of a kind takes away is tried. A layout *goes on* if a
majority of its voters is left. With standbys a lost voter's place is taken after a while, so of
two faults in a row the second is tried against the voters after the first one's replacement. *May
lose* says whether a change may be committed on machines of the fault alone, so that it is lost
with their disks.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.consensus.membership import quorum_size

Machines = frozenset[str]


class Machine(msgspec.Struct, frozen=True, order=True):
    """One machine set aside for control."""

    name: str
    region: str
    zone: str


class Layout(msgspec.Struct, frozen=True):
    """Which machines vote; the others are standbys."""

    title: str
    voters: tuple[str, ...]


class Outcome(msgspec.Struct, frozen=True):
    """How many of the faults of one kind a layout goes on after, and may lose a change in."""

    kind: str
    cases: int
    go_on: int
    may_lose: int


MACHINES = (
    Machine("a1", "a", "a-1"),
    Machine("a2", "a", "a-2"),
    Machine("b1", "b", "b-1"),
    Machine("b2", "b", "b-2"),
    Machine("c1", "c", "c-1"),
    Machine("c2", "c", "c-2"),
)
"""Six machines, two in each of three regions, each in a zone of its own."""

LAYOUTS = (
    Layout("6 voters", ("a1", "a2", "b1", "b2", "c1", "c2")),
    Layout("5 voters, 1 standby", ("a1", "a2", "b1", "b2", "c1")),
    Layout("3 voters, 3 standbys", ("a1", "b1", "c1")),
    Layout("3 voters in one region", ("a1", "a2", "b1")),
)


def faults(machines: Sequence[Machine] = MACHINES) -> dict[str, list[Machines]]:
    """Return the machines that each fault takes away, by kind of fault."""
    names = [machine.name for machine in machines]
    regions = _groups(machines, lambda machine: machine.region)
    pairs = [frozenset(pair) for pair in itertools.combinations(names, 2)]
    return {
        "a machine or its zone": [frozenset({name}) for name in names],
        "two machines at once": pairs,
        "a region": regions,
        "a region and a machine": [
            region | {name} for region in regions for name in names if name not in region
        ],
    }


def goes_on(voters: Iterable[str], lost: Machines) -> bool:
    """Whether a majority of ``voters`` is left."""
    voting = set(voters)
    return len(voting - lost) >= quorum_size(len(voting))


def may_lose(voters: Iterable[str], lost: Machines) -> bool:
    """Whether ``lost`` alone may hold something that is committed."""
    voting = set(voters)
    return len(voting & lost) >= quorum_size(len(voting))


def after_replacement(
    voters: Sequence[str], machines: Sequence[Machine], lost: Machines
) -> set[str]:
    """Return who votes once standbys that are left have taken the places of lost voters."""
    voting = set(voters)
    standbys = sorted({machine.name for machine in machines} - voting - lost)
    for name in sorted(voting & lost):
        if standbys:
            voting.remove(name)
            voting.add(standbys.pop(0))
    return voting


def outcomes(layout: Layout, machines: Sequence[Machine] = MACHINES) -> list[Outcome]:
    """Return what becomes of a layout in every fault of every kind."""
    found = [
        _outcome(kind, [(layout.voters, lost) for lost in cases])
        for kind, cases in faults(machines).items()
    ]
    for kind, first_cases in list(faults(machines).items())[:3]:
        second = list(_second_faults(layout, machines, first_cases))
        found.append(_outcome(f"{kind}, then a machine", second))
    return found


def placement() -> int:
    """Print what each layout of six control machines in three regions survives."""
    print("\n".join(lines()))
    return ExitCode.OK


def lines() -> list[str]:
    """Return the table of all layouts (Markdown)."""
    columns = [outcomes(layout) for layout in LAYOUTS]
    head = ["fault (number of cases)", *(layout.title for layout in LAYOUTS)]
    rows = [
        [f"{row[0].kind} ({row[0].cases})", *(_cell(outcome) for outcome in row)]
        for row in zip(*columns, strict=True)
    ]
    return ["| " + " | ".join(cells) + " |" for cells in [head, ["---"] * len(head), *rows]]


def _cell(outcome: Outcome) -> str:
    return f"goes on in {outcome.go_on}, may lose in {outcome.may_lose}"


def _outcome(kind: str, cases: list[tuple[Sequence[str], Machines]]) -> Outcome:
    return Outcome(
        kind=kind,
        cases=len(cases),
        go_on=sum(goes_on(voters, lost) for voters, lost in cases),
        may_lose=sum(may_lose(voters, lost) for voters, lost in cases),
    )


def _second_faults(
    layout: Layout, machines: Sequence[Machine], first_cases: list[Machines]
) -> Iterator[tuple[Sequence[str], Machines]]:
    """Yield voters and lost machines of a second fault after the first was replaced.

    Where the first fault ended the quorum no standby could be promoted: the voters stay.
    """
    for first in first_cases:
        voters: Sequence[str] = layout.voters
        if goes_on(voters, first):
            voters = sorted(after_replacement(voters, machines, first))
        for machine in machines:
            if machine.name not in first:
                yield voters, first | {machine.name}


def _groups(machines: Sequence[Machine], key: Callable[[Machine], str]) -> list[Machines]:
    ordered = sorted(machines, key=key)
    return [frozenset(m.name for m in group) for _, group in itertools.groupby(ordered, key)]

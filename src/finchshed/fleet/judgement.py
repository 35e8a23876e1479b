"""Judges a fault run: the common checkers on its history, and what only a fleet can show.

Owns which checks a run gets and over how many cases each judged. Relies on the records of the
stand-ins and on what the run saw before its processes were stopped.
"""

from collections.abc import Iterable

import msgspec

from finchshed.fleet import editions, final_configuration
from finchshed.fleet.acts import Edition
from finchshed.fleet.coverage import CASES
from finchshed.fleet.expectations import unmet
from finchshed.fleet.final_configuration import FinalConfiguration
from finchshed.fleet.histories import Records
from finchshed.fleet.scenario import FaultScenario
from finchshed.fleet.summary import rows_of, wrong_answers
from finchshed.fleet.verdict import Check
from finchshed.proof.checks import CHECKS, violations_of
from finchshed.proof.checks.index import Index
from finchshed.proof.history import History
from finchshed.standins.records import CallerOutcome


class RunFindings(msgspec.Struct, kw_only=True):
    """What a run saw of its processes while they ran.

    Attributes
    ----------
    processes, production_processes
        How many were started, and how many of them are the system's own.
    first_revision
        Revision of the declarations, in force before the operators began.
    final
        The configuration at the end; None if no control node told it.
    behind
        A line for each daemon that didn't act on it in time.
    ended_unasked
        Names of processes that ended without being asked to.
    process_table_problems
        What a production process had and may not have: a child, io_uring or shared memory.
    """

    processes: int = 0
    production_processes: int = 0
    callers_ended_well: bool = False
    first_revision: int = 0
    final: FinalConfiguration | None = None
    behind: list[str] = msgspec.field(default_factory=list)
    ended_unasked: list[str] = msgspec.field(default_factory=list)
    process_table_problems: list[str] = msgspec.field(default_factory=list)


def checks_of(
    scenario: FaultScenario,
    history: History,
    records: Records,
    findings: RunFindings,
    failed_acts: list[str],
) -> list[Check]:
    """Return all checks of a run.

    Parameters
    ----------
    failed_acts
        A line for each act of the fault script that failed, and for what must not have happened.
    """
    rows = rows_of(records.callers)
    stated = unmet(scenario.expect, rows)
    return [
        *_invariants(history),
        _own_answers(records),
        _one_edition(scenario, records),
        _processes_and_acts(findings, failed_acts),
        Check(
            "no children, io_uring or shared memory",
            findings.production_processes,
            findings.process_table_problems,
        ),
        _final_configuration(records, findings),
        Check("outcomes the scenario states", len(scenario.expect), stated),
    ]


def _invariants(history: History) -> Iterable[Check]:
    index = Index(history)
    for name in CHECKS:
        problems = [str(violation) for violation in violations_of(history, [name])]
        yield Check(name, CASES[name](index), problems)


def _own_answers(records: Records) -> Check:
    answered = sum(
        attempt.outcome is CallerOutcome.ANSWERED
        for record in records.callers
        for attempt in record.attempts
    )
    return Check("answers whole and the caller's own", answered, wrong_answers(records.callers))


def _one_edition(scenario: FaultScenario, records: Records) -> Check:
    published = any(isinstance(act, Edition) for act in scenario.act)
    return Check(
        editions.NAME,
        sum(editions.met_a_new_one(record) for record in records.callers),
        editions.problems_of(records.callers, published=published),
    )


def _processes_and_acts(findings: RunFindings, failed_acts: list[str]) -> Check:
    lost = [] if findings.callers_ended_well else ["a caller process didn't end well"]
    ended = [f"ended unasked: {name}" for name in findings.ended_unasked]
    return Check("processes and acts", findings.processes, [*lost, *ended, *failed_acts])


def _final_configuration(records: Records, findings: RunFindings) -> Check:
    problems = final_configuration.problems_of(
        findings.final, records.operators, findings.first_revision
    )
    return Check("configuration at the end", len(records.operators), [*problems, *findings.behind])

"""Checks of a fault run: the history checkers, and checks that need real processes.

Uses the records of the simulated processes and the findings made while the processes ran.
"""

from collections.abc import Iterable

import msgspec

from finchshed.fleet import editions, final_configuration
from finchshed.fleet.actions import Edition
from finchshed.fleet.case_counts import CASE_COUNTERS
from finchshed.fleet.expectations import find_unmet_expectations
from finchshed.fleet.final_configuration import FinalConfiguration
from finchshed.fleet.histories import RunRecords
from finchshed.fleet.scenario import FaultScenario
from finchshed.fleet.summary import summarize_records, wrong_answers
from finchshed.fleet.verdict import Check
from finchshed.proof.checks import CHECKS, violations_of
from finchshed.proof.checks.index import Index
from finchshed.proof.history_file import History
from finchshed.standins.records import CallerOutcome


class RunFindings(msgspec.Struct, kw_only=True):
    """Findings about the processes of a run, made while they run.

    Attributes
    ----------
    processes, production_processes
        Number of all processes, and of those that run the system itself.
    first_revision
        Revision of the declarations, in force before the operators started.
    final
        Configuration at the end; None if no control node responded.
    outdated_daemons
        A line for each daemon that did not apply the final revision in time.
    unexpected_exits
        Names of processes that exited without being stopped.
    process_table_problems
        A line for each child process, io_uring or shared memory of a production process.
    """

    processes: int = 0
    production_processes: int = 0
    callers_succeeded: bool = False
    first_revision: int = 0
    final: FinalConfiguration | None = None
    outdated_daemons: list[str] = msgspec.field(default_factory=list)
    unexpected_exits: list[str] = msgspec.field(default_factory=list)
    process_table_problems: list[str] = msgspec.field(default_factory=list)


def check_run(
    scenario: FaultScenario,
    history: History,
    records: RunRecords,
    findings: RunFindings,
    failed_actions: list[str],
) -> list[Check]:
    """Return the results of all checks of a run.

    Parameters
    ----------
    failed_actions
        A line for each failed action and each other problem in the journal.
    """
    rows = summarize_records(records.callers)
    unmet_expectations = find_unmet_expectations(scenario.expect, rows)
    return [
        *_check_history(history),
        _check_answers(records),
        _check_editions(scenario, records),
        _check_processes(findings, failed_actions),
        Check(
            "no children, io_uring or shared memory",
            findings.production_processes,
            findings.process_table_problems,
        ),
        _check_final_configuration(records, findings),
        Check("outcomes the scenario states", len(scenario.expect), unmet_expectations),
    ]


def _check_history(history: History) -> Iterable[Check]:
    index = Index(history)
    for name in CHECKS:
        problems = [str(violation) for violation in violations_of(history, [name])]
        yield Check(name, CASE_COUNTERS[name](index), problems)


def _check_answers(records: RunRecords) -> Check:
    answered = sum(
        attempt.outcome is CallerOutcome.ANSWERED
        for record in records.callers
        for attempt in record.attempts
    )
    return Check("answers whole and the caller's own", answered, wrong_answers(records.callers))


def _check_editions(scenario: FaultScenario, records: RunRecords) -> Check:
    published = any(isinstance(action, Edition) for action in scenario.act)
    return Check(
        editions.NAME,
        sum(editions.saw_new_edition(record) for record in records.callers),
        editions.find_edition_problems(records.callers, published=published),
    )


def _check_processes(findings: RunFindings, failed_actions: list[str]) -> Check:
    caller_problems = [] if findings.callers_succeeded else ["a caller process didn't end well"]
    ended = [f"ended unasked: {name}" for name in findings.unexpected_exits]
    return Check(
        "processes and acts", findings.processes, [*caller_problems, *ended, *failed_actions]
    )


def _check_final_configuration(records: RunRecords, findings: RunFindings) -> Check:
    problems = final_configuration.find_configuration_problems(
        findings.final, records.operators, findings.first_revision
    )
    return Check(
        "configuration at the end", len(records.operators), [*problems, *findings.outdated_daemons]
    )

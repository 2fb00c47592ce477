"""The audit: accounts for each message, and judges whether the six rules were kept.

Its input is a `History` and the scenario, no state of a sender. It is a pure function of these, so it is tested on
histories written by hand. The rules and their allowances are in `audit_rules.py`.
"""

from cedarwick.lab import audit_rules
from cedarwick.lab.audit_account import account
from cedarwick.lab.audit_cases import ProcessTimes, Verdict, cases_by_id
from cedarwick.lab.history import History
from cedarwick.lab.scenario import Scenario


def judge(scenario: Scenario, history: History, ended: int) -> Verdict:
    """Account for every message and judge the rules; `ended` is when the observation stopped, in microseconds."""
    cases = cases_by_id(history)
    process_times = ProcessTimes(history)
    findings = [
        *audit_rules.unknown_messages(cases),
        *audit_rules.overdue_messages(scenario, cases, process_times, ended),
        *audit_rules.calls_after_final_answer(scenario, cases, process_times),
        *audit_rules.unanswered_connections(cases, process_times),
        *audit_rules.repeated_effects(scenario, cases, process_times),
        *audit_rules.concurrent_attempts(cases, process_times),
        *audit_rules.calls_while_draining(scenario, history, process_times),
        *audit_rules.overloads_while_warming_up(scenario, history),
        *audit_rules.order_violations(scenario, cases, process_times),
        *audit_rules.calls_during_waits(scenario, history, process_times),
        *audit_rules.unanswered_bad_clients(history, process_times),
        *audit_rules.crashed_processes(history),
    ]
    return Verdict(account(scenario, cases, findings), findings)

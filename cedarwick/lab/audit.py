"""The audit: what became of each message, and whether the six rules were kept.

It sees a `History` and the scenario's figures, nothing of a sender's own. It is a plain function of these, so it
is tested on histories written by hand. The rules, and what they allow for, are in `audit_rules.py`.
"""

from cedarwick.lab import audit_rules
from cedarwick.lab.audit_account import account
from cedarwick.lab.audit_cases import Lives, Verdict, cases_of
from cedarwick.lab.history import History
from cedarwick.lab.scenario import Scenario


def judge(scenario: Scenario, history: History, ended: int) -> Verdict:
    """Account for every message and judge the rules; `ended` is when the watching stopped, in microseconds."""
    cases = cases_of(history)
    lives = Lives(history)
    findings = [
        *audit_rules.strangers(cases),
        *audit_rules.lost(scenario, cases, lives, ended),
        *audit_rules.sent_after_end(scenario, cases, lives),
        *audit_rules.cut_off(cases, lives),
        *audit_rules.effects(scenario, cases, lives),
        *audit_rules.two_out(cases, lives),
        *audit_rules.drains(scenario, history, lives),
        *audit_rules.pushed_over(scenario, history),
        *audit_rules.order(scenario, cases, lives),
        *audit_rules.waits(scenario, history, lives),
        *audit_rules.unowed(history, lives),
        *audit_rules.crashed(history),
    ]
    return Verdict(account(scenario, cases, findings), findings)

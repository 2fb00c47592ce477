"""Moves negations down to the leaves of terms, so that two truth values are sufficient. Used by `index.py`.

De Morgan's laws and the negation of each comparison operator are valid in Kleene's three-valued logic. `and` and `or`
are monotonic, so without `not` above them unknown can be treated as false: the term is true for the same events.
"""

from cedarwick.events.terms import NEGATED_OPERATOR, And, Comparison, Not, Or, Range, Term, combine


def normalize(term: Term, negated: bool = False) -> Term:
    """Rewrite a term (or its negation, if `negated`) with `not` only at the leaves; it is true for the same events."""
    if isinstance(term, Not):
        return normalize(term.term, not negated)
    if isinstance(term, And | Or):
        kind = type(term) if not negated else Or if isinstance(term, And) else And
        return combine(kind, tuple(normalize(subterm, negated) for subterm in term.terms))
    if not negated:
        return term
    if isinstance(term, Comparison):
        return Comparison(term.field, NEGATED_OPERATOR[term.operator], term.value)
    if isinstance(term, Range):
        return Or((Comparison(term.field, "<", term.low), Comparison(term.field, ">", term.high)))
    return Not(term)

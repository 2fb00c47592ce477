"""Rewrites terms so that `not` is only at the leaves; then two truth values are enough. Used by `index.py`.

De Morgan's laws and the inverse of each comparison hold in Kleene's logic. Without `not` above the leaves, `and` and
`or` are monotonic: unknown may be treated as false, and the whole term is true for the same events.
"""

from cedarwick.events.terms import INVERSE, And, Compare, Not, Or, Range, Term, joined


def normal(term: Term, inverted: bool = False) -> Term:
    """Rewrite a term, or its negation, with `not` only at the leaves; it is true for the same events."""
    if isinstance(term, Not):
        return normal(term.term, not inverted)
    if isinstance(term, And | Or):
        kind = type(term) if not inverted else Or if isinstance(term, And) else And
        return joined(kind, tuple(normal(each, inverted) for each in term.terms))
    if not inverted:
        return term
    if isinstance(term, Compare):
        return Compare(term.field, INVERSE[term.sign], term.value)
    if isinstance(term, Range):
        return Or((Compare(term.field, "<", term.low), Compare(term.field, ">", term.high)))
    return Not(term)

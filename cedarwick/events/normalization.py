"""Terms with `not` only at the leaves, so that two values are enough.

De Morgan's laws and the inverse of each comparison hold in Kleene's logic. With `not` gone from above, `and` and `or`
only ever turn more truth into more truth: unknown may be taken for false, and the whole is true for the same events.
"""

from cedarwick.events.terms import INVERSE, And, Compare, Not, Or, Range, Term, joined


def normal(term: Term, inverted: bool = False) -> Term:
    """A term, or its opposite, with `not` at the leaves only; true for the same events."""
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

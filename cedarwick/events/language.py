"""Parses and checks filters: from text to a `Filter`.

The grammar is in `grammar.lark`, parsed by lark (LALR). Terms are built as the parser reduces, so that no input can
nest Python calls deeper than the bound on depth. Used by `exchange.py` and `streams.py`.
"""

import difflib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, UnexpectedToken, v_args

from cedarwick.events import terms
from cedarwick.events.filter_errors import (
    WHOLE,
    FilterError,
    FilterSyntaxError,
    FilterTooCostlyError,
    FilterTooDeepError,
    FilterTooLongError,
    FilterTooNewError,
    InvalidGlobError,
    OutOfBoundsError,
    TooManyTermsError,
    UnknownFieldError,
    UnknownValueError,
    WrongTypeError,
)
from cedarwick.events.kinds import FIELDS, MAX_NUMBER, MAX_TEXT_LENGTH, WORDS, Type, Value
from cedarwick.events.terms import UNITS, Among, And, Compare, Has, Like, Not, Or, Range, Sample, Term

MAX_BYTES = 4096  # of a filter's text
MAX_DEPTH = 32  # of nested terms
MAX_TERMS = 256  # comparisons and listed values
MAX_COST = 512  # of testing one event, as `terms.cost` counts it
MAX_GLOB_LENGTH = 64  # characters of a pattern
MAX_SAMPLE_WHOLE = 1_000_000  # the second number of a sample
EXAMPLES = {Type.TEXT: '"..."', Type.WHOLE: "5", Type.SPAN: "5s", Type.NUMBER: "0.5", Type.FLAG: "true"}
EXPECTED = {
    "NAME": "a field",
    "SIGN": "= != < <= > >=",
    "NUMBER": "a number",
    "SPAN": "a span",
    "STRING": 'text in "..."',
    "FLAG": "true or false",
    "SAMPLE": "sample(1/100)",
    "_AND": "and",
    "_OR": "or",
    "_NOT": "not",
    "_IN": "in",
    "_LIKE": "like",
    "_HAS": "has",
    "_OPEN": "(",
    "_CLOSE": ")",
    "_COMMA": ",",
    "_DOTS": "..",
    "_SLASH": "/",
    "$END": "the end",
}
INSTEAD = {
    "&": "write 'and'",
    "|": "write 'or'",
    "!": "write 'not'",
    "'": 'write text in double quotes: "..."',
    "~": "write 'like' with * and ?",
    '"': 'end the text with "; write \\" for a quote within it',
    "+": "write the number without +",
}


@dataclass(frozen=True, slots=True)
class Filter:
    """A parsed and checked filter; equal to others with equal terms."""

    term: Term
    canonical_text: str
    level: int  # the feature level that a member needs for it


def parse_filter(text: str) -> Filter:
    """Parse a filter. Raises FilterError."""
    _bounded(text, "")
    try:
        term: Term = PARSER.parse(text)  # type: ignore[assignment]
    except UnexpectedInput as error:
        raise _unread(text, error) from None
    return checked(term)


def checked(term: Term) -> Filter:
    """Make a filter from its terms, checking the limits on size and cost. Raises FilterError."""
    count = terms.size(term)
    if count > MAX_TERMS:
        raise TooManyTermsError(
            f"{count} comparisons and listed values, {MAX_TERMS} are allowed",
            WHOLE,
            "split it into several subscriptions",
        )
    costs = terms.cost(term)
    if costs > MAX_COST:
        raise FilterTooCostlyError(
            f"it costs {costs} for each event, {MAX_COST} are allowed",
            WHOLE,
            'use fewer globs; one like "abc*" costs 2, others 64',
        )
    text = terms.printed(term)
    # Other members parse the printed text, so it must fit too: it may be longer than the text as written.
    _bounded(text, " as printed")
    return Filter(term, text, terms.needed_level(term))


def printed(filter_: Filter) -> str:
    """The canonical text of a filter; parsing it gives an equal filter."""
    return filter_.canonical_text


def needed_level(filter_: Filter) -> int:
    """The feature level that a member needs to evaluate a filter."""
    return filter_.level


def check_levels(filter_: Filter, levels: Mapping[str, int]) -> None:
    """Refuse a filter that some member can't evaluate, `levels` being theirs by name. Raises FilterTooNewError."""
    lacking = [f"{name} (level {levels[name]})" for name in sorted(levels) if levels[name] < filter_.level]
    if lacking:
        raise FilterTooNewError(
            f"it needs feature level {filter_.level}, which these members lack: {', '.join(lacking)}",
            WHOLE,
            "renew them, or write it without 'like' and 'sample'",
        )


def nearest(word: str, known: Iterable[str]) -> str:
    """A suggestion to replace an unknown word."""
    known = sorted(known)
    close = difflib.get_close_matches(word[:MAX_GLOB_LENGTH].lower(), known, n=1)
    return f"write '{close[0]}'" if close else "write one of: " + ", ".join(known)


def _bounded(text: str, how: str) -> None:
    length = len(text) if len(text) > MAX_BYTES else len(text.encode(errors="replace"))
    if length > MAX_BYTES:
        raise FilterTooLongError(
            f"{length} bytes{how}, {MAX_BYTES} are allowed", WHOLE, "split it into several subscriptions"
        )


def _place(token: Token) -> tuple[int, int]:
    return token.line or 1, token.column or 1


def _unread(text: str, error: UnexpectedInput) -> FilterSyntaxError:
    """Translate lark's error into one that an operator understands."""
    names: Iterable[str] = ()
    place = (error.line, error.column)
    if isinstance(error, UnexpectedToken):
        names = error.accepts or error.expected
        token = error.token
        found = f"'{token[:40]}'"
        if token.type == "$END":
            lines = text.split("\n")
            place, found = (len(lines), len(lines[-1]) + 1), "the end"
    elif isinstance(error, UnexpectedCharacters):
        names = error.allowed or ()
        found = repr(text[error.pos_in_stream or 0])
    words = [EXPECTED[name] for name in EXPECTED if name in names]
    word = found.strip("'").lower()
    if word in ("and", "or", "not", "in", "like", "has", "sample") and found != f"'{word}'":
        remedy = f"write '{word}' in small letters"
    else:
        remedy = INSTEAD.get(found[1], "") or "write one of these instead"
    return FilterSyntaxError(f"{found} is not expected here, but {' | '.join(words)}", place, remedy)


def _field(token: Token) -> str:
    if token not in FIELDS:
        raise UnknownFieldError(f"no field is called '{token[:40]}'", _place(token), nearest(token, FIELDS))
    return str(token)


def _value(field: str, token: Token) -> Value:
    """Convert a token to a value of the type of its field. Raises FilterError."""
    type_, place = FIELDS[field], _place(token)
    if token.type == "NAME":
        instead = f'"{token[:40]}"' if type_ is Type.TEXT else EXAMPLES[type_]
        raise WrongTypeError(f"a {type_.value} is expected for '{field}'", place, f"write {instead}")
    if token.type == "STRING" and type_ is Type.TEXT:
        text = _text(token)
        if field in WORDS and text not in WORDS[field]:
            raise UnknownValueError(f"'{field}' is never \"{text[:40]}\"", place, nearest(text, WORDS[field]))
        return text
    if token.type == "FLAG" and type_ is Type.FLAG:
        return bool(token == "true")
    if token.type == "SPAN" and type_ is Type.SPAN:
        return _span(token)
    if token.type == "NUMBER" and type_ is Type.NUMBER:
        return _bound(token, float(token))
    if token.type == "NUMBER" and type_ is Type.WHOLE and re.fullmatch("-?[0-9]+", token):
        return _whole(token)
    instead = f"{token}s" if token.type == "NUMBER" and type_ is Type.SPAN else EXAMPLES[type_]
    raise WrongTypeError(f"'{field}' is a {type_.value}, {token[:40]} is not", place, f"write it like {instead}")


def _text(token: Token) -> str:
    try:
        text: str = msgspec.json.decode(str(token), type=str)
    except msgspec.DecodeError:
        raise FilterSyntaxError(
            "the text is not written as JSON writes text",
            _place(token),
            "write \\\" \\\\ \\n \\t or \\u00e9 for what can't stand as it is",
        ) from None
    if len(text) > MAX_TEXT_LENGTH:
        raise OutOfBoundsError(
            f"{len(text)} characters, no field has more than {MAX_TEXT_LENGTH}", _place(token), "write a shorter text"
        )
    return text


def _whole(token: Token) -> int:
    return int(_bound(token, int(token)))


def _bound(token: Token, number: int | float) -> int | float:
    if not abs(number) <= MAX_NUMBER:
        raise OutOfBoundsError(f"{token[:40]} is too large", _place(token), f"write at most {MAX_NUMBER}")
    return number


def _span(token: Token) -> int:
    split = re.fullmatch(r"(-?[0-9]+)(\.[0-9]+)?([A-Za-z]+)", token)
    assert split is not None
    whole, part, unit = split.groups()
    if unit not in UNITS:
        raise WrongTypeError(
            f"no span is counted in '{unit[:40]}'", _place(token), "write us, ms, s, m or h: 1500ms, 2s, 5m"
        )
    if part:
        raise WrongTypeError(f"{token[:40]} is not whole", _place(token), "write it in a smaller unit: 1500ms for 1.5s")
    return int(_bound(token, int(whole) * UNITS[unit]))


@v_args(inline=True)
class Maker(Transformer[Token, Term]):
    """Makes and checks terms as the parser reduces its rules; the methods are named after the rules."""

    def either(self, *given: Term) -> Term:
        """A disjunction."""
        return self._held(terms.joined(Or, given))

    def both(self, *given: Term) -> Term:
        """A conjunction."""
        return self._held(terms.joined(And, given))

    def inverted(self, term: Term) -> Term:
        """A negation."""
        return self._held(Not(term))

    def compare(self, name: Token, sign: Token, value: Token) -> Term:
        """A comparison. Raises FilterError for a sign or value that the field does not allow."""
        field = _field(name)
        if sign in ("==", "<>"):
            raise FilterSyntaxError(
                f"'{sign}' compares nothing", _place(sign), "write " + {"==": "=", "<>": "!="}[sign]
            )
        if sign not in ("=", "!=") and not FIELDS[field].ordered:
            raise WrongTypeError(
                f"'{field}' is a {FIELDS[field].value} and has no order",
                _place(sign),
                "write = or !=" + (" or like" if FIELDS[field] is Type.TEXT else ""),
            )
        return Compare(field, str(sign), _value(field, value))

    def among(self, name: Token, *values: Token) -> Term:
        """Membership in a list of values."""
        field = _field(name)
        return Among(field, tuple(dict.fromkeys(_value(field, value) for value in values)))

    def range(self, name: Token, first: Token, last: Token) -> Term:
        """A range, both ends included. Raises FilterError if the field has no order or the range is empty."""
        field = _field(name)
        if not FIELDS[field].ordered:
            raise WrongTypeError(
                f"'{field}' is a {FIELDS[field].value} and has no ranges", _place(name), "write in (a, b)"
            )
        low, high = _value(field, first), _value(field, last)
        assert not isinstance(low, str) and not isinstance(high, str)
        if low > high:
            raise OutOfBoundsError(
                f"nothing lies in {first[:20]}..{last[:20]}", _place(first), f"write {last[:20]}..{first[:20]}"
            )
        return Range(field, low, high)

    def like(self, name: Token, pattern: Token) -> Term:
        """A glob on a text field. Raises FilterError."""
        field = _field(name)
        if FIELDS[field] is not Type.TEXT:
            raise WrongTypeError(
                f"'{field}' is a {FIELDS[field].value} and has no patterns", _place(name), "write = or in"
            )
        glob = _text(pattern)
        if not 0 < len(glob) <= MAX_GLOB_LENGTH:
            raise InvalidGlobError(
                f"a pattern of {len(glob)} characters",
                _place(pattern),
                f"write 1 to {MAX_GLOB_LENGTH} of them, * for any text and ? for one character",
            )
        return Like(field, re.sub(r"\*+", "*", glob))

    def has(self, name: Token) -> Term:
        """The presence of a field."""
        return Has(_field(name))

    def sample(self, word: Token, part: Token, whole: Token) -> Term:
        """A share of the ids. Raises FilterError if it is not above 0 and at most 1."""
        for token in (part, whole):
            if not re.fullmatch("[0-9]+", token):
                raise WrongTypeError(f"{token[:40]} is no whole number", _place(token), "write sample(1/100)")
        share = _whole(part), _whole(whole)
        if not 0 < share[0] <= share[1] <= MAX_SAMPLE_WHOLE:
            raise OutOfBoundsError(
                f"{part[:20]}/{whole[:20]} is no share",
                _place(part),
                f"write more than 0, at most all, of at most {MAX_SAMPLE_WHOLE}: sample(1/100)",
            )
        return Sample(*share)

    def _held(self, term: Term) -> Term:
        # Functions that walk the terms are recursive, so the depth must be limited here.
        if terms.depth(term) > MAX_DEPTH:
            raise FilterTooDeepError(
                f"terms are nested more than {MAX_DEPTH} deep", WHOLE, "leave out parentheses and 'not not'"
            )
        return term


PARSER = Lark.open("grammar.lark", rel_to=__file__, parser="lalr", transformer=Maker())
__all__ = ["FilterError", "Filter", "check_levels", "checked", "needed_level", "parse_filter", "printed"]

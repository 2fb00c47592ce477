"""Parses filter text, checks it and returns a `Filter`.

lark parses the grammar in `grammar.lark` (LALR). `TermBuilder` builds the terms during parsing and rejects a term that
is nested too deeply, so that no input can exceed Python's recursion limit. Used by `exchange.py` and `streams.py`.
"""

import difflib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, UnexpectedToken, v_args

from cedarwick.events import terms
from cedarwick.events.filter_errors import (
    WHOLE_FILTER,
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
from cedarwick.events.kinds import ALLOWED_VALUES, FIELD_TYPES, MAX_NUMBER, MAX_TEXT_LENGTH, FieldType, Value
from cedarwick.events.terms import (
    MICROSECONDS_PER_UNIT,
    And,
    Comparison,
    Has,
    Like,
    Not,
    OneOf,
    Or,
    Range,
    Sample,
    Term,
)

MAX_FILTER_BYTES = 4096  # UTF-8 bytes of a filter's text
MAX_DEPTH = 32  # levels of nested terms
MAX_TERMS = 256  # comparisons and listed values in one filter
MAX_COST = 512  # cost of evaluating the filter for one event, in the unit of `terms.cost`
MAX_GLOB_LENGTH = 64  # characters in the pattern of `like`
MAX_SAMPLE_DENOMINATOR = 1_000_000  # largest N in sample(1/N)
# An example value of each type, for error messages.
EXAMPLE_VALUES = {
    FieldType.TEXT: '"..."',
    FieldType.INTEGER: "5",
    FieldType.DURATION: "5s",
    FieldType.NUMBER: "0.5",
    FieldType.BOOLEAN: "true",
}
# How error messages name each terminal of the grammar.
TERMINAL_DESCRIPTIONS = {
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
# What to write instead of a character that the grammar does not have, by this character.
SUGGESTIONS = {
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
    """A parsed and validated filter; filters with equal terms are equal."""

    term: Term
    canonical_text: str
    feature_level: int  # the feature level that a member needs to evaluate the filter


def parse_filter(text: str) -> Filter:
    """Parse and validate the text of a filter. Raises FilterError."""
    _check_length(text, "")
    try:
        term: Term = PARSER.parse(text)  # type: ignore[assignment]
    except UnexpectedInput as error:
        raise _syntax_error(text, error) from None
    return make_filter(term)


def make_filter(term: Term) -> Filter:
    """Create a filter from its terms and check the limits on size and cost. Raises FilterError."""
    term_count = terms.size(term)
    if term_count > MAX_TERMS:
        raise TooManyTermsError(
            f"{term_count} comparisons and listed values, the maximum is {MAX_TERMS}",
            WHOLE_FILTER,
            "split it into several subscriptions",
        )
    filter_cost = terms.cost(term)
    if filter_cost > MAX_COST:
        raise FilterTooCostlyError(
            f"the cost for each event is {filter_cost}, the maximum is {MAX_COST}",
            WHOLE_FILTER,
            'use fewer globs; one like "abc*" costs 2, others 64',
        )
    text = terms.format_term(term)
    # Other members parse the canonical text, which may be longer than the original text, so its length is checked too.
    _check_length(text, " in canonical form")
    return Filter(term, text, terms.required_level(term))


def format_filter(filter_: Filter) -> str:
    """Return the canonical text of a filter; parsing this text gives an equal filter."""
    return filter_.canonical_text


def required_level(filter_: Filter) -> int:
    """Return the feature level that a member needs to evaluate a filter."""
    return filter_.feature_level


def check_levels(filter_: Filter, levels: Mapping[str, int]) -> None:
    """Check that all members can evaluate a filter; `levels`: feature levels by member. Raises FilterTooNewError."""
    outdated_members = [
        f"{name} (level {levels[name]})" for name in sorted(levels) if levels[name] < filter_.feature_level
    ]
    if outdated_members:
        raise FilterTooNewError(
            f"it needs feature level {filter_.feature_level}, which these members lack: {', '.join(outdated_members)}",
            WHOLE_FILTER,
            "upgrade them, or write it without 'like' and 'sample'",
        )


def suggest_word(word: str, known: Iterable[str]) -> str:
    """Suggest the known word that is most similar to an unknown one, or list all known words."""
    known = sorted(known)
    close = difflib.get_close_matches(word[:MAX_GLOB_LENGTH].lower(), known, n=1)
    return f"write '{close[0]}'" if close else "write one of: " + ", ".join(known)


def _check_length(text: str, form: str) -> None:
    length = len(text) if len(text) > MAX_FILTER_BYTES else len(text.encode(errors="replace"))
    if length > MAX_FILTER_BYTES:
        raise FilterTooLongError(
            f"{length} bytes{form}, the maximum is {MAX_FILTER_BYTES}",
            WHOLE_FILTER,
            "split it into several subscriptions",
        )


def _token_position(token: Token) -> tuple[int, int]:
    return token.line or 1, token.column or 1


def _syntax_error(text: str, error: UnexpectedInput) -> FilterSyntaxError:
    """Convert a parse error of lark into an error in the words of the filter language."""
    terminals: Iterable[str] = ()
    position = (error.line, error.column)
    if isinstance(error, UnexpectedToken):
        terminals = error.accepts or error.expected
        token = error.token
        found = f"'{token[:40]}'"
        if token.type == "$END":
            lines = text.split("\n")
            position, found = (len(lines), len(lines[-1]) + 1), "the end"
    elif isinstance(error, UnexpectedCharacters):
        terminals = error.allowed or ()
        found = repr(text[error.pos_in_stream or 0])
    descriptions = [TERMINAL_DESCRIPTIONS[name] for name in TERMINAL_DESCRIPTIONS if name in terminals]
    word = found.strip("'").lower()
    if word in ("and", "or", "not", "in", "like", "has", "sample") and found != f"'{word}'":
        remedy = f"write '{word}' in small letters"
    else:
        remedy = SUGGESTIONS.get(found[1], "") or "write one of these instead"
    return FilterSyntaxError(f"{found} is not expected here, but {' | '.join(descriptions)}", position, remedy)


def _parse_field(token: Token) -> str:
    if token not in FIELD_TYPES:
        raise UnknownFieldError(
            f"unknown field '{token[:40]}'", _token_position(token), suggest_word(token, FIELD_TYPES)
        )
    return str(token)


def _parse_value(field: str, token: Token) -> Value:
    """Convert a token to a value of the type of its field. Raises FilterError."""
    type_, position = FIELD_TYPES[field], _token_position(token)
    if token.type == "NAME":
        suggestion = f'"{token[:40]}"' if type_ is FieldType.TEXT else EXAMPLE_VALUES[type_]
        raise WrongTypeError(f"a {type_.value} is expected for '{field}'", position, f"write {suggestion}")
    if token.type == "STRING" and type_ is FieldType.TEXT:
        text = _parse_text(token)
        if field in ALLOWED_VALUES and text not in ALLOWED_VALUES[field]:
            raise UnknownValueError(
                f"'{field}' never has the value \"{text[:40]}\"", position, suggest_word(text, ALLOWED_VALUES[field])
            )
        return text
    if token.type == "FLAG" and type_ is FieldType.BOOLEAN:
        return bool(token == "true")
    if token.type == "SPAN" and type_ is FieldType.DURATION:
        return _parse_duration(token)
    if token.type == "NUMBER" and type_ is FieldType.NUMBER:
        return _check_magnitude(token, float(token))
    if token.type == "NUMBER" and type_ is FieldType.INTEGER and re.fullmatch("-?[0-9]+", token):
        return _parse_integer(token)
    suggestion = f"{token}s" if token.type == "NUMBER" and type_ is FieldType.DURATION else EXAMPLE_VALUES[type_]
    raise WrongTypeError(f"'{field}' is a {type_.value}, {token[:40]} is not", position, f"write it like {suggestion}")


def _parse_text(token: Token) -> str:
    try:
        text: str = msgspec.json.decode(str(token), type=str)
    except msgspec.DecodeError:
        raise FilterSyntaxError(
            "the text is not a valid JSON string",
            _token_position(token),
            'write \\" \\\\ \\n \\t or \\u00e9 for characters that must be escaped',
        ) from None
    if len(text) > MAX_TEXT_LENGTH:
        raise OutOfBoundsError(
            f"{len(text)} characters, the maximum of a field is {MAX_TEXT_LENGTH}",
            _token_position(token),
            "write a shorter text",
        )
    return text


def _parse_integer(token: Token) -> int:
    return int(_check_magnitude(token, int(token)))


def _check_magnitude(token: Token, number: int | float) -> int | float:
    if not abs(number) <= MAX_NUMBER:
        raise OutOfBoundsError(f"{token[:40]} is too large", _token_position(token), f"write at most {MAX_NUMBER}")
    return number


def _parse_duration(token: Token) -> int:
    match = re.fullmatch(r"(-?[0-9]+)(\.[0-9]+)?([A-Za-z]+)", token)
    assert match is not None
    integer_part, fraction, unit = match.groups()
    if unit not in MICROSECONDS_PER_UNIT:
        raise WrongTypeError(
            f"'{unit[:40]}' is not a unit of time", _token_position(token), "write us, ms, s, m or h: 1500ms, 2s, 5m"
        )
    if fraction:
        raise WrongTypeError(
            f"{token[:40]} is not a whole number of its unit",
            _token_position(token),
            "write it in a smaller unit: 1500ms for 1.5s",
        )
    return int(_check_magnitude(token, int(integer_part) * MICROSECONDS_PER_UNIT[unit]))


@v_args(inline=True)
class TermBuilder(Transformer[Token, Term]):
    """Builds and checks a term for each rule that the parser reduces; a method has the name of its grammar rule."""

    def either(self, *subterms: Term) -> Term:
        """Build a disjunction."""
        return self._check_depth(terms.combine(Or, subterms))

    def both(self, *subterms: Term) -> Term:
        """Build a conjunction."""
        return self._check_depth(terms.combine(And, subterms))

    def inverted(self, term: Term) -> Term:
        """Build a negation."""
        return self._check_depth(Not(term))

    def compare(self, name: Token, operator_token: Token, value: Token) -> Term:
        """Build a comparison. Raises FilterError if the type of the field does not support the operator or value."""
        field = _parse_field(name)
        if operator_token in ("==", "<>"):
            raise FilterSyntaxError(
                f"'{operator_token}' is not a comparison operator",
                _token_position(operator_token),
                "write " + {"==": "=", "<>": "!="}[operator_token],
            )
        if operator_token not in ("=", "!=") and not FIELD_TYPES[field].ordered:
            raise WrongTypeError(
                f"'{field}' is a {FIELD_TYPES[field].value} and has no order",
                _token_position(operator_token),
                "write = or !=" + (" or like" if FIELD_TYPES[field] is FieldType.TEXT else ""),
            )
        return Comparison(field, str(operator_token), _parse_value(field, value))

    def among(self, name: Token, *values: Token) -> Term:
        """Build a test for membership in a list of values."""
        field = _parse_field(name)
        return OneOf(field, tuple(dict.fromkeys(_parse_value(field, value) for value in values)))

    def range(self, name: Token, first: Token, last: Token) -> Term:
        """Build a range with both ends included. Raises FilterError if the field has no order or the range is empty."""
        field = _parse_field(name)
        if not FIELD_TYPES[field].ordered:
            raise WrongTypeError(
                f"'{field}' is a {FIELD_TYPES[field].value} and has no ranges", _token_position(name), "write in (a, b)"
            )
        low, high = _parse_value(field, first), _parse_value(field, last)
        assert not isinstance(low, str) and not isinstance(high, str)
        if low > high:
            raise OutOfBoundsError(
                f"no value lies in {first[:20]}..{last[:20]}",
                _token_position(first),
                f"write {last[:20]}..{first[:20]}",
            )
        return Range(field, low, high)

    def like(self, name: Token, pattern: Token) -> Term:
        """Build a glob match on a text field. Raises FilterError."""
        field = _parse_field(name)
        if FIELD_TYPES[field] is not FieldType.TEXT:
            raise WrongTypeError(
                f"'{field}' is a {FIELD_TYPES[field].value} and has no patterns", _token_position(name), "write = or in"
            )
        glob = _parse_text(pattern)
        if not 0 < len(glob) <= MAX_GLOB_LENGTH:
            raise InvalidGlobError(
                f"the pattern has {len(glob)} characters",
                _token_position(pattern),
                f"write 1 to {MAX_GLOB_LENGTH} of them, * for any text and ? for one character",
            )
        return Like(field, re.sub(r"\*+", "*", glob))

    def has(self, name: Token) -> Term:
        """Build a test for the presence of a field."""
        return Has(_parse_field(name))

    def sample(self, keyword: Token, numerator: Token, denominator: Token) -> Term:
        """Build a sample of the message ids. Raises FilterError unless the share is above 0 and at most 1."""
        for token in (numerator, denominator):
            if not re.fullmatch("[0-9]+", token):
                raise WrongTypeError(
                    f"{token[:40]} is not a whole number", _token_position(token), "write sample(1/100)"
                )
        share = _parse_integer(numerator), _parse_integer(denominator)
        if not 0 < share[0] <= share[1] <= MAX_SAMPLE_DENOMINATOR:
            raise OutOfBoundsError(
                f"{numerator[:20]}/{denominator[:20]} is not a share",
                _token_position(numerator),
                f"write a share above 0 and at most 1, denominator at most {MAX_SAMPLE_DENOMINATOR}: sample(1/100)",
            )
        return Sample(*share)

    def _check_depth(self, term: Term) -> Term:
        # The functions that traverse terms are recursive; an unlimited depth would exceed the recursion limit.
        if terms.depth(term) > MAX_DEPTH:
            raise FilterTooDeepError(
                f"terms are nested more than {MAX_DEPTH} deep", WHOLE_FILTER, "leave out parentheses and 'not not'"
            )
        return term


PARSER = Lark.open("grammar.lark", rel_to=__file__, parser="lalr", transformer=TermBuilder())
__all__ = ["FilterError", "Filter", "check_levels", "format_filter", "make_filter", "parse_filter", "required_level"]

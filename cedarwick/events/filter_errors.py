"""The errors of filters; each gives the position in the text, the problem and a suggestion what to write instead."""

from cedarwick.errors import CedarwickError

WHOLE_FILTER = (1, 0)  # the position of an error that concerns the filter as a whole


class FilterError(CedarwickError):
    """The filter is invalid. Lines and columns count from 1; column 0 stands for the filter as a whole."""

    code = "CW801"
    remedy = "correct the filter at the given position and follow again; docs/filters.md describes the language"

    def __init__(self, problem: str, position: tuple[int, int] | None = None, suggestion: str = "") -> None:
        self.problem = problem
        self.position = position or WHOLE_FILTER
        self.suggestion = suggestion  # what to write instead
        line, column = self.position
        where = f"line {line}, column {column}" if column else "the filter as a whole"
        super().__init__(f"{where}: {problem}; {suggestion}" if position else problem)


class FilterTooLongError(FilterError):
    """The filter has too many bytes, in its original or its canonical text."""

    code = "CW802"
    remedy = "shorten the filter or split it into several subscriptions"


class FilterSyntaxError(FilterError):
    """The text of the filter does not follow the grammar."""

    code = "CW803"
    remedy = "correct the filter at the given position as the error line suggests; docs/filters.md has the grammar"


class UnknownFieldError(FilterError):
    """The filter names a field that no event has."""

    code = "CW804"
    remedy = "use a field that is listed in docs/filters.md"


class UnknownValueError(FilterError):
    """The field has a fixed set of values that does not include the given one, so that the filter would never match."""

    code = "CW805"
    remedy = "use one of the values listed in docs/filters.md"


class WrongTypeError(FilterError):
    """The type of the field does not support the value or the comparison."""

    code = "CW806"
    remedy = "write a value or comparison that the type of the field supports, as the error line suggests"


class OutOfBoundsError(FilterError):
    """A number, duration, range or share is too large, empty or impossible for any event."""

    code = "CW807"
    remedy = "write a value within the bounds that the error line names"


class InvalidGlobError(FilterError):
    """The pattern of `like` is empty or too long."""

    code = "CW808"
    remedy = "write a pattern of 1 to 64 characters"


class FilterTooDeepError(FilterError):
    """The terms of the filter are nested too deeply."""

    code = "CW809"
    remedy = "leave out parentheses and doubled 'not', or split the filter into several subscriptions"


class TooManyTermsError(FilterError):
    """The filter has too many comparisons and listed values."""

    code = "CW810"
    remedy = "split the filter into several subscriptions"


class FilterTooCostlyError(FilterError):
    """Evaluating the filter for one event may cost too much."""

    code = "CW811"
    remedy = "use fewer globs, or globs whose only wildcard is a * at the end"


class FilterTooNewError(FilterError):
    """The software version of a member of the fleet is too old to evaluate the filter."""

    code = "CW812"
    remedy = "upgrade the named members, or write the filter without 'like' and 'sample'"

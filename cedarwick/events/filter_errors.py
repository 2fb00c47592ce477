"""What can be wrong with a filter: each error names the place, what was expected and what to write instead."""

from cedarwick.errors import CedarwickError

WHOLE = (1, 0)


class FilterError(CedarwickError):
    """A filter is refused. Lines and columns count from 1; column 0 stands for the filter as a whole."""

    code = "CW801"
    remedy = "correct the filter at the place named and follow again; docs/filters.md has the language"

    def __init__(self, what: str, place: tuple[int, int] | None = None, instead: str = "") -> None:
        self.what = what
        self.place = place or WHOLE
        self.instead = instead  # what to write
        line, column = self.place
        where = f"line {line}, column {column}" if column else "the filter as a whole"
        super().__init__(f"{where}: {what}; {instead}" if place else what)


class FilterTooLongError(FilterError):
    """More bytes than a filter may have, as written or as printed."""

    code = "CW802"
    remedy = "shorten the filter or split it into several subscriptions"


class FilterSyntaxError(FilterError):
    """The text doesn't follow the grammar."""

    code = "CW803"
    remedy = "write what the line says at the place named; docs/filters.md has the grammar"


class UnknownFieldError(FilterError):
    """No event has such a field."""

    code = "CW804"
    remedy = "use a field of the table in docs/filters.md"


class UnknownValueError(FilterError):
    """The field holds one of a few words, and this is none of them: the filter would never match."""

    code = "CW805"
    remedy = "use one of the words of the table in docs/filters.md"


class WrongTypeError(FilterError):
    """A value or comparison that the field's type doesn't have."""

    code = "CW806"
    remedy = "write a value or comparison that the field's type has, as the line says"


class OutOfBoundsError(FilterError):
    """A number, span, range or share that no event can have, or that can't be held."""

    code = "CW807"
    remedy = "write a value within the bounds that the line names"


class InvalidGlobError(FilterError):
    """A pattern of `like` that is empty or too long."""

    code = "CW808"
    remedy = "write a pattern of 1 to 64 characters"


class FilterTooDeepError(FilterError):
    """Terms nested deeper than is allowed."""

    code = "CW809"
    remedy = "leave out parentheses and doubled 'not', or split the filter into several subscriptions"


class TooManyTermsError(FilterError):
    """More comparisons and listed values than a filter may have."""

    code = "CW810"
    remedy = "split the filter into several subscriptions"


class FilterTooCostlyError(FilterError):
    """Testing one event may cost more than is allowed."""

    code = "CW811"
    remedy = "use fewer globs, or such as end in their only *"


class FilterTooNewError(FilterError):
    """A member of the fleet is too old to evaluate the filter."""

    code = "CW812"
    remedy = "renew the members named, or write the filter without 'like' and 'sample'"

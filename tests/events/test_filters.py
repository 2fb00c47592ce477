import re
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.events import filter_errors, language, reference_matcher, terms
from cedarwick.events.access_predicates import MAX_KEYS
from cedarwick.events.compiled import compile_filter, globber
from cedarwick.events.filter_errors import FilterError, FilterTooNewError
from cedarwick.events.index import Index
from cedarwick.events.index_tables import MAX_FIELD_SETS
from cedarwick.events.kinds import ALLOWED_VALUES, FIELD_TYPES, FIELDS_BY_KIND, Event, FieldType, InvalidEventError

DRAWN = settings(derandomize=True, max_examples=120, deadline=None)
TEXT_VALUES = ["a", "ab", "abc", "b", "", 'é"\\\n']
VALUES_BY_TYPE: dict[FieldType, st.SearchStrategy[Any]] = {
    FieldType.TEXT: st.sampled_from(TEXT_VALUES),
    FieldType.INTEGER: st.integers(-2, 5),
    FieldType.DURATION: st.sampled_from([0, 1, 1500, 60_000_000]),
    FieldType.NUMBER: st.sampled_from([0.0, 0.5, -3.0, 1e17, 9007199254740992.0]),
    FieldType.BOOLEAN: st.booleans(),
}
EVENT_VALUES_BY_TYPE = {
    **VALUES_BY_TYPE,
    FieldType.NUMBER: st.sampled_from([0, 0.5, -3.0, 10**17, 9007199254740993, 2.0]),
}
FIELD_NAMES = ["kind", "id", "tenant", "destination", "age", "worth", "at_most_once", "shots"]


def field_values(name: str) -> st.SearchStrategy[Any]:
    return st.sampled_from(["taken", "nacked"]) if name == "kind" else VALUES_BY_TYPE[FIELD_TYPES[name]]


@st.composite
def leaf_terms(draw: st.DrawFn) -> terms.Term:
    name = draw(st.sampled_from(FIELD_NAMES))
    ordered, text = FIELD_TYPES[name].ordered, FIELD_TYPES[name] is FieldType.TEXT
    shapes = ["compare", "among", "has", "sample"] + ["range"] * ordered + ["like"] * text
    shape = draw(st.sampled_from(shapes))
    if shape == "compare":
        operators = list(terms.NEGATED_OPERATOR) if ordered else ["=", "!="]
        return terms.Comparison(name, draw(st.sampled_from(operators)), draw(field_values(name)))
    if shape == "among":
        return terms.OneOf(name, tuple(draw(st.lists(field_values(name), min_size=1, max_size=3, unique=True))))
    if shape == "range":
        return terms.Range(name, *sorted([draw(field_values(name)), draw(field_values(name))]))
    if shape == "like":
        return terms.Like(name, draw(st.sampled_from(["a*", "*", "?b*", "a?", "ab", "*b*c"])))
    return terms.Has(name) if shape == "has" else terms.Sample(draw(st.integers(1, 2)), 2)


def compound_terms(subterms: st.SearchStrategy[terms.Term]) -> st.SearchStrategy[terms.Term]:
    operands = st.lists(subterms, min_size=2, max_size=3).map(tuple)
    return (
        subterms.map(terms.Not)
        | operands.map(lambda each: terms.combine(terms.And, each))
        | operands.map(lambda each: terms.combine(terms.Or, each))
    )


TERMS = st.recursive(leaf_terms(), compound_terms, max_leaves=8)


@st.composite
def events(draw: st.DrawFn) -> Event:
    kind = draw(st.sampled_from(["taken", "nacked", "member-came"]))
    names = [name for name in FIELD_NAMES if name in FIELDS_BY_KIND[kind] and draw(st.booleans())]
    return event(kind, **{name: draw(EVENT_VALUES_BY_TYPE[FIELD_TYPES[name]]) for name in names})


def event(kind: str = "nacked", **fields: Any) -> Event:
    return Event("a.1", 1, 0, kind, fields)


class ParsingTest(unittest.TestCase):
    @DRAWN
    @given(TERMS)
    def test_canonical_text_parses_to_an_equal_filter(self, term: terms.Term) -> None:
        filter_ = language.make_filter(term)
        self.assertEqual(language.parse_filter(language.format_filter(filter_)), filter_)

    def test_every_error_has_a_position_and_a_suggestion(self) -> None:
        cases: list[tuple[str, type[FilterError], tuple[int, int], str]] = [
            ("destinaton = 5", filter_errors.UnknownFieldError, (1, 1), "write 'destination'"),
            ("tenant =\n acme", filter_errors.WrongTypeError, (2, 2), 'write "acme"'),
            ('tenant == "a"', filter_errors.FilterSyntaxError, (1, 8), "write ="),
            ("age > 5", filter_errors.WrongTypeError, (1, 7), "like 5s"),
            ("age > 1.5s", filter_errors.WrongTypeError, (1, 7), "1500ms"),
            ("age > 5sec", filter_errors.WrongTypeError, (1, 7), "ms, s, m or h"),
            ("age > 9999999999999h", filter_errors.OutOfBoundsError, (1, 7), "at most"),
            ('kind = "take"', filter_errors.UnknownValueError, (1, 8), "write 'taken'"),
            ('outcome = "timeout"', filter_errors.UnknownValueError, (1, 11), "write 'time-out'"),
            ('tenant < "b"', filter_errors.WrongTypeError, (1, 8), "= or !="),
            ('tenant in "a".."b"', filter_errors.WrongTypeError, (1, 1), "in (a, b)"),
            ('shots like "1*"', filter_errors.WrongTypeError, (1, 1), "= or in"),
            ("shots = 2.5", filter_errors.WrongTypeError, (1, 9), "like 5"),
            ("shots = 2 && age > 2s", filter_errors.FilterSyntaxError, (1, 11), "write 'and'"),
            ("shots = 2 AND age > 2s", filter_errors.FilterSyntaxError, (1, 11), "'and' in small"),
            ("tenant = 'a'", filter_errors.FilterSyntaxError, (1, 10), "double quotes"),
            ('tenant = "\\x"', filter_errors.FilterSyntaxError, (1, 10), "\\u00e9"),
            ("(shots = 1", filter_errors.FilterSyntaxError, (1, 11), "but )"),
            ("shots in 5..2", filter_errors.OutOfBoundsError, (1, 10), "2..5"),
            ("shots = 99999999999999999999", filter_errors.OutOfBoundsError, (1, 9), "at most"),
            ("worth < 1e999", filter_errors.OutOfBoundsError, (1, 9), "at most"),
            ("sample(2/1)", filter_errors.OutOfBoundsError, (1, 8), "sample(1/100)"),
            ("sample(0/0)", filter_errors.OutOfBoundsError, (1, 8), "sample(1/100)"),
            ("sample(.5/1)", filter_errors.FilterSyntaxError, (1, 8), "instead"),
            ("sample(1/2.5)", filter_errors.WrongTypeError, (1, 10), "sample(1/100)"),
            ('id like ""', filter_errors.InvalidGlobError, (1, 9), "1 to 64"),
            ('id like "' + "a" * 65 + '"', filter_errors.InvalidGlobError, (1, 9), "1 to 64"),
            ('id = "' + "a" * 257 + '"', filter_errors.OutOfBoundsError, (1, 6), "shorter"),
            ("not " * 33 + "has id", filter_errors.FilterTooDeepError, (1, 0), "not not"),
            ("shots in (" + ",".join(map(str, range(257))) + ")", filter_errors.TooManyTermsError, (1, 0), "split"),
            (" or ".join(['id like "*a"'] * 9), filter_errors.FilterTooCostlyError, (1, 0), "fewer globs"),
            ("has id" + " " * 4096, filter_errors.FilterTooLongError, (1, 0), "split"),
            (
                'id="123456"or ' * 255 + "has id",
                filter_errors.FilterTooLongError,
                (1, 0),
                "split",
            ),  # the text is short enough, its canonical text is too long
        ]
        for text, kind, position, suggestion in cases:
            with self.subTest(text[:40]), self.assertRaises(kind) as caught:
                language.parse_filter(text)
            self.assertEqual(caught.exception.position, position)
            self.assertIn(suggestion, str(caught.exception))

    def test_canonical_text(self) -> None:
        for text, canonical in [
            ('band  in("a" ,"a")', 'band in ("a")'),
            ('id like "a**"', 'id like "a*"'),
            ("(age>60000ms)and(has id and not(has wait))", "age > 1m and has id and not has wait"),
            ("worth = 1e3 and age = 0h", "worth = 1000 and age = 0s"),
        ]:
            self.assertEqual(language.parse_filter(text).canonical_text, canonical)

    def test_the_documentation_has_valid_filters_and_all_words_of_the_language(self) -> None:
        with open("docs/filters.md", encoding="utf-8") as file:
            page = file.read()
        shown = [line for block in re.findall(r"```filter\n(.*?)```", page, re.DOTALL) for line in block.splitlines()]
        self.assertEqual(len([language.parse_filter(line) for line in shown]), 8)
        words = {
            *FIELD_TYPES,
            *FIELDS_BY_KIND,
            *ALLOWED_VALUES["outcome"],
            *(f"{each.code}" for each in FilterError.__subclasses__()),
        }
        self.assertEqual([word for word in sorted(words) if not re.search(rf"\b{word}\b", page)], [])

    def test_deep_parentheses_are_parsed_and_invalid_texts_are_rejected(self) -> None:
        self.assertEqual(language.parse_filter("(" * 2000 + "has id" + ")" * 2000).canonical_text, "has id")
        for text in ("", "\x00", "\ud800 = 1", '"', "9" * 4000, "shots = " + "9" * 4000, "(" * 4096, "sample(1/1) has"):
            with self.subTest(text[:9]), self.assertRaises(FilterError):
                language.parse_filter(text)

    def test_the_error_names_members_with_too_low_a_feature_level(self) -> None:
        language.check_levels(language.parse_filter("shots > 2"), {"elm": 1, "fir": 1})
        for text in ("not sample(1/100) and shots > 2", 'id like "a*"'):
            with self.assertRaisesRegex(FilterTooNewError, r"level 2.*lack: elm \(level 1\); "):
                language.check_levels(language.parse_filter(text), {"elm": 1, "fir": 2})


class EvaluationTest(unittest.TestCase):
    @DRAWN
    @given(TERMS, st.lists(events(), min_size=3, max_size=6))
    def test_compiled_filters_agree_with_the_reference_matcher(
        self, term: terms.Term, drawn_events: list[Event]
    ) -> None:
        test = compile_filter(term)
        self.assertEqual(
            [test(each) for each in drawn_events], [reference_matcher.matches(term, each) for each in drawn_events]
        )

    def test_absent_fields_are_unknown_and_unknown_does_not_match(self) -> None:
        sparse_event = event("taken", destination=5)
        for text, expected in [
            ("not (age > 5s)", False),
            ("age > 5s or not age > 5s", False),
            ("age != 5s", False),
            ("not age in (5s)", False),
            ("not age in 1s..2s", False),
            ("not sample(1/1)", False),
            ('not id like "a*"', False),
            ("not (age > 5s and destination = 6)", True),
            ("age > 5s or destination = 5", True),
            ("not has age", True),
            ("not (has age or age > 5s)", False),
            ("not (destination = 6 or not has age) or destination = 5", True),
        ]:
            with self.subTest(text):
                filter_ = language.parse_filter(text)
                index = Index()
                index.add("x", filter_)
                results = (
                    reference_matcher.matches(filter_.term, sparse_event),
                    compile_filter(filter_.term)(sparse_event),
                    index.matches(sparse_event) == ["x"],
                )
                self.assertEqual(results, (expected,) * 3)

    @DRAWN
    @given(st.text("ab*?", max_size=7), st.text("ab", max_size=8))
    def test_globs_match_as_the_reference_does(self, pattern: str, text: str) -> None:
        self.assertEqual(globber(pattern)(text), reference_matcher.globbed(pattern, text))

    def test_globs(self) -> None:
        for pattern, text, expected in [
            ("7f3a*", "7f3a", True),
            ("7f3a*", "x7f3a", False),
            ("?a", "a", False),
            ("*a*b", "xaxbb", True),
            ("*a*b", "xaxbc", False),
            ("a*a", "a", False),
        ]:
            self.assertEqual(
                (globber(pattern)(text), reference_matcher.globbed(pattern, text)),
                (expected, expected),
                pattern,
            )

    def test_a_sample_selects_the_same_ids_everywhere(self) -> None:
        test = compile_filter(language.parse_filter("sample(1/100)").term)
        taken = [n for n in range(10_000) if test(event(id=f"id-{n}"))]
        self.assertEqual((len(taken), taken[:3]), (83, [24, 52, 56]))

    def test_invalid_events_are_rejected(self) -> None:
        cases: list[tuple[str, dict[str, Any]]] = [
            ("boom", {}),
            ("taken", {"shots": 1}),
            ("taken", {"destination": "5"}),
            ("taken", {"destination": True}),
            ("taken", {"worth": float("nan")}),
            ("taken", {"worth": float("inf")}),
            ("taken", {"id": "x" * 257}),
            ("taken", {"destination": 1 << 63}),
            ("taken", {"at_most_once": 1}),
        ]
        for kind, fields in cases:
            with self.subTest(fields), self.assertRaises(InvalidEventError):
                event(kind, **fields)

    def test_every_field_belongs_to_a_kind(self) -> None:
        self.assertEqual(set().union(*FIELDS_BY_KIND.values()) | {"kind"}, set(FIELD_TYPES))
        self.assertIn("time-out", ALLOWED_VALUES["outcome"])


class IndexTest(unittest.TestCase):
    @DRAWN
    @given(
        st.lists(st.tuples(st.integers(0, 5), TERMS | st.none()), min_size=4, max_size=14),
        st.lists(events(), min_size=4, max_size=8),
    )
    def test_the_index_agrees_with_the_reference_matcher(
        self, steps: list[tuple[int, terms.Term | None]], drawn_events: list[Event]
    ) -> None:
        index, terms_by_name = Index(), dict[str, terms.Term]()
        for name, term in steps:  # None removes the filter with this name
            if term is None:
                index.remove(str(name))
                terms_by_name.pop(str(name), None)
            else:
                index.add(str(name), language.make_filter(term))
                terms_by_name[str(name)] = term
            for each in drawn_events:
                expected = sorted(
                    name for name in terms_by_name if reference_matcher.matches(terms_by_name[name], each)
                )
                self.assertEqual(index.matches(each), expected)

    def test_removed_filters_leave_no_entries(self) -> None:
        index, empty = Index(), repr(vars(Index().equalities))
        for number, text in enumerate(
            [
                'tenant = "a" and destination in (1, 2)',
                'id like "ab*"',
                "shots in 2..9",
                "age > 2s",
                "age < 2s or has wait",
                "not has wait",
                "worth in -1..1e9",
            ]
            * 2
        ):
            index.add(str(number), language.parse_filter(text))
        self.assertEqual(
            index.matches(event(tenant="a", destination=2, shots=3, age=5_000_000, worth=2)),
            [str(n) for n in sorted([0, 2, 3, 5, 6, 7, 9, 10, 12, 13], key=str)],
        )
        for number in range(14):
            index.remove(str(number))
        self.assertEqual(
            (len(index), index.groups_by_text, index.unkeyed_entries, repr(vars(index.equalities))), (0, {}, {}, empty)
        )
        remaining = [vars(table) for table in index.tables.values()]
        self.assertFalse([each for contents in remaining for each in contents.values() if each], remaining)

    def test_all_implementations_agree_at_boundary_values(self) -> None:
        drawn_events = [
            event(shots=n, worth=n / 2, id=text) for n in range(7, 14) for text in ("ab", "abc", "abd", "b")
        ]
        drawn_events += [event(worth=9007199254740993), event()]
        for leaf in [
            *(
                f"{name} {operator} {value}"
                for operator in terms.NEGATED_OPERATOR
                for name, value in [("shots", 10), ("worth", 5), ("worth", 9007199254740992)]
            ),
            "shots in 9..11",
            "worth in 4.5..5",
            'id like "ab*"',
            'id like "ab"',
            'id like "ab?"',
        ]:
            for text in (leaf, f"not {leaf}"):
                filter_, index = language.parse_filter(text), Index()
                index.add("x", filter_)
                expected = [reference_matcher.matches(filter_.term, each) for each in drawn_events]
                self.assertEqual([bool(index.matches(each)) for each in drawn_events], expected, text)
                self.assertEqual([compile_filter(filter_.term)(each) for each in drawn_events], expected, text)

    def test_the_number_of_keys_of_a_filter_is_limited(self) -> None:
        many = ", ".join(map(str, range(40)))
        more, names = ", ".join(map(str, range(65))), ", ".join(f'"t{n}"' for n in range(40))
        for text in [
            f"destination in ({more})",
            f"destination in ({many}) and tenant in ({names})",
            f"destination in ({many}) or shots in ({many})",
            "shots in 0..9223372036854775807",
            "shots in 4611686018427387905..4611686018427388404",
        ]:
            index = Index()
            index.add("x", language.parse_filter(text))
            keys, tables = (
                index.groups_by_text[language.parse_filter(text).canonical_text].keys,
                [vars(table) for table in index.tables.values()],
            )
            self.assertLessEqual(len(keys), MAX_KEYS)
            self.assertLess(len(repr(tables)), 64 * 400)
            attempts = 4611686018427387950 if ".." in text else 7
            self.assertEqual(index.matches(event(destination=5, tenant="t5", shots=attempts)), ["x"])

    def test_keys_of_different_types_are_not_equal(self) -> None:
        index = Index()
        index.add("x", language.parse_filter("shots in 1..5 or shots >= 5"))
        self.assertEqual(index.matches(event(shots=9)), ["x"])

    def test_the_number_of_field_sets_is_limited(self) -> None:
        index = Index()
        names = [name for name in FIELD_TYPES if FIELD_TYPES[name] is FieldType.TEXT and name not in ALLOWED_VALUES]
        pairs = [(a, b) for a in names for b in names if a < b]
        for a, b in pairs:
            index.add(a + b, language.parse_filter(f'{a} = "x" and {b} = "y"'))
        self.assertGreater(len(pairs), 20)
        for number, (a, b) in enumerate(pairs):
            index.add(f"{number}", language.parse_filter(f'{a} = "x" and {b} = "y" and destination = 1'))
        self.assertEqual(len(index.equalities.field_sets), MAX_FIELD_SETS)
        self.assertEqual(index.matches(event(id="x", tenant="y")), ["idtenant"])
        self.assertEqual(
            index.matches(event(tenant="y", id="x", destination=1)),
            sorted(["idtenant", str(pairs.index(("id", "tenant")))]),
        )

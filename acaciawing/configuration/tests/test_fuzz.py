"""Fuzz tests of the checks of lists and settings."""

import re
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from acaciawing.configuration import (
    CheckedLists,
    Configuration,
    ConfigurationPublished,
    Finding,
    Source,
    check_lists,
    check_settings,
)
from acaciawing.configuration.tests.test_check import CUSTOMERS, PLANS
from acaciawing.configuration.tests.test_settings import SETTINGS
from acaciawing.records import Envelope, decode, encode

_TOKENS = re.findall(r"\w+|\s+|.", CUSTOMERS + PLANS)
_NOISE = ["\n", "[", "]", "[[", "]]", "{", "}", '"', "'''", '"""', "=", "."]
_NOISE += ["\\", "#", ",", "-", "1e9", "inf", "nan", "1979-05-27", "true", "\r"]
_NOISE += ["\ufeff", "\0", "č", "\U0001f600", "plans", "0x_1", "07:32:00"]

token_sequences = st.lists(st.sampled_from(_TOKENS + _NOISE), max_size=60).map(
    "".join
)


@st.composite
def mutated_texts(draw: st.DrawFn, text: str) -> str:
    """Replaces up to four slices of a valid text with noise."""
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(text)))
        end = min(len(text), start + draw(st.integers(0, 12)))
        noise = draw(st.sampled_from(_NOISE) | st.text(max_size=5))
        text = text[:start] + noise + text[end:]
    return text


def file_contents(text: str) -> st.SearchStrategy[bytes]:
    texts = mutated_texts(text) | token_sequences | st.text(max_size=80)
    return texts.map(lambda t: t.encode("utf-8", "surrogatepass")) | st.binary(
        max_size=80
    )


def assert_consistent(findings: tuple[Finding, ...], accepted: Any) -> None:
    assert (accepted is None) == bool(findings)
    for finding in findings:
        assert re.match(
            r"[a-z]+\.toml:[1-9]\d*:[1-9]\d*: [a-z-]+: .", str(finding)
        )
    assert list(findings) == sorted(findings, key=lambda f: f.place)


def assert_round_trip(configuration: Configuration) -> None:
    record = ConfigurationPublished("id", -1, "author", configuration)
    assert decode(encode(record, "operator/0")) == Envelope(
        "operator/0", record
    )


def check(customers: bytes, plans: bytes) -> CheckedLists:
    return check_lists(
        Source("customers.toml", customers), Source("plans.toml", plans)
    )


rates = st.tuples(st.integers(5000, 10**6), st.sampled_from("smh"))
names = st.from_regex(r"[a-z0-9][a-z0-9-]{0,8}", fullmatch=True)
deadlines = st.sampled_from(["1500ms", "1s", "0.25s", "2h"])
windows = st.sampled_from(["2h", "36.5h", "121m", "30d", "366d"])


@st.composite
def valid_lists(draw: st.DrawFn) -> tuple[str, str]:
    """Generates a valid list of customers and a valid list of plans."""
    services = draw(st.lists(names, min_size=1, max_size=4, unique=True))
    plans = draw(st.lists(names, min_size=1, max_size=3, unique=True))
    text = ""
    for name in plans:
        number, unit = draw(rates)
        used = draw(
            st.lists(st.sampled_from(services), min_size=1, unique=True)
        )
        text += (
            f"[plans.{name}]\n"
            f"success_rate = {draw(st.floats(0.5, 0.9999))!r}\n"
            f'window = "{draw(windows)}"\ndeadline = "{draw(deadlines)}"\n'
            f'rate = "{number}/{unit}"\n'
            f"concurrency = {draw(st.integers(1, 10**6))}\nqueue = 0\n"
            f"services = {used!r}\n"
        )
    for name in services:
        operations = draw(st.lists(names, unique=True, max_size=2))
        text += f'[services.{name}]\npool = "{draw(names)}"\n'
        text += f"idempotent_operations = {operations!r}\n"
    customers = "".join(
        f'[[customers]]\nname = "{name}"\nplan = "{plans[0]}"\n'
        f'credential_sha256 = "{number:064x}"\n'
        for number, name in enumerate(
            draw(st.lists(names, min_size=1, max_size=3, unique=True))
        )
    )
    return customers, text


# Replacement for a line of the valid lists, and the code of its finding.
_FAULTS = {
    ("customers.toml", 2): ('name = "A b"', "malformed-name"),
    ("customers.toml", 3): ("plan = 3", "wrong-type"),
    ("customers.toml", 4): ('credential_sha256 = "x"', "malformed-digest"),
    ("plans.toml", 2): ("success_rate = 2", "unmeetable-rate"),
    ("plans.toml", 3): ('window = "7x"', "wrong-unit"),
    ("plans.toml", 4): ("deadline = 2s", "syntax-error"),
    ("plans.toml", 5): ("rate = true", "wrong-type"),
    ("plans.toml", 6): ("concurrency 16", "syntax-error"),
    ("plans.toml", 7): ("queue = -1", "out-of-range"),
    ("plans.toml", 8): ('services = ["x"]', "undefined-service"),
    ("plans.toml", 9): ("colour = 1", "unknown-key"),
    ("plans.toml", 11): ('pool = "visits', "syntax-error"),
}


class TestFuzz:
    """Guards against input that crashes the check or is wrongly accepted."""

    @settings(derandomize=True, max_examples=1000, deadline=None)
    @example(b"[a\n", b"[[plans]]\n[plans.x]\n")
    @example(b"[#plans.rounds]\n", b"[a=1#]\na.b = 1\n[x\n")
    @example(b"customers = 1\n[customers]\n", b"plans.a.b = 1\nplans.a = 2\n")
    @given(file_contents(CUSTOMERS), file_contents(PLANS))
    def test_check_of_lists_never_raises(
        self, customers: bytes, plans: bytes
    ) -> None:
        checked = check(customers, plans)
        assert_consistent(checked.findings, checked.configuration)
        if checked.configuration is not None:
            assert_round_trip(checked.configuration)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(file_contents(SETTINGS))
    def test_check_of_settings_never_raises(self, data: bytes) -> None:
        checked = check_settings(Source("entry.toml", data))
        assert_consistent(checked.findings, checked.settings)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.sets(st.sampled_from(sorted(_FAULTS))))
    def test_no_fault_hides_another(self, places: set[tuple[str, int]]) -> None:
        texts = {
            "customers.toml": CUSTOMERS.split("\n"),
            "plans.toml": PLANS.split("\n"),
        }
        for file, line in places:
            texts[file][line - 1] = _FAULTS[file, line][0]
        data = ["\n".join(lines).encode() for lines in texts.values()]
        found = {
            (f.place.file, f.place.line): f.code.value
            for f in check(*data).findings
        }
        assert found == {place: _FAULTS[place][1] for place in places}

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(valid_lists())
    def test_accepted_lists_round_trip(self, texts: tuple[str, str]) -> None:
        checked = check(texts[0].encode(), texts[1].encode())
        assert checked.findings == ()
        assert checked.configuration is not None
        assert_round_trip(checked.configuration)

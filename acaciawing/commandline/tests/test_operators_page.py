"""Tests that the operators' page lists the codes and keys of the source."""

import ast
import re
from pathlib import Path

import pytest

import acaciawing
from acaciawing.commandline.administration import EntryRefused, EntryUnavailable
from acaciawing.commandline.documents import ExplainDocument
from acaciawing.commandline.publish_decisions import (
    IdInUse,
    LostRace,
    PublishUnfinished,
    StateExpired,
)
from acaciawing.commandline.report import report
from acaciawing.commandline.waves import (
    WAVE_REFUSALS,
    WaveLostRace,
    WaveRefused,
    WaveUnfinished,
)
from acaciawing.configuration import Code, customers, plans, settings
from acaciawing.configuration.fields import Key

DOCS = Path(acaciawing.__file__).parents[1] / "docs"
REFUSALS = ("NotRun", "RanAndFailed", "OutcomeUnknown")
PAGE = (DOCS / "operators.md").read_text("utf-8")


def section(number: str) -> str:
    """Returns the text of a section, from its heading to the next."""
    pattern = rf"^#+ {re.escape(number)} .*?(?=^##+ |\Z)"
    found = re.search(pattern, PAGE, re.MULTILINE | re.DOTALL)
    assert found is not None
    return found[0]


def first_column(text: str) -> list[str]:
    return re.findall(r"^\| `([a-z0-9_-]+)` \|", text, re.MULTILINE)


def request_refusals() -> set[str]:
    """Returns the refusal codes in the source, without tests."""
    codes = set()
    for path in Path(acaciawing.__file__).parent.rglob("*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if (
                isinstance(node, ast.Call)
                and getattr(node.func, "id", "") in REFUSALS
                and node.args
                and isinstance(node.args[0], ast.Constant)
            ):
                codes.add(str(node.args[0].value))
    return codes


class TestOperatorsPage:
    """Guards against a code or key that is missing from the page."""

    def test_page_lists_all_finding_codes(self) -> None:
        codes = [code.value for code in Code]
        assert first_column(section("6.")) == codes

    def test_page_lists_exit_codes_of_failed_commands(self) -> None:
        outcomes = (
            LostRace(0, 1),
            IdInUse(0),
            PublishUnfinished("", unconfirmed=False),
            PublishUnfinished("", unconfirmed=True),
            StateExpired(""),
            EntryRefused(401),
            EntryRefused(404),
            EntryUnavailable(""),
            ExplainDocument("task", "x"),
            WaveLostRace("", ""),
            WaveUnfinished("", unconfirmed=False),
            WaveUnfinished("", unconfirmed=True),
            *(WaveRefused(code, "") for code in WAVE_REFUSALS),
        )
        exit_codes = {}
        for outcome in outcomes:
            code, text = report(outcome)
            exit_codes[text.partition(":")[0]] = str(code)
        rows = re.findall(r"^\| `([a-z-]+)` \| (\d) \|", PAGE, re.MULTILINE)
        assert dict(rows) == exit_codes

    def test_page_lists_refusal_codes_of_requests(self) -> None:
        documented = set(re.findall(r"`([a-z-]+)`", section("8.")))
        assert request_refusals() <= documented

    @pytest.mark.parametrize(
        ("number", "keys"),
        [
            ("2.", settings.SETTINGS_KEYS),
            ("3.1", customers.CUSTOMER_KEYS),
            ("3.2", plans.PLAN_KEYS + plans.SERVICE_KEYS),
        ],
    )
    def test_page_lists_all_keys(
        self, number: str, keys: tuple[Key, ...]
    ) -> None:
        documented = first_column(section(number))
        assert sorted(documented) == sorted(key.name for key in keys)

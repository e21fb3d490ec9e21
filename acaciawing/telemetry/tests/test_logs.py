"""Tests of the structured logs."""

import io
import json
import re
from pathlib import Path

from acaciawing.telemetry import Event, configure_logs, log_event


class TestLogLines:
    """Guards against values that clash with context values.

    The duplicate keyword argument would raise in the task that writes the line.
    """

    def test_value_replaces_a_context_value_of_the_same_name(self) -> None:
        stream = io.StringIO()
        configure_logs("json", stream, entry="entry-1", zone="a")
        log_event(Event.REQUEST_ROUTED, {"zone": "b", "number": 5})
        line = json.loads(stream.getvalue())
        assert line["zone"] == "b"
        assert line["entry"] == "entry-1"
        assert line["number"] == "AW2001"


class TestCatalogue:
    """Guards against ambiguous or undocumented event numbers."""

    def test_numbers_are_unique(self) -> None:
        numbers = [event.number for event in Event]
        assert len(numbers) == len(set(numbers))

    def test_page_lists_all_events(self) -> None:
        root = Path(__file__).parents[3]
        page = (root / "docs" / "events.md").read_text("utf-8")
        listed = dict(re.findall(r"^\| (AW\d{4}) \| ([^|]+?) \|", page, re.M))
        assert listed == {event.number: event.text for event in Event}

"""Tests of the metrics."""

import json
import re
from pathlib import Path
from typing import Any

from acaciawing.entry.readings import Tallies, readings
from acaciawing.entry.tests.views import NOW, OWN, make_view
from acaciawing.telemetry import COUNTERS, GAUGES, LABELS, Metrics

TALLIES = Tallies(
    {("accepted", ""): 40, ("ignored", "stale-epoch"): 2}, {("run", ""): 7}
)


def collect() -> dict[str, dict[tuple[tuple[str, str], ...], float]]:
    """Values by instrument and labels, as an operator reads them."""
    view = make_view()
    metrics = Metrics("e", "a", lambda: readings(OWN, view, TALLIES, NOW))
    metrics.collect()
    data: Any = json.loads(metrics.collect())
    scopes = data["resource_metrics"][0]["scope_metrics"][0]["metrics"]
    return {
        metric["name"]: {
            tuple(sorted(point["attributes"].items())): point["value"]
            for point in metric["data"]["data_points"]
        }
        for metric in scopes
    }


class TestMetrics:
    """Guards against instruments that are listed and never served."""

    def test_every_instrument_has_a_value(self) -> None:
        assert set(collect()) == {*COUNTERS, *GAUGES}

    def test_values(self) -> None:
        seen = collect()
        assert seen["acaciawing.requests"] == {
            (("outcome", "succeeded"), ("plan", "gold")): 1010,
            (("outcome", "failed"), ("plan", "gold")): 2,
            (("outcome", "refused"), ("plan", "gold")): 4,
        }
        refusals = seen["acaciawing.refusals"]
        assert refusals[("code", "rate-limit"), ("plan", "gold")] == 4
        assert seen["acaciawing.endpoints"][(("status", "ejected"),)] == 1
        assert seen["acaciawing.attempts"][(("outcome", "failure"),)] == 5
        assert seen["acaciawing.leases.held"] == {(): 1}
        assert seen["acaciawing.members"] == {(): 2}
        ignored = (("code", "stale-epoch"), ("outcome", "ignored"))
        assert seen["acaciawing.records"][ignored] == 2

    def test_labels_are_bounded(self) -> None:
        """A label such as the request id would grow without end."""
        used = {
            label
            for points in collect().values()
            for labels in points
            for label, _ in labels
        }
        assert used <= LABELS

    def test_page_lists_the_instruments_of_the_code(self) -> None:
        root = Path(__file__).parents[3]
        page = (root / "docs" / "measures.md").read_text("utf-8")
        rows = re.findall(
            r"^\| `(acaciawing\.[\w.]+)` \| (\w+) \| `(\S+)` \| ([^|]+?) \|",
            page,
            re.M,
        )
        code = [("counter", COUNTERS), ("gauge", GAUGES)]
        assert sorted(rows) == sorted(
            (name, kind, unit, meaning)
            for kind, instruments in code
            for name, (unit, meaning) in instruments.items()
        )

"""Tests of the metrics."""

import json
import re
from pathlib import Path
from typing import Any

from acaciawing.entry.metric_values import ProcessCounts, metric_values
from acaciawing.entry.tests.views import NOW, OWN, make_view
from acaciawing.telemetry import COUNTERS, GAUGES, LABELS, Metrics

PROCESS_COUNTS = ProcessCounts(
    {("accepted", ""): 40, ("ignored", "stale-epoch"): 2}, {("run", ""): 7}
)


def collect() -> dict[str, dict[tuple[tuple[str, str], ...], float]]:
    """Returns the exported values by instrument and labels."""
    view = make_view()
    metrics = Metrics(
        "e", "a", lambda: metric_values(OWN, view, PROCESS_COUNTS, NOW)
    )
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
    """Guards against instruments that are documented but not exported."""

    def test_every_instrument_has_a_value(self) -> None:
        assert set(collect()) == {*COUNTERS, *GAUGES}

    def test_values_by_label(self) -> None:
        values = collect()
        assert values["acaciawing.requests"] == {
            (("outcome", "succeeded"), ("plan", "gold")): 1010,
            (("outcome", "failed"), ("plan", "gold")): 2,
            (("outcome", "refused"), ("plan", "gold")): 4,
        }
        refusals = values["acaciawing.refusals"]
        assert refusals[("code", "rate-limit"), ("plan", "gold")] == 4
        assert values["acaciawing.endpoints"][(("status", "ejected"),)] == 1
        assert values["acaciawing.attempts"][(("outcome", "failure"),)] == 5
        assert values["acaciawing.leases.held"] == {(): 1}
        assert values["acaciawing.members"] == {(): 2}
        ignored = (("code", "stale-epoch"), ("outcome", "ignored"))
        assert values["acaciawing.records"][ignored] == 2

    def test_labels_have_bounded_values(self) -> None:
        """A label such as the request id would add series without bound."""
        used = {
            label
            for points in collect().values()
            for labels in points
            for label, _ in labels
        }
        assert used <= LABELS

    def test_page_lists_all_instruments(self) -> None:
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

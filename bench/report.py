"""Rows of the benchmark report, its JSON form and its page."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from tabulate import tabulate


@dataclass(frozen=True)
class Row:
    """One figure and its goal.

    Attributes:
        name: What was measured, unique in the report.
        value: The figure; the median if there are several runs.
        unit: Its unit.
        goal: Bound from the design page, if any.
        at_most: Whether the goal is an upper bound.
        runs: Number of runs.
        low: Smallest value of the runs.
        high: Largest value of the runs.
        note: What the figure leaves out.
    """

    name: str
    value: float
    unit: str
    goal: float | None = None
    at_most: bool = True
    runs: int = 1
    low: float = 0.0
    high: float = 0.0
    note: str = ""

    @property
    def met(self) -> bool | None:
        """Whether the goal was reached; None without a goal."""
        if self.goal is None:
            return None
        if self.at_most:
            return self.value <= self.goal
        return self.value >= self.goal


def row_of_runs(
    name: str, values: list[float], unit: str, **fields: Any
) -> Row:
    """Creates a row with the median and the spread of several runs."""
    ranked = sorted(values)
    median_value = ranked[len(ranked) // 2]
    return Row(
        name,
        median_value,
        unit,
        runs=len(ranked),
        low=ranked[0],
        high=ranked[-1],
        **fields,
    )


def write_json(rows: list[Row], path: Path) -> None:
    """Writes the rows in a stable order."""
    path.write_text(json.dumps([asdict(r) for r in rows], indent=1) + "\n")


def read_json(path: Path) -> dict[str, Row]:
    """Reads the rows of the previous report by name; empty if there is none."""
    if not path.exists():
        return {}
    return {r["name"]: Row(**r) for r in json.loads(path.read_text("utf-8"))}


def table(rows: list[Row], previous: dict[str, Row], style: str) -> str:
    """Formats the report as a table.

    Args:
        rows: Rows of this run.
        previous: Rows of the last committed report.
        style: Table format of tabulate, for example ``github``.
    """
    lines = []
    for row in rows:
        before = previous.get(row.name)
        lines.append(
            (
                row.name,
                f"{row.value:.4g} {row.unit}".strip(),
                f"{row.low:.4g} to {row.high:.4g} ({row.runs})"
                if row.runs > 1
                else "",
                _goal(row),
                {True: "yes", False: "NO", None: ""}[row.met],
                f"{before.value:.4g}" if before else "",
                row.note,
            )
        )
    headers = ("figure", "value", "spread (runs)", "goal", "met", "before", "")
    return tabulate(
        lines, headers=headers, tablefmt=style, disable_numparse=True
    )


def _goal(row: Row) -> str:
    if row.goal is None:
        return ""
    sign = "<=" if row.at_most else ">="
    return f"{sign} {row.goal:g}"

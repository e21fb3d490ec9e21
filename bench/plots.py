"""Plots of the figures that depend on the size of the fleet."""

import re
from collections import defaultdict
from pathlib import Path

import matplotlib

from bench.report import Row

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

# File name, title and pattern of the row names; the group is the fleet size,
# in workers.
_PLOTS = (
    ("idle-core", "Idle entry daemon", r"idle daemon, (\d+) workers"),
    ("idle-memory", "Memory of an entry daemon", r"idle daemon memory, (\d+)"),
    (
        "routing",
        "Routing decision, several pools",
        r"routing decision, (\d+) .*",
    ),
    ("fold", "Fold of the control stream", r"fold, (\d+) instances"),
    ("snapshot", "Snapshot", r"snapshot, (\d+) instances"),
    (
        "placement",
        "Placement of one task",
        r"placement mean, place, (\d+) workers",
    ),
)


def write_plots(rows: list[Row], folder: Path) -> list[str]:
    """Writes a PNG for each figure that was measured at several fleet sizes.

    Args:
        rows: Rows of the report.
        folder: Folder for the files.

    Returns:
        Names of the written files.
    """
    folder.mkdir(exist_ok=True)
    written = []
    for name, title, pattern in _PLOTS:
        points: dict[int, list[float]] = defaultdict(list)
        unit, goal = "", None
        for row in rows:
            row_match = re.match(pattern, row.name)
            if row_match:
                points[int(row_match[1])].append(row.value)
                unit, goal = row.unit, row.goal
        if len(points) > 1:
            _write(folder / f"{name}.png", title, points, unit, goal)
            written.append(f"{name}.png")
    return written


def _write(
    path: Path,
    title: str,
    points: dict[int, list[float]],
    unit: str,
    goal: float | None,
) -> None:
    figure, axes = plt.subplots(figsize=(5, 3), dpi=100)
    sizes = sorted(points)
    axes.plot(sizes, [max(points[size]) for size in sizes], marker="o")
    if goal is not None:
        axes.axhline(goal, linestyle="--", color="gray", label="goal")
        axes.legend()
    axes.set(title=title, xlabel="workers", ylabel=unit)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, metadata={"Software": None})
    plt.close(figure)

"""Table of the demonstration and whether its promises held."""

from collections import Counter
from dataclasses import dataclass

from tabulate import tabulate

from demo.load import Sent


@dataclass(frozen=True)
class Row:
    """One line of the table.

    Attributes:
        what: What was promised.
        promised: The promise, as text.
        achieved: What was seen, as text.
        held: Whether the promise held.
    """

    what: str
    promised: str
    achieved: str
    held: bool


def plan_rows(sent: list[Sent], promised: dict[str, float]) -> list[Row]:
    """Promised and achieved rate of each plan."""
    rows = []
    for plan, rate in promised.items():
        mine = [s for s in sent if s.plan == plan]
        good = sum(s.outcome == "ok" for s in mine)
        share = good / len(mine) if mine else 0.0
        rows.append(
            Row(
                f"success rate, plan {plan} ({len(mine)} requests)",
                f">= {rate:.4f}",
                f"{share:.4f}",
                share >= rate,
            )
        )
    return rows


def integrity_rows(
    sent: list[Sent], repeats: list[Sent], runs: dict[str, int]
) -> list[Row]:
    """Requests that were lost, doubled, crossed or falsely refused."""
    lost = [s for s in sent if s.outcome == "ok" and not runs.get(s.request_id)]
    doubled = [
        s for s in sent if s.method == "POST" and runs.get(s.request_id, 0) > 1
    ]
    every = [*sent, *repeats]
    crossed = [s for s in every if s.outcome == "crossed"]
    false = [
        s for s in every if s.outcome == "not-run" and runs.get(s.request_id)
    ]
    told = Counter(repeat.outcome for repeat in repeats)
    text = ", ".join(f"{count} {name}" for name, count in sorted(told.items()))
    return [
        Row(f"repeats of {len(repeats)} bookings answered", "", text, True),
        *_counted(lost, doubled, crossed, false),
    ]


def _counted(
    lost: list[Sent],
    doubled: list[Sent],
    crossed: list[Sent],
    false: list[Sent],
) -> list[Row]:
    return [
        Row(f"requests {name}", "0", str(len(found)), not found)
        for name, found in (
            ("lost", lost),
            ("doubled", doubled),
            ("crossed", crossed),
            ("falsely refused", false),
        )
    ]


def timed_row(what: str, limit_s: float, seconds: float | None) -> Row:
    """A time against its limit; None means that the limit passed."""
    achieved = "not reached" if seconds is None else f"{seconds:.2f} s"
    held = seconds is not None and seconds <= limit_s
    return Row(what, f"<= {limit_s:g} s", achieved, held)


def render(rows: list[Row]) -> str:
    """The table as text."""
    return tabulate(
        [
            (row.what, row.promised, row.achieved, "yes" if row.held else "NO")
            for row in rows
        ],
        headers=("what", "promised", "achieved", "held"),
    )

"""Result table of the demonstration."""

from collections import Counter
from dataclasses import dataclass

from tabulate import tabulate

from demo.load import SentRequest


@dataclass(frozen=True)
class Row:
    """One line of the table.

    Attributes:
        description: Description of the measurement or guarantee.
        promised: Guaranteed value, as text; empty if there is none.
        achieved: Measured value, as text.
        met: Whether the guarantee was met.
    """

    description: str
    promised: str
    achieved: str
    met: bool


def success_rate_rows(
    sent: list[SentRequest], promised: dict[str, float]
) -> list[Row]:
    """Returns the promised and the achieved success rate of each plan."""
    rows = []
    for plan, rate in promised.items():
        plan_requests = [s for s in sent if s.plan == plan]
        ok_count = sum(s.outcome == "ok" for s in plan_requests)
        achieved_rate = ok_count / len(plan_requests) if plan_requests else 0.0
        rows.append(
            Row(
                f"success rate, plan {plan} ({len(plan_requests)} requests)",
                f">= {rate:.4f}",
                f"{achieved_rate:.4f}",
                achieved_rate >= rate,
            )
        )
    return rows


def integrity_rows(
    sent: list[SentRequest], repeats: list[SentRequest], runs: dict[str, int]
) -> list[Row]:
    """Returns the counts of requests handled incorrectly, and of repeats.

    Lost requests succeeded but never ran, doubled ones ran more than once,
    crossed ones got the answer of another request, and falsely refused ones
    ran although they were refused as not run.
    """
    lost = [s for s in sent if s.outcome == "ok" and not runs.get(s.request_id)]
    duplicated = [
        s for s in sent if s.method == "POST" and runs.get(s.request_id, 0) > 1
    ]
    all_requests = [*sent, *repeats]
    crossed = [s for s in all_requests if s.outcome == "crossed"]
    falsely_refused = [
        s
        for s in all_requests
        if s.outcome == "not-run" and runs.get(s.request_id)
    ]
    repeat_outcomes = Counter(repeat.outcome for repeat in repeats)
    text = ", ".join(
        f"{count} {name}" for name, count in sorted(repeat_outcomes.items())
    )
    return [
        Row(f"repeats of {len(repeats)} bookings answered", "", text, True),
        *_zero_count_rows(lost, duplicated, crossed, falsely_refused),
    ]


def _zero_count_rows(
    lost: list[SentRequest],
    duplicated: list[SentRequest],
    crossed: list[SentRequest],
    falsely_refused: list[SentRequest],
) -> list[Row]:
    return [
        Row(f"requests {name}", "0", str(len(requests)), not requests)
        for name, requests in (
            ("lost", lost),
            ("doubled", duplicated),
            ("crossed", crossed),
            ("falsely refused", falsely_refused),
        )
    ]


def duration_row(
    description: str, limit_s: float, seconds: float | None
) -> Row:
    """Compares a duration with its limit; None means that it timed out."""
    achieved = "not reached" if seconds is None else f"{seconds:.2f} s"
    met = seconds is not None and seconds <= limit_s
    return Row(description, f"<= {limit_s:g} s", achieved, met)


def render(rows: list[Row]) -> str:
    """Renders the table as text."""
    return tabulate(
        [
            (
                row.description,
                row.promised,
                row.achieved,
                "yes" if row.met else "NO",
            )
            for row in rows
        ],
        headers=("what", "promised", "achieved", "held"),
    )

"""Baseline ledger: applies every record and ignores budget epochs."""

from dataclasses import dataclass, field

from acaciawing.budgets import BudgetReserved, PlanCounts


@dataclass
class BaselineLedger:
    """Sums all records, including repeated and late ones."""

    requests: int = 0
    failed: int = 0
    reserved: float = 0.0
    last: dict[str, int] = field(default_factory=dict)

    def count(self, record: PlanCounts) -> None:
        for count in record.counts:
            # Each record is treated as an increase over the last one read.
            self.requests += count.requests - self.last.get("requests", 0)
            self.failed += count.failed - self.last.get("failed", 0)
            self.last = {"requests": count.requests, "failed": count.failed}

    def reserve(self, record: BudgetReserved) -> None:
        self.reserved += sum(a.failures for a in record.amounts)

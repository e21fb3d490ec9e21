"""Counts of final answers by plan."""

from dataclasses import dataclass, field


@dataclass
class PlanCounts:
    """Final answers of one plan since the start of the daemon.

    Attributes:
        succeeded: Whole answers below status 500.
        failed: Requests that broke the plan's promise.
        refused: Requests refused because the plan asked above its allowance.
        codes: Refusals by code.
    """

    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    codes: dict[str, int] = field(default_factory=dict)

    def copy(self) -> "PlanCounts":
        """A copy for another task."""
        return PlanCounts(
            self.succeeded, self.failed, self.refused, dict(self.codes)
        )

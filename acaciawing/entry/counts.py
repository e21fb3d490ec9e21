"""Counts of final answers by plan."""

from dataclasses import dataclass, field


@dataclass
class PlanCounts:
    """Final answers of one plan since the start of the daemon.

    Attributes:
        succeeded: Complete answers below status 500.
        failed: Requests that count against the plan's promised rate.
        refused: Requests refused for reasons that the caller causes, such as
            a plan above its allowance or a repeat.
        codes: Refusals by code.
    """

    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    codes: dict[str, int] = field(default_factory=dict)

    def copy(self) -> "PlanCounts":
        """Returns a copy for another task."""
        return PlanCounts(
            self.succeeded, self.failed, self.refused, dict(self.codes)
        )

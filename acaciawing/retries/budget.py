"""Retry budget of each plan in one entry instance.

A token bucket that is filled by requests instead of time, so that the bound on
extra load holds at any rate. Amounts are integers, so that no rounding adds a
retry over a long run.
"""

from dataclasses import dataclass, replace

from immutables import Map

_TOKEN = 10_000
_BURST = 5 * _TOKEN
# 8% of requests, less a hundredth of a percent point: with exactly 8% and a
# burst of 5, a window of 250 requests could hold 25 retries, which is 1.1
# times the offered load and not under it.
_DEPOSIT = 799


@dataclass(frozen=True)
class RetryBudget:
    """Retries and hedges that a plan may still send.

    Attributes:
        balance: Ten-thousandths of one retry.
    """

    balance: int = _BURST

    @property
    def whole(self) -> int:
        """Retries that may be sent now.

        >>> RetryBudget().whole
        5
        """
        return self.balance // _TOKEN

    def add_request(self) -> "RetryBudget":
        """The budget after one more request of the plan."""
        return replace(self, balance=min(_BURST, self.balance + _DEPOSIT))

    def spent(self) -> "RetryBudget":
        """The budget after one retry or hedge.

        Raises:
            ValueError: If there is no whole token.
        """
        if self.whole < 1:
            raise ValueError("no retry left")
        return replace(self, balance=self.balance - _TOKEN)


@dataclass(frozen=True)
class RetryBudgets:
    """Budgets by plan name; a plan not seen yet has a full one."""

    plans: Map[str, RetryBudget] = Map()

    def of(self, plan: str) -> RetryBudget:
        """The budget of a plan."""
        return self.plans.get(plan, RetryBudget())

    def add_request(self, plan: str) -> "RetryBudgets":
        """The budgets after one more request; not for retries and hedges."""
        return RetryBudgets(self.plans.set(plan, self.of(plan).add_request()))

    def spent(self, plan: str) -> "RetryBudgets":
        """The budgets after one retry or hedge of the plan."""
        return RetryBudgets(self.plans.set(plan, self.of(plan).spent()))

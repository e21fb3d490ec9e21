"""Retry budget of each plan in one entry instance.

The budget is a token bucket that is refilled by requests instead of time, so the
bound on additional load holds at any request rate. Balances are integers, so no
retries are gained through rounding.
"""

from dataclasses import dataclass, replace

from immutables import Map

_UNITS_PER_RETRY = 10_000
_MAX_BALANCE = 5 * _UNITS_PER_RETRY
# Slightly less than 8% of a retry. With exactly 8% and a burst of 5, a window of
# 250 requests could hold 25 retries, which is 1.1 times the offered load; the
# bound is below 1.1.
_UNITS_PER_REQUEST = 799


@dataclass(frozen=True)
class RetryBudget:
    """Retries and hedges that a plan may still send.

    Attributes:
        balance: Remaining budget in ten-thousandths of a retry.
    """

    balance: int = _MAX_BALANCE

    @property
    def available_retries(self) -> int:
        """Number of retries that may be sent now.

        >>> RetryBudget().available_retries
        5
        """
        return self.balance // _UNITS_PER_RETRY

    def add_request(self) -> "RetryBudget":
        """Returns the budget after a request of the plan."""
        return replace(
            self, balance=min(_MAX_BALANCE, self.balance + _UNITS_PER_REQUEST)
        )

    def spend_retry(self) -> "RetryBudget":
        """Returns the budget after a retry or hedge.

        Raises:
            ValueError: If less than one retry is left.
        """
        if self.available_retries < 1:
            raise ValueError("no retry left in the budget")
        return replace(self, balance=self.balance - _UNITS_PER_RETRY)


@dataclass(frozen=True)
class RetryBudgets:
    """Budgets by plan name; a plan without an entry has a full budget."""

    plans: Map[str, RetryBudget] = Map()

    def budget_of(self, plan: str) -> RetryBudget:
        """Returns the budget of a plan."""
        return self.plans.get(plan, RetryBudget())

    def add_request(self, plan: str) -> "RetryBudgets":
        """Returns the budgets after a request that is no retry or hedge."""
        return RetryBudgets(
            self.plans.set(plan, self.budget_of(plan).add_request())
        )

    def spend_retry(self, plan: str) -> "RetryBudgets":
        """Returns the budgets after a retry or hedge of the plan."""
        return RetryBudgets(
            self.plans.set(plan, self.budget_of(plan).spend_retry())
        )

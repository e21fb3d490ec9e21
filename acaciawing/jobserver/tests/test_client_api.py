"""Tests of what clients may send."""

import math

import pytest

from acaciawing.jobs import Queue
from acaciawing.jobserver.client_api import _time_budget_s


class TestTimeBudget:
    """Guards against a client's time-out that no wait can take."""

    @pytest.mark.parametrize("text", ["9" * 400, "9" * 30, "٣", "-1", "", "x"])
    def test_odd_time_budget_is_bounded(self, text: str) -> None:
        queue = Queue("q", "h", "/p/", "s", timeout_ms=3000)
        budget_s = _time_budget_s({"HTTP_TIME_BUDGET": text}, queue)
        assert math.isfinite(budget_s)
        assert 0 < budget_s <= 3600

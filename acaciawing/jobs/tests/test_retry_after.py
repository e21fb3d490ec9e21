"""Tests of what clients get in an outage of the store."""

import random
from collections import Counter
from collections.abc import Callable

import pytest

from acaciawing.jobs.retry_after import MAX_RETRY_AFTER_S, retry_after_s

_RETRIES = 4


def _answered_at(
    sent_at: float, outage_s: float, pause: Callable[[float], float]
) -> float | None:
    """Returns when a client's request is accepted; None if it gives up."""
    now = sent_at
    for _ in range(1 + _RETRIES):
        if now >= outage_s:
            return now
        now += pause(now)
    return None


class TestRetryAfter:
    """Guards against clients that give up before an outage ends."""

    @pytest.mark.parametrize("outage_s", [2.0, 4.2, 6.0])
    def test_clients_of_an_outage_are_served_after_it(
        self, outage_s: float
    ) -> None:
        rng = random.Random(5)
        for _ in range(200):
            sent_at = rng.uniform(0.0, outage_s)
            answered_at = _answered_at(
                sent_at, outage_s, lambda now: retry_after_s(now, rng.random())
            )
            assert answered_at is not None
            assert answered_at - outage_s <= MAX_RETRY_AFTER_S + 1

    def test_equal_pauses_would_lose_the_first_clients(self) -> None:
        lost = [
            t / 10
            for t in range(60)
            if not _answered_at(t / 10, 6.0, lambda _: 1.0)
        ]
        assert len(lost) >= 19

    def test_clients_return_spread_over_time(self) -> None:
        rng = random.Random(5)
        pauses = Counter(retry_after_s(2.5, rng.random()) for _ in range(100))
        assert min(pauses[2], pauses[3]) > 30

    def test_single_refusal_asks_for_a_short_pause(self) -> None:
        assert {retry_after_s(0.0, n / 10) for n in range(10)} == {1}

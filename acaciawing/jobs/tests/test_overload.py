"""Tests of what callers get when turns of demand exceed the fleet."""

import pytest

from acaciawing.jobs.tests.pool_emulator import (
    EXPIRY_S,
    OBJECTIVE_S,
    PoolEmulator,
)

_MACHINES = 40

# Jobs a second at a peak that the whole fleet can just serve, if moves took no
# time: 40 machines with 7 slots, 8 subtasks of 1.2 s for each job.
_FULL_RATE = 29.0


def _play(
    peak_rate: float,
    *,
    tells_late_work: bool = True,
) -> PoolEmulator:
    emulator = PoolEmulator(
        _MACHINES,
        peak_rate,
        5.0,
        tells_late_work=tells_late_work,
    )
    emulator.play(60.0)
    return emulator


class TestOverload:
    """Guards against worthless backlogs that make the next pool's work late."""

    @pytest.mark.parametrize("load", [0.7, 0.85, 1.0])
    def test_more_callers_are_served_under_overload(self, load: float) -> None:
        unaware = _play(load * _FULL_RATE, tells_late_work=False)
        aware = _play(load * _FULL_RATE)
        for limit_s, gain in ((OBJECTIVE_S, 1.0), (EXPIRY_S, 1.1)):
            assert aware.served_share(limit_s) > gain * unaware.served_share(
                limit_s
            )

    def test_usual_load_is_served_as_before(self) -> None:
        usual = 0.35 * _FULL_RATE
        unaware = _play(usual, tells_late_work=False)
        assert _play(usual).served_share(OBJECTIVE_S) >= unaware.served_share(
            OBJECTIVE_S
        )

    def test_no_pool_starves(self) -> None:
        emulator = _play(0.7 * _FULL_RATE)
        shares = [
            sum(t <= OBJECTIVE_S for t in times) / len(times)
            for times in emulator.latencies_s.values()
        ]
        assert min(shares) > max(shares) / 2

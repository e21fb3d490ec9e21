"""Check of the cells' holders over all orders of some disturbances.

An instance that was cut off from the store expires as a member; another one
takes its cell over and may lose it again, before the first one hears of it. The
rules are checked from outside: on the workers, after each call.
"""

from collections.abc import Iterator
from functools import partial
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobserver.tests.holder_model import (
    Clock,
    Event,
    Link,
    RuleBrokenError,
    World,
    replace_parts,
)

# Time for the first holder to acquire the cell and to reach the workers.
_START_S = 0.4

# Number of events in each order of the bounded searches.
_DEPTH = 3
_SHORT_DEPTH = 2
_LONG_DEPTH = 5

_MAX_EVENTS = 10
_MAX_EXAMPLES = 200


@pytest.fixture
def clock() -> Iterator[Clock]:
    with pytest.MonkeyPatch.context() as monkeypatch:
        yield replace_parts(monkeypatch)


def _set_link(world: World, name: str, link: Link) -> None:
    world.instances[name].link = link


def _pass_time(world: World) -> None:
    del world


def _restart(world: World, name: str) -> None:
    world.restart(name)


def _toggle_slow(world: World, name: str) -> None:
    """Lets starts arrive late, or all of those arrive."""
    instance = world.instances[name]
    instance.slow = not instance.slow
    if not instance.slow:
        world.deliver()


def _toggle_stalled(world: World, name: str) -> None:
    world.instances[name].stalled = not world.instances[name].stalled


def _toggle_worker(world: World, name: str, worker: str) -> None:
    world.instances[name].reached ^= {worker}


def _reverse(world: World) -> None:
    world.reverse = not world.reverse


def _link_events(name: str, link: Link, *durations: float) -> list[Event]:
    return [
        Event(
            f"{name}: {link.value}", partial(_set_link, name=name, link=link), s
        )
        for s in durations
    ]


_COMMON_EVENTS = [
    Event("time passes", _pass_time, 1.1),
    Event("time passes", _pass_time, 5.0),
    Event("a job is submitted", World.submit, 1.1),
    Event("a job is submitted", World.submit, 0.2),
    Event("rebalance", World.rebalance, 0.2),
    Event("b restarts", partial(_restart, name="b"), 0.2),
    *_link_events("a", Link.UP, 0.2),
]

_CUT_EVENTS = [
    *_COMMON_EVENTS,
    *_link_events("a", Link.DOWN, 1.1, 0.2),
    *_link_events("a", Link.NO_ANSWERS, 1.1, 0.2),
    *_link_events("a", Link.LATE, 1.1),
]

_NO_JOIN_EVENTS = [
    *_COMMON_EVENTS,
    *_link_events("a", Link.NO_JOINS, 1.1, 0.2),
]


def _check(world: World, events: tuple[Event, ...] | list[Event]) -> None:
    """Plays events; fails with the trace if a rule is broken."""
    broken = ""
    try:
        for event in events:
            event.change(world)
            world.run(event.seconds)
        world.settle()
    except RuleBrokenError as error:
        broken = str(error)
    assert not broken, "\n".join(
        [broken, *map(repr, events), "", *world.history]
    )


# Of five such events, none lets a member expire.
_SHORT_EVENTS = [
    Event("a job is submitted", World.submit, 0.15),
    Event("rebalance", World.rebalance, 0.15),
    *_link_events("a", Link.UP, 0.15),
    *_link_events("a", Link.DOWN, 0.15),
]


def _check_all_orders(
    clock: Clock, events: list[Event], depth: int, *, parted: bool
) -> None:
    """Plays all orders of events, and prints how many these were.

    Args:
        clock: The clock.
        events: The events; each may stand anywhere in an order.
        depth: Number of events in each order.
        parted: Whether each instance reaches only its own worker at first.
    """
    orders = steps = 0
    for order in product(events, repeat=depth):
        clock.reset()
        world = World(clock, instances=2, workers=2)
        world.run(_START_S)
        if parted:
            world.part_zones()
        _check(world, order)
        orders += 1
        steps += world.steps
    print(f"{orders} orders, {steps} steps of all instances")
    assert orders == len(events) ** depth


class TestTwoInstances:
    """Guards against runs by a holder that another one has replaced."""

    def test_no_cut_from_the_store_lets_a_subtask_run_twice(
        self, clock: Clock
    ) -> None:
        _check_all_orders(clock, _CUT_EVENTS, _DEPTH, parted=True)

    def test_no_cut_from_the_store_alone_loses_a_job(
        self, clock: Clock
    ) -> None:
        _check_all_orders(clock, _CUT_EVENTS, _SHORT_DEPTH, parted=False)

    def test_no_rebalance_within_a_lifetime_lets_a_subtask_run_twice(
        self, clock: Clock
    ) -> None:
        _check_all_orders(clock, _SHORT_EVENTS, _LONG_DEPTH, parted=True)

    def test_no_loss_of_joins_alone_lets_a_subtask_run_twice(
        self, clock: Clock
    ) -> None:
        _check_all_orders(clock, _NO_JOIN_EVENTS, _DEPTH, parted=True)


_DISTURBED = ("a", "b")

# Events with which orders are sampled; those that matter most stand twice.
_SAMPLED_EVENTS = [
    Event("time passes", _pass_time, 1.1),
    Event("time passes", _pass_time, 5.0),
    *2
    * [Event("a job is submitted", World.submit, s) for s in (0.0, 0.2, 1.1)],
    Event("rebalance", World.rebalance, 0.0),
    Event("rebalance", World.rebalance, 0.2),
    Event("the zones are parted or not", World.part_zones, 0.2),
    Event("the last instance acts first or not", _reverse, 0.0),
    *(
        event
        for name in _DISTURBED
        for link in (Link.UP, Link.DOWN, Link.NO_ANSWERS, Link.LATE)
        for event in _link_events(name, link, 0.2, 1.1)
    ),
    *(
        Event(f"{name} {what}", partial(change, name=name), seconds)
        for name in _DISTURBED
        for what, change, seconds in (
            ("restarts", _restart, 0.2),
            ("has slow starts or not", _toggle_slow, 0.2),
            ("stalls or not", _toggle_stalled, 0.2),
            ("stalls or not", _toggle_stalled, 1.1),
        )
    ),
    *(
        Event(
            f"{name} parted from {worker} or not",
            partial(_toggle_worker, name=name, worker=worker),
            0.2,
        )
        for name in _DISTURBED
        for worker in ("w1", "w2")
    ),
]


class TestThreeInstances:
    """Guards against the same in longer orders of more disturbances."""

    def test_no_sampled_order_lets_a_subtask_run_twice(
        self, clock: Clock
    ) -> None:
        @settings(max_examples=_MAX_EXAMPLES, derandomize=True, deadline=None)
        @given(
            st.lists(
                st.sampled_from(_SAMPLED_EVENTS),
                min_size=_MAX_EVENTS // 2,
                max_size=_MAX_EVENTS,
            )
        )
        def check(events: list[Event]) -> None:
            clock.reset()
            world = World(clock, instances=3, workers=3)
            world.run(_START_S)
            world.part_zones()
            _check(world, events)

        check()

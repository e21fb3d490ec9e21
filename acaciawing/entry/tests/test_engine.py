"""Tests of the scheduler's decisions, with injected time."""

from dataclasses import replace
from queue import SimpleQueue

from immutables import Map

from acaciawing.configuration import (
    Configuration,
    ConfigurationState,
    Plan,
    Service,
)
from acaciawing.entry.engine import Engine
from acaciawing.entry.messages import (
    Completed,
    Finished,
    Granted,
    ListingSeen,
    StateChanged,
    Submit,
)
from acaciawing.exchange import Interrupted
from acaciawing.fold import FleetState
from acaciawing.maintenance import (
    Bounds,
    Down,
    Member,
    Place,
    Stage,
    Wave,
    WaveTable,
)
from acaciawing.outcomes import NotRun
from acaciawing.ownership import (
    LEAVING,
    SERVING,
    OwnedInstance,
    Ownership,
)
from acaciawing.platform import ListedInstance, Listing
from acaciawing.routing import Result

_SERVICES = (
    Service("visits", "visits", slots=2, spill=True),
    Service("portal", "portal", slots=2, spare=True),
)


def plan(name: str, **changes: object) -> Plan:
    values = {
        "success_rate": 0.999,
        "window_s": 3600.0,
        "deadline_s": 2.0,
        "rate_per_s": 1000.0,
        "concurrency": 100,
        "queue": 100,
        "services": ("visits", "portal"),
        **changes,
    }
    return Plan(name, **values)  # type: ignore[arg-type]


def listed(
    name: str, incarnation: int = 1, state: str = "live", rack: str = ""
) -> object:
    pool, _, number = name.rpartition("-")
    return ListedInstance(
        name,
        incarnation,
        pool,
        "a",
        rack or f"r{number}",
        f"192.0.2.1:{len(name)}",
        state,
    )


class Bench:
    """An engine with one customer and a few workers."""

    def __init__(self, *plans: Plan, workers: tuple[str, ...]) -> None:
        """Lists the workers and puts the plans in force."""
        self.engine = Engine("entry-1", "a", queue_limit=4)
        configuration = Configuration((), plans, _SERVICES)
        state = FleetState(
            configuration=ConfigurationState(1, "p", 0.0, configuration)
        )
        self.engine.state_changed(StateChanged(state), 0.0)
        self.list(1.0, *(listed(name) for name in workers))
        self._count = 0

    def list(self, as_of: float, *instances: object) -> None:
        listing = Listing(as_of, tuple(instances))  # type: ignore[arg-type]
        self.engine.listing_seen(ListingSeen(listing), as_of)

    def again(self, granted: Granted, now: float) -> "SimpleQueue[object]":
        """Asks for the next attempt of the newest request."""
        reply: SimpleQueue[object] = SimpleQueue()
        self.engine.submit(
            Submit(
                f"r{self._count}",
                "customer",
                "gold",
                "visits",
                "next",
                True,
                now + 2.0,
                (granted.endpoint,),
                Interrupted("reset"),
                reply,  # type: ignore[arg-type]
            ),
            now,
        )
        return reply

    def submit(
        self, now: float, plan_name: str = "gold", deadline: float = 2.0
    ) -> "SimpleQueue[object]":
        self._count += 1
        reply: SimpleQueue[object] = SimpleQueue()
        self.engine.submit(
            Submit(
                f"r{self._count}",
                "customer",
                plan_name,
                "visits",
                "next",
                True,
                now + deadline,
                (),
                None,
                reply,  # type: ignore[arg-type]
            ),
            now,
        )
        return reply

    def granted(self, reply: "SimpleQueue[object]") -> Granted:
        outcome = reply.get_nowait()
        assert isinstance(outcome, Granted), outcome
        return outcome

    def refused(self, reply: "SimpleQueue[object]") -> NotRun:
        outcome = reply.get_nowait()
        assert isinstance(outcome, NotRun), outcome
        return outcome


class TestGrants:
    """Guards against overcommitted slots and requests lost in the queue."""

    def test_requests_beyond_the_slots_wait_and_start_in_order(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1",))
        # Work of an unknown run time is long and may use one of two slots.
        replies = [bench.submit(10.0 + i / 100) for i in range(3)]
        first = bench.granted(replies[0])
        assert replies[1].empty() and replies[2].empty()
        bench.engine.completed(
            Completed(first.ticket, Result.SUCCESS, 0.01, False), 10.1
        )
        bench.engine.finished(Finished("r1", "gold", "succeeded"))
        bench.granted(replies[1])
        assert replies[2].empty()

    def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1",))
        bench.submit(10.0)
        late = bench.submit(10.0, deadline=0.5)
        bench.engine.tick(10.4)
        assert late.empty()
        bench.engine.tick(10.6)
        assert bench.refused(late).code == "deadline-passed"

    def test_full_pool_spills_into_the_spare_pool(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1", "portal-1"))
        places = [
            bench.granted(bench.submit(10.0)).endpoint.pool for _ in range(2)
        ]
        assert places == ["visits", "portal"]

    def test_withdrawn_plan_is_a_refusal_and_not_an_error(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1",))
        reply = bench.submit(10.0, plan_name="silver")
        assert bench.refused(reply).code == "configuration-changed"


class TestLimits:
    """Guards against a plan that takes more than its allowance."""

    def test_concurrency_frees_with_the_final_answer(self) -> None:
        bench = Bench(
            plan("gold", concurrency=1, queue=1),
            workers=("visits-1", "visits-2"),
        )
        first = bench.granted(bench.submit(10.0))
        waiting = bench.submit(10.01)
        assert waiting.empty()
        assert bench.refused(bench.submit(10.02)).code == "queue-limit"
        bench.engine.completed(
            Completed(first.ticket, Result.SUCCESS, 0.01, False), 10.1
        )
        assert waiting.empty()
        bench.engine.finished(Finished("r1", "gold", "succeeded"))
        bench.engine.tick(10.2)
        bench.granted(waiting)

    def test_overload_sheds_the_plan_above_its_allowance(self) -> None:
        bench = Bench(
            plan("gold", concurrency=50),
            plan("greedy", concurrency=2),
            workers=("visits-1",),
        )
        bench.submit(10.0, "greedy")
        greedy = [bench.submit(10.01, "greedy") for _ in range(4)]
        gold = bench.submit(10.02, "gold")
        shed = [reply for reply in greedy if not reply.empty()]
        assert [bench.refused(reply).code for reply in shed] == ["shed"]
        assert gold.empty()


class TestLeaving:
    """Guards against new work at an endpoint that is leaving."""

    def test_leave_holds_through_a_list_that_goes_back(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1",))
        bench.list(3.0, listed("visits-1", state="leaving"))
        bench.list(2.0, listed("visits-1"))
        bench.list(4.0, listed("visits-1"))
        waiting = bench.submit(10.0)
        bench.engine.serve_queues(10.0)
        assert waiting.empty()
        bench.list(5.0, listed("visits-1", incarnation=2))
        bench.engine.serve_queues(10.0)
        bench.granted(waiting)

    def test_word_of_the_endpoint_counts_before_the_list(self) -> None:
        bench = Bench(plan("gold"), workers=("visits-1",))
        granted = bench.granted(bench.submit(10.0))
        bench.engine.completed(
            Completed(granted.ticket, Result.SUCCESS, 0.01, True), 10.1
        )
        assert bench.submit(10.2).empty()


class TestRetries:
    """Guards against retries that multiply the load of a failing pool."""

    def test_total_failure_sends_less_than_a_tenth_more(self) -> None:
        workers = tuple(f"visits-{n}" for n in range(1, 7))
        bench = Bench(plan("gold", rate_per_s=1e6), workers=workers)
        requests, grants = 400, 0
        for number in range(requests):
            now = 10.0 + number
            reply = bench.submit(now)
            while True:
                bench.engine.tick(now)
                if reply.empty():
                    break
                outcome = reply.get_nowait()
                if not isinstance(outcome, Granted):
                    break
                grants += 1
                bench.engine.completed(
                    Completed(outcome.ticket, Result.FAILURE, 0.01, False), now
                )
                reply = bench.again(outcome, now)
            bench.engine.finished(Finished(f"r{number + 1}", "gold", "failed"))
        assert requests <= grants < 1.1 * requests

    def test_retry_goes_to_another_rack(self) -> None:
        bench = Bench(plan("gold"), workers=())
        bench.list(1.0, listed("visits-1"), listed("visits-2", rack="r2"))
        first = bench.granted(bench.submit(10.0))
        bench.engine.completed(
            Completed(first.ticket, Result.FAILURE, 0.01, False), 10.0
        )
        second = bench.granted(bench.again(first, 10.0))
        assert second.endpoint.rack != first.endpoint.rack


def owned(name: str, pool: str, phase: str = SERVING) -> OwnedInstance:
    place = ("a", "r", "192.0.2.1:80", 1.0)
    return OwnedInstance(name, 1, pool, *place, epoch=1, phase=phase)


class TestOwnership:
    """Guards against new work at an instance that moves or is maintained."""

    def _bench(self, *instances: OwnedInstance, down: str = "") -> Bench:
        bench = Bench(plan("gold"), workers=("visits-1", "portal-1"))
        table = Ownership(Map({i.instance: i for i in instances}))
        waves = WaveTable()
        if down:
            place = Place(down, 1, "a", "r")
            waves = WaveTable(in_progress=Map({down: Down("visits", place)}))
        state = replace(bench.engine.state, ownership=table, waves=waves)
        bench.engine.state_changed(StateChanged(state), 2.0)
        return bench

    def _endpoints(self, bench: Bench) -> set[str]:
        replies = [bench.submit(3.0) for _ in range(4)]
        granted = [r.get_nowait() for r in replies if not r.empty()]
        return {g.endpoint.instance for g in granted if isinstance(g, Granted)}

    def test_ownership_overrides_the_list(self) -> None:
        bench = self._bench(
            owned("visits-1", "visits"), owned("portal-1", "visits")
        )
        assert self._endpoints(bench) == {"visits-1", "portal-1"}
        loads = bench.engine.view().loads
        assert loads["visits"] == 4.0

    def test_nothing_new_while_it_moves(self) -> None:
        bench = self._bench(
            owned("visits-1", "visits", LEAVING), owned("portal-1", "portal")
        )
        assert self._endpoints(bench) <= {"portal-1"}

    def test_nothing_new_while_it_is_maintained(self) -> None:
        bench = self._bench(owned("visits-1", "visits"), down="visits-1")
        assert "visits-1" not in self._endpoints(bench)

    def test_back_in_service_without_a_new_list(self) -> None:
        bench = self._bench(owned("visits-1", "visits"), down="visits-1")
        state = replace(bench.engine.state, waves=WaveTable())
        bench.engine.state_changed(StateChanged(state), 3.0)
        assert "visits-1" in self._endpoints(bench)

    def _drained(self, stage: Stage, since: float) -> WaveTable:
        place = Place("visits-1", 1, "a", "r")
        member = Member(place, stage, since)
        wave = Wave("visits", 0, Bounds(1, 1, 1), Map({"visits-1": member}))
        down = Map({"visits-1": Down("visits", place)})
        return WaveTable(
            Map(visits=wave), in_progress=down if stage.in_progress else Map()
        )

    def test_new_work_again_after_a_drain_that_was_given_up(self) -> None:
        bench = self._bench(owned("visits-1", "visits"))
        leaving = listed("visits-1", state="leaving")
        bench.list(3.0, leaving)
        for stage in (Stage.DRAINING, Stage.RESTORING, Stage.WAITING):
            waves = self._drained(stage, since=4.0)
            state = replace(bench.engine.state, waves=waves)
            bench.engine.state_changed(StateChanged(state), 4.0)
        # A list from before the record says nothing about the end of it.
        bench.list(4.0, listed("visits-1"))
        statuses = bench.engine.endpoint_statuses()
        assert [status for _, status in statuses.values()] == ["leaving"]
        bench.list(5.0, listed("visits-1"))
        assert self._endpoints(bench) == {"visits-1"}

    def test_demand_counts_work_that_spilled_over(self) -> None:
        bench = self._bench(owned("visits-1", "visits", LEAVING))
        self._endpoints(bench)
        assert bench.engine.view().demand_by_pool == {"visits": 4.0}

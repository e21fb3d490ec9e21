"""Tests of the engine of the scheduler, with injected time."""

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
    ListingUpdated,
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


def make_plan(name: str, **changes: object) -> Plan:
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


def make_listed(
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


class EngineHarness:
    """An engine with plans in force and some listed workers."""

    def __init__(self, *plans: Plan, workers: tuple[str, ...]) -> None:
        """Puts the plans in force and lists the workers."""
        self.engine = Engine("entry-1", "a", queue_limit=4)
        configuration = Configuration((), plans, _SERVICES)
        state = FleetState(
            configuration=ConfigurationState(1, "p", 0.0, configuration)
        )
        self.engine.update_state(StateChanged(state), 0.0)
        self.list(1.0, *(make_listed(name) for name in workers))
        self._count = 0

    def list(self, as_of: float, *instances: object) -> None:
        listing = Listing(as_of, tuple(instances))  # type: ignore[arg-type]
        self.engine.update_listing(ListingUpdated(listing), as_of)

    def retry(self, granted: Granted, now: float) -> "SimpleQueue[object]":
        """Submits the next attempt of the newest request."""
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
        harness = EngineHarness(make_plan("gold"), workers=("visits-1",))
        # A request of unknown run time is long and may use one of two slots.
        replies = [harness.submit(10.0 + i / 100) for i in range(3)]
        first = harness.granted(replies[0])
        assert replies[1].empty() and replies[2].empty()
        harness.engine.complete_attempt(
            Completed(first.ticket, Result.SUCCESS, 0.01, False), 10.1
        )
        harness.engine.finish_request(Finished("r1", "gold", "succeeded"))
        harness.granted(replies[1])
        assert replies[2].empty()

    def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        harness = EngineHarness(make_plan("gold"), workers=("visits-1",))
        harness.submit(10.0)
        late = harness.submit(10.0, deadline=0.5)
        harness.engine.tick(10.4)
        assert late.empty()
        harness.engine.tick(10.6)
        assert harness.refused(late).code == "deadline-passed"

    def test_full_pool_spills_into_the_spare_pool(self) -> None:
        harness = EngineHarness(
            make_plan("gold"), workers=("visits-1", "portal-1")
        )
        pools = [
            harness.granted(harness.submit(10.0)).endpoint.pool
            for _ in range(2)
        ]
        assert pools == ["visits", "portal"]

    def test_request_of_withdrawn_plan_is_refused_without_an_error(
        self,
    ) -> None:
        harness = EngineHarness(make_plan("gold"), workers=("visits-1",))
        reply = harness.submit(10.0, plan_name="silver")
        assert harness.refused(reply).code == "configuration-changed"


class TestLimits:
    """Guards against a plan that uses more than its allowance."""

    def test_final_answer_releases_the_concurrency_of_the_plan(self) -> None:
        harness = EngineHarness(
            make_plan("gold", concurrency=1, queue=1),
            workers=("visits-1", "visits-2"),
        )
        first = harness.granted(harness.submit(10.0))
        waiting = harness.submit(10.01)
        assert waiting.empty()
        assert harness.refused(harness.submit(10.02)).code == "queue-limit"
        harness.engine.complete_attempt(
            Completed(first.ticket, Result.SUCCESS, 0.01, False), 10.1
        )
        assert waiting.empty()
        harness.engine.finish_request(Finished("r1", "gold", "succeeded"))
        harness.engine.tick(10.2)
        harness.granted(waiting)

    def test_overload_sheds_the_plan_above_its_allowance(self) -> None:
        harness = EngineHarness(
            make_plan("gold", concurrency=50),
            make_plan("greedy", concurrency=2),
            workers=("visits-1",),
        )
        harness.submit(10.0, "greedy")
        greedy = [harness.submit(10.01, "greedy") for _ in range(4)]
        gold = harness.submit(10.02, "gold")
        shed = [reply for reply in greedy if not reply.empty()]
        assert [harness.refused(reply).code for reply in shed] == ["shed"]
        assert gold.empty()


class TestLeaving:
    """Guards against new requests to an endpoint that is leaving."""

    def test_leave_mark_stays_until_a_new_incarnation_is_listed(self) -> None:
        harness = EngineHarness(make_plan("gold"), workers=("visits-1",))
        harness.list(3.0, make_listed("visits-1", state="leaving"))
        harness.list(2.0, make_listed("visits-1"))
        harness.list(4.0, make_listed("visits-1"))
        waiting = harness.submit(10.0)
        harness.engine.serve_queues(10.0)
        assert waiting.empty()
        harness.list(5.0, make_listed("visits-1", incarnation=2))
        harness.engine.serve_queues(10.0)
        harness.granted(waiting)

    def test_leave_signal_of_endpoint_applies_before_the_list_shows_it(
        self,
    ) -> None:
        harness = EngineHarness(make_plan("gold"), workers=("visits-1",))
        granted = harness.granted(harness.submit(10.0))
        harness.engine.complete_attempt(
            Completed(granted.ticket, Result.SUCCESS, 0.01, True), 10.1
        )
        assert harness.submit(10.2).empty()


class TestRetries:
    """Guards against retries that multiply the load of a failing pool."""

    def test_retries_of_a_failing_pool_add_less_than_a_tenth(self) -> None:
        workers = tuple(f"visits-{n}" for n in range(1, 7))
        harness = EngineHarness(
            make_plan("gold", rate_per_s=1e6), workers=workers
        )
        requests, grants = 400, 0
        for number in range(requests):
            now = 10.0 + number
            reply = harness.submit(now)
            while True:
                harness.engine.tick(now)
                if reply.empty():
                    break
                outcome = reply.get_nowait()
                if not isinstance(outcome, Granted):
                    break
                grants += 1
                harness.engine.complete_attempt(
                    Completed(outcome.ticket, Result.FAILURE, 0.01, False), now
                )
                reply = harness.retry(outcome, now)
            harness.engine.finish_request(
                Finished(f"r{number + 1}", "gold", "failed")
            )
        assert requests <= grants < 1.1 * requests

    def test_retry_goes_to_another_rack(self) -> None:
        harness = EngineHarness(make_plan("gold"), workers=())
        harness.list(
            1.0, make_listed("visits-1"), make_listed("visits-2", rack="r2")
        )
        first = harness.granted(harness.submit(10.0))
        harness.engine.complete_attempt(
            Completed(first.ticket, Result.FAILURE, 0.01, False), 10.0
        )
        second = harness.granted(harness.retry(first, 10.0))
        assert second.endpoint.rack != first.endpoint.rack


def make_owned(name: str, pool: str, phase: str = SERVING) -> OwnedInstance:
    place = ("a", "r", "192.0.2.1:80", 1.0)
    return OwnedInstance(name, 1, pool, *place, epoch=1, phase=phase)


class TestOwnership:
    """Guards against new requests to a moving or maintained instance."""

    def _make_harness(
        self, *instances: OwnedInstance, down: str = ""
    ) -> EngineHarness:
        harness = EngineHarness(
            make_plan("gold"), workers=("visits-1", "portal-1")
        )
        table = Ownership(Map({i.instance: i for i in instances}))
        waves = WaveTable()
        if down:
            place = Place(down, 1, "a", "r")
            waves = WaveTable(in_progress=Map({down: Down("visits", place)}))
        state = replace(harness.engine.state, ownership=table, waves=waves)
        harness.engine.update_state(StateChanged(state), 2.0)
        return harness

    def _endpoints(self, harness: EngineHarness) -> set[str]:
        replies = [harness.submit(3.0) for _ in range(4)]
        granted = [r.get_nowait() for r in replies if not r.empty()]
        return {g.endpoint.instance for g in granted if isinstance(g, Granted)}

    def test_ownership_overrides_the_list(self) -> None:
        harness = self._make_harness(
            make_owned("visits-1", "visits"), make_owned("portal-1", "visits")
        )
        assert self._endpoints(harness) == {"visits-1", "portal-1"}
        loads = harness.engine.view().loads
        assert loads["visits"] == 4.0

    def test_moving_instance_gets_no_new_requests(self) -> None:
        harness = self._make_harness(
            make_owned("visits-1", "visits", LEAVING),
            make_owned("portal-1", "portal"),
        )
        assert self._endpoints(harness) <= {"portal-1"}

    def test_maintained_instance_gets_no_new_requests(self) -> None:
        harness = self._make_harness(
            make_owned("visits-1", "visits"), down="visits-1"
        )
        assert "visits-1" not in self._endpoints(harness)

    def test_end_of_maintenance_applies_without_a_new_list(self) -> None:
        harness = self._make_harness(
            make_owned("visits-1", "visits"), down="visits-1"
        )
        state = replace(harness.engine.state, waves=WaveTable())
        harness.engine.update_state(StateChanged(state), 3.0)
        assert "visits-1" in self._endpoints(harness)

    def _waves_in_stage(self, stage: Stage, since: float) -> WaveTable:
        place = Place("visits-1", 1, "a", "r")
        member = Member(place, stage, since)
        wave = Wave("visits", 0, Bounds(1, 1, 1), Map({"visits-1": member}))
        down = Map({"visits-1": Down("visits", place)})
        return WaveTable(
            Map(visits=wave), in_progress=down if stage.in_progress else Map()
        )

    def test_instance_is_reinstated_after_a_cancelled_drain(self) -> None:
        harness = self._make_harness(make_owned("visits-1", "visits"))
        leaving = make_listed("visits-1", state="leaving")
        harness.list(3.0, leaving)
        for stage in (Stage.DRAINING, Stage.RESTORING, Stage.WAITING):
            waves = self._waves_in_stage(stage, since=4.0)
            state = replace(harness.engine.state, waves=waves)
            harness.engine.update_state(StateChanged(state), 4.0)
        # A list that is not newer than the record may be from before the end of
        # the drain.
        harness.list(4.0, make_listed("visits-1"))
        statuses = harness.engine.endpoint_statuses()
        assert [status for _, status in statuses.values()] == ["leaving"]
        harness.list(5.0, make_listed("visits-1"))
        assert self._endpoints(harness) == {"visits-1"}

    def test_demand_by_pool_includes_requests_that_spilled_over(self) -> None:
        harness = self._make_harness(make_owned("visits-1", "visits", LEAVING))
        self._endpoints(harness)
        assert harness.engine.view().demand_by_pool == {"visits": 4.0}

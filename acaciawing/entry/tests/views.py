"""State of a small fleet at the log's time 100 s, for tests of documents."""

from dataclasses import replace

from immutables import Map

from acaciawing.budgets import PlanCount, PlanCounts
from acaciawing.budgets.ledger import Ledger
from acaciawing.budgets.ledger import apply as count
from acaciawing.configuration import (
    Configuration,
    ConfigurationState,
    Plan,
    Service,
)
from acaciawing.entry.counts import PlanCounts as OwnCounts
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.status import AnsweringInstance
from acaciawing.fold import FleetState
from acaciawing.leases import Lease, LeaseTable, Session
from acaciawing.lending.loans import Loan, LoanTable
from acaciawing.maintenance import (
    Bounds,
    Down,
    Member,
    Place,
    Stage,
    Wave,
    WaveTable,
)
from acaciawing.membership import EntryJoined, Roster
from acaciawing.ownership import LEAVING, RETURNING, OwnedInstance, Ownership
from acaciawing.records import LogPosition

NOW = 100.0
OWN = AnsweringInstance("entry-a", "a", ready=True, log_up=True)


def _ledger() -> Ledger:
    """Counts of entry-a and entry-b: 1,000 requests each; 5 failed at b."""
    table = Ledger()
    for offset, (instance, failed) in enumerate(
        (("entry-a", 0), ("entry-b", 5))
    ):
        counts = (PlanCount("gold", 1000, failed),)
        record = PlanCounts(instance, 1, 0, counts)
        table, _ = count(record, table, LogPosition(offset, 95.0))
    return table


def _owned(name: str, pool: str, **changes: object) -> OwnedInstance:
    owned = OwnedInstance(name, 1, pool, "a", "r1", "192.0.2.1:80", 1.0, 7)
    return replace(owned, changed_at=90.0, **changes)  # type: ignore[arg-type]


def make_state() -> FleetState:
    plan = Plan("gold", 0.99, 3600.0, 2.0, 100.0, 10, 10, ("visits",))
    services = (Service("visits", "visits"), Service("portal", "portal"))
    document = Configuration((), (plan,), services)
    place = Place("visits-1", 1, "a", "r1")
    wave = Wave(
        "visits",
        2,
        Bounds(1, 1, 2),
        Map(
            {
                "visits-1": Member(place, Stage.REBOOTING, 80.0),
                "visits-2": Member(replace(place, instance="visits-2")),
            }
        ),
    )
    members = {
        name: EntryJoined(name, 1, "a", "192.0.2.9:9000")
        for name in ("entry-a", "entry-b")
    }
    owned = (
        _owned("portal-1", "portal", phase=LEAVING, to_pool="visits"),
        _owned("portal-2", "visits", phase=RETURNING),
        _owned("visits-1", "visits"),
        _owned("visits-3", "visits"),
    )
    return FleetState(
        offset=42,
        configuration=ConfigurationState(3, "p", 1.0, document),
        roster=Roster(Map(members), Map(dict.fromkeys(members, 10.0))),
        leases=LeaseTable(
            Map(
                {
                    "pool:visits": Lease("entry-a/1", 5),
                    "pool:portal": Lease("entry-b/1", 6),
                }
            ),
            Map(
                {"entry-a/1": Session(5, 105.0), "entry-b/1": Session(6, 99.0)}
            ),
        ),
        ownership=Ownership(Map({i.instance: i for i in owned})),
        budgets=_ledger(),
        waves=WaveTable(
            active=Map({"visits": wave}),
            in_progress=Map({"visits-1": Down("visits", place)}),
            stopped=Map({"": 30}),
        ),
        loans=LoanTable(
            Map(
                {
                    "portal-2": Loan(
                        "portal-2", 7, "portal", "visits", 50.0, 400.0
                    )
                }
            )
        ),
    )


def make_view() -> EngineView:
    return EngineView(
        make_state(),
        {"gold": OwnCounts(1010, 2, 4, {"rate-limit": 4, "answer-timeout": 2})},
        {},
        {},
        waiting=1,
        in_flight=3,
        endpoints={"open": 3, "ejected": 1},
        members=2,
        live=frozenset({"entry-a", "entry-c"}),
        attempts={"success": 1010, "failure": 5},
        statuses={
            "portal-1": ("portal", "open"),
            "portal-2": ("visits", "leaving"),
            "visits-1": ("visits", "open"),
            "visits-3": ("visits", "ejected"),
            "visits-4": ("visits", "open"),
        },
    )

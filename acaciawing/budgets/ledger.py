"""Ledger of availability budgets: counts and reservations from the log.

Counts are totals since the start of an incarnation, so the fold adds only the
difference to the last known total (a grow-only counter, Shapiro et al. 2011):
a repeated record adds nothing, a late one is superseded, and a lost one is
made good by the next.
"""

from dataclasses import dataclass, field, replace
from functools import singledispatch

from immutables import Map

from acaciawing.budgets.series import INTERVAL_S, Series, add
from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, record_type

# Older incarnations of an entry instance are forgotten after this time; their
# last counts arrive within seconds, or after a log outage of hours.
_INCARNATION_RETENTION_S = 86_400.0


@dataclass(frozen=True)
class PlanCount:
    """Requests of one plan that an incarnation has ended since its start.

    Attributes:
        plan: Name of the plan.
        requests: Requests that ended, whatever their outcome.
        failed: Those that failed or were refused.
    """

    plan: str
    requests: int
    failed: int


@record_type("plan-counts", version=1)
@dataclass(frozen=True)
class PlanCounts:
    """Counts of an entry instance, appended every 10 s even when unchanged.

    Attributes:
        instance: Id of the entry instance.
        incarnation: Its incarnation.
        interval: Number of the interval that the counts include, from 0.
        counts: Totals since the incarnation started, by plan.
    """

    instance: str
    incarnation: int
    interval: int
    counts: tuple[PlanCount, ...]


@dataclass(frozen=True)
class PlanAmount:
    """A share of one plan's budget, and what its reserver knew.

    Attributes:
        plan: Name of the plan.
        failures: Failed requests that the action may cause.
        epoch: Budget epoch of the plan that the reserver saw.
        failed_seen: Failures ever counted that the reserver saw.
        held_back: Failures that it held back for lagging counts.
    """

    plan: str
    failures: float
    epoch: int
    failed_seen: int
    held_back: float


@record_type("budget-reserved", version=1)
@dataclass(frozen=True)
class BudgetReserved:
    """A reservation of budget for one disruptive action.

    Attributes:
        reservation: Unique id, derived from the action's subject and epoch.
        amounts: What is reserved, for each plan.
        duration_s: Time after the append when it lapses, in seconds.
        fence: Lease under which the action was decided.
    """

    reservation: str
    amounts: tuple[PlanAmount, ...]
    duration_s: float
    fence: Fence


@record_type("budget-released", version=1)
@dataclass(frozen=True)
class BudgetReleased:
    """The end of the action that a reservation was made for.

    Attributes:
        reservation: Id of the reservation.
        fence: Lease under which the release was decided.
    """

    reservation: str
    fence: Fence


@dataclass(frozen=True)
class Source:
    """Last counts of one incarnation of an entry instance.

    Attributes:
        interval: Newest interval counted.
        appended_at: Time of that record on the log's clock, in seconds.
        totals: Requests and failures by plan.
    """

    interval: int
    appended_at: float
    totals: Map[str, tuple[int, int]]


@dataclass(frozen=True)
class Reservation:
    """Budget held for an action.

    Attributes:
        amounts: Failures reserved, by plan.
        expires_at: End on the log's clock, in seconds.
        released: Whether the action has ended.
    """

    amounts: Map[str, float]
    expires_at: float
    released: bool = False


@dataclass(frozen=True)
class Ledger:
    """Counts and reservations of all plans.

    Attributes:
        series: Counts over time, by plan.
        epochs: Offset of the last accepted reservation, by plan.
        reservations: Reservations that have not expired, by id.
        sources: Last counts, by entry instance and then incarnation.
        retired: Highest forgotten incarnation, by entry instance.
    """

    series: Map[str, Series] = field(default_factory=Map)
    epochs: Map[str, int] = field(default_factory=Map)
    reservations: Map[str, Reservation] = field(default_factory=Map)
    sources: Map[str, Map[int, Source]] = field(default_factory=Map)
    retired: Map[str, int] = field(default_factory=Map)


def reserved(ledger: Ledger, plan: str, now: float) -> float:
    """Failures of a plan that unexpired reservations hold."""
    return sum(
        r.amounts.get(plan, 0.0)
        for r in ledger.reservations.values()
        if r.expires_at > now
    )


@singledispatch
def apply(
    record: object, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    """Applies a record to the ledger; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: PlanCounts, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    if record.incarnation <= table.retired.get(record.instance, -1):
        return table, Ignored("stale-incarnation", record.instance)
    incarnations = table.sources.get(record.instance, Map())
    known = incarnations.get(record.incarnation)
    if known is not None and record.interval <= known.interval:
        detail = f"interval {record.interval}, counted {known.interval}"
        return table, Ignored("superseded", detail)
    totals = known.totals if known else Map[str, tuple[int, int]]()
    series = table.series
    for count in record.counts:
        before = totals.get(count.plan, (0, 0))
        grown = (count.requests - before[0], count.failed - before[1])
        if min(grown) < 0 or grown[1] > grown[0]:
            return table, Ignored("invalid-counts", count.plan)
        if not grown[0]:
            continue
        old = series.get(count.plan, Series())
        added = add(old, position.appended_at, *grown)
        series = series.set(count.plan, added)
        totals = totals.set(count.plan, (count.requests, count.failed))
    source = Source(record.interval, position.appended_at, totals)
    incarnations = incarnations.set(record.incarnation, source)
    counted = replace(
        table,
        series=series,
        sources=table.sources.set(record.instance, incarnations),
    )
    return _without_old(counted, record.instance, position), Accepted()


@apply.register
def _(
    record: BudgetReserved, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    kept = _unexpired(table.reservations, position.appended_at)
    if record.reservation in kept:
        return table, Ignored("duplicate", record.reservation)
    for amount in record.amounts:
        epoch = table.epochs.get(amount.plan, -1)
        if amount.epoch != epoch:
            detail = f"{amount.plan}: saw {amount.epoch}, now {epoch}"
            return table, Ignored("stale-epoch", detail)
        counted = table.series.get(amount.plan, Series()).failed_total
        if counted - amount.failed_seen > amount.held_back:
            detail = f"{amount.plan}: {counted - amount.failed_seen} failures"
            return table, Ignored("counts-moved", detail)
    epochs = table.epochs
    for amount in record.amounts:
        epochs = epochs.set(amount.plan, position.offset)
    reservation = Reservation(
        Map({a.plan: a.failures for a in record.amounts}),
        position.appended_at + record.duration_s,
    )
    kept = kept.set(record.reservation, reservation)
    return replace(table, epochs=epochs, reservations=kept), Accepted()


@apply.register
def _(
    record: BudgetReleased, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    known = table.reservations.get(record.reservation)
    if known is None or known.released:
        return table, Ignored("unknown-reservation", record.reservation)
    # What the action broke is counted up to one interval later; until then
    # the reservation stands for it.
    end = min(known.expires_at, position.appended_at + 2 * INTERVAL_S)
    released = replace(known, released=True, expires_at=end)
    kept = table.reservations.set(record.reservation, released)
    return replace(table, reservations=kept), Accepted()


def _unexpired(
    reservations: Map[str, Reservation], now: float
) -> Map[str, Reservation]:
    for name, reservation in list(reservations.items()):
        if reservation.expires_at <= now:
            reservations = reservations.delete(name)
    return reservations


def _without_old(table: Ledger, instance: str, position: LogPosition) -> Ledger:
    """Forgets incarnations that a newer one replaced long ago."""
    incarnations = table.sources[instance]
    limit = position.appended_at - _INCARNATION_RETENTION_S
    retired = None
    # Only from the lowest upwards: everything up to ``retired`` is refused,
    # so that a repeat of a forgotten incarnation is not counted again.
    for number in sorted(incarnations)[:-1]:
        if incarnations[number].appended_at >= limit:
            break
        incarnations = incarnations.delete(number)
        retired = number
    if retired is None:
        return table
    return replace(
        table,
        sources=table.sources.set(instance, incarnations),
        retired=table.retired.set(instance, retired),
    )

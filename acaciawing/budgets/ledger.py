"""Ledger of availability budgets: counts and reservations from the log.

Counts are totals since the start of an incarnation, so the fold adds only the
difference to the last known total (a grow-only counter, Shapiro et al. 2011):
a repeated record adds nothing, a late one is superseded, and the next record
includes the counts of a lost one.
"""

from dataclasses import dataclass, field, replace
from functools import singledispatch

from immutables import Map

from acaciawing.budgets.series import COUNTS_INTERVAL_S, Series, add_counts
from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, record_type

# Retention of the older incarnations of an entry instance. Their last counts
# arrive within seconds, or after a log outage that may last hours.
_INCARNATION_RETENTION_S = 86_400.0


@dataclass(frozen=True)
class PlanCount:
    """Requests of one plan that ended since the incarnation started.

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
        interval: Number of the last interval in the counts, from 0.
        counts: Totals since the incarnation started, by plan.
    """

    instance: str
    incarnation: int
    interval: int
    counts: tuple[PlanCount, ...]


@dataclass(frozen=True)
class PlanAmount:
    """An amount of one plan's budget, with the state that its writer read.

    Attributes:
        plan: Name of the plan.
        failures: Failed requests that the action may cause.
        epoch: Budget epoch of the plan that the writer read.
        failed_seen: Total of counted failures that the writer read.
        held_back: Estimated failures that the counts did not include yet.
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
        amounts: Reserved amounts, one for each plan.
        duration_s: Time from the append until it expires, in seconds.
        fence: Lease under which the action was decided.
    """

    reservation: str
    amounts: tuple[PlanAmount, ...]
    duration_s: float
    fence: Fence


@record_type("budget-released", version=1)
@dataclass(frozen=True)
class BudgetReleased:
    """End of the action that a reservation was made for.

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
        interval: Newest counted interval.
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
        expires_at: Time on the log's clock when it expires, in seconds.
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
        epochs: Budget epoch (offset of the last accepted reservation), by
            plan.
        reservations: Reservations that have not expired, by id.
        sources: Last counts, by entry instance and then incarnation.
        retired: Highest incarnation that was dropped, by entry instance.
    """

    series: Map[str, Series] = field(default_factory=Map)
    epochs: Map[str, int] = field(default_factory=Map)
    reservations: Map[str, Reservation] = field(default_factory=Map)
    sources: Map[str, Map[int, Source]] = field(default_factory=Map)
    retired: Map[str, int] = field(default_factory=Map)


def reserved_failures(ledger: Ledger, plan: str, now: float) -> float:
    """Failures of a plan for which unexpired reservations hold budget."""
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
    last = incarnations.get(record.incarnation)
    if last is not None and record.interval <= last.interval:
        detail = f"interval {record.interval}, newest counted {last.interval}"
        return table, Ignored("superseded", detail)
    totals = last.totals if last else Map[str, tuple[int, int]]()
    series = table.series
    for count in record.counts:
        previous = totals.get(count.plan, (0, 0))
        increase = (count.requests - previous[0], count.failed - previous[1])
        if min(increase) < 0 or increase[1] > increase[0]:
            return table, Ignored("invalid-counts", count.plan)
        if not increase[0]:
            continue
        old = series.get(count.plan, Series())
        added = add_counts(old, position.appended_at, *increase)
        series = series.set(count.plan, added)
        totals = totals.set(count.plan, (count.requests, count.failed))
    source = Source(record.interval, position.appended_at, totals)
    incarnations = incarnations.set(record.incarnation, source)
    counted = replace(
        table,
        series=series,
        sources=table.sources.set(record.instance, incarnations),
    )
    return _drop_old_incarnations(
        counted, record.instance, position
    ), Accepted()


@apply.register
def _(
    record: BudgetReserved, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    reservations = _unexpired(table.reservations, position.appended_at)
    if record.reservation in reservations:
        return table, Ignored("duplicate", record.reservation)
    for amount in record.amounts:
        epoch = table.epochs.get(amount.plan, -1)
        if amount.epoch != epoch:
            detail = f"{amount.plan}: epoch {amount.epoch}, now {epoch}"
            return table, Ignored("stale-epoch", detail)
        counted = table.series.get(amount.plan, Series()).failed_total
        if counted - amount.failed_seen > amount.held_back:
            detail = (
                f"{amount.plan}: {counted - amount.failed_seen} new failures"
            )
            return table, Ignored("counts-moved", detail)
    epochs = table.epochs
    for amount in record.amounts:
        epochs = epochs.set(amount.plan, position.offset)
    reservation = Reservation(
        Map({a.plan: a.failures for a in record.amounts}),
        position.appended_at + record.duration_s,
    )
    reservations = reservations.set(record.reservation, reservation)
    return replace(table, epochs=epochs, reservations=reservations), Accepted()


@apply.register
def _(
    record: BudgetReleased, table: Ledger, position: LogPosition
) -> tuple[Ledger, RecordOutcome]:
    reservation = table.reservations.get(record.reservation)
    if reservation is None or reservation.released:
        return table, Ignored("unknown-reservation", record.reservation)
    # Failures that the action caused end up in the counts of its interval or of
    # the next one, which are appended up to two intervals later. Until then the
    # reservation covers them.
    expires_at = min(
        reservation.expires_at, position.appended_at + 2 * COUNTS_INTERVAL_S
    )
    released = replace(reservation, released=True, expires_at=expires_at)
    reservations = table.reservations.set(record.reservation, released)
    return replace(table, reservations=reservations), Accepted()


def _unexpired(
    reservations: Map[str, Reservation], now: float
) -> Map[str, Reservation]:
    for name, reservation in list(reservations.items()):
        if reservation.expires_at <= now:
            reservations = reservations.delete(name)
    return reservations


def _drop_old_incarnations(
    table: Ledger, instance: str, position: LogPosition
) -> Ledger:
    """Drops replaced incarnations whose retention has ended."""
    incarnations = table.sources[instance]
    limit = position.appended_at - _INCARNATION_RETENTION_S
    retired = None
    # Drops in ascending order only: `apply` ignores counts of every incarnation
    # up to ``retired``, so that a repeat of a dropped one isn't counted twice.
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

"""Values of the metrics, from the scheduler's view and the process counts."""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.paging import PageRequest
from acaciawing.entry.status import AnsweringInstance, status_list
from acaciawing.leases import is_held
from acaciawing.telemetry import MetricValues

Counts = Mapping[tuple[str, str], int]


@dataclass(frozen=True)
class ProcessCounts:
    """Counts of this process that the scheduler doesn't hold.

    Attributes:
        records: Records read, by outcome and reason.
        claims: Claims decided, by ``(kind, "")``.
    """

    records: Counts
    claims: Counts


def metric_values(
    own: AnsweringInstance,
    view: EngineView,
    process_counts: ProcessCounts,
    now: float,
) -> dict[str, MetricValues]:
    """Returns the values of each instrument, by labels.

    Args:
        own: The instance that answers.
        view: View of its scheduler.
        process_counts: Counts that the view doesn't hold.
        now: Time on the log's clock, in seconds.
    """
    state = view.state
    return {
        **_plan_metrics(own, view, now),
        "acaciawing.attempts": _by_label("outcome", view.attempts),
        "acaciawing.records": {
            _labels(outcome=outcome, code=code): count
            for (outcome, code), count in process_counts.records.items()
        },
        "acaciawing.claims": {
            _labels(outcome=kind): count
            for (kind, _), count in process_counts.claims.items()
        },
        "acaciawing.in_flight": {(): view.in_flight},
        "acaciawing.waiting": {(): view.waiting},
        "acaciawing.endpoints": _by_label("status", view.endpoints),
        "acaciawing.configuration.version": {(): state.configuration.version},
        "acaciawing.log.up": {(): int(own.log_up)},
        "acaciawing.snapshot.offset": {(): state.snapshot.offset},
        "acaciawing.leases.held": {(): _held_leases(own, view, now)},
        "acaciawing.members": {(): len(view.live)},
    }


def _plan_metrics(
    own: AnsweringInstance, view: EngineView, now: float
) -> dict[str, MetricValues]:
    requests, refusals = {}, {}
    for name, counts in view.plans.items():
        for outcome in ("succeeded", "failed", "refused"):
            key = _labels(plan=name, outcome=outcome)
            requests[key] = getattr(counts, outcome)
        for code, count in counts.codes.items():
            refusals[_labels(plan=name, code=code)] = count
    achieved, promised = {}, {}
    all_plans = PageRequest[str](
        len(view.state.configuration.configuration.plans)
    )
    for plan in status_list("plans", own, view, now, all_plans)["entries"]:
        key = _labels(plan=plan["plan"])
        promised[key] = plan["promised"]
        if plan["achieved"] is not None:
            achieved[key] = plan["achieved"]
    return {
        "acaciawing.requests": requests,
        "acaciawing.refusals": refusals,
        "acaciawing.plan.achieved": achieved,
        "acaciawing.plan.promised": promised,
    }


def _held_leases(own: AnsweringInstance, view: EngineView, now: float) -> int:
    leases = view.state.leases
    return sum(
        lease.holder.rpartition("/")[0] == own.instance
        and is_held(leases, subject, now)
        for subject, lease in leases.leases.items()
    )


def _by_label(label: str, values: Mapping[str, int]) -> MetricValues:
    return {((label, name),): value for name, value in values.items()}


def _labels(**labels: str) -> tuple[tuple[str, str], ...]:
    return tuple((name, value) for name, value in labels.items() if value)

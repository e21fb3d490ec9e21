"""Values of the metrics, from the scheduler's view and two counts."""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.paging import PageRequest
from acaciawing.entry.status import Own, status_list
from acaciawing.leases import is_held
from acaciawing.telemetry import MetricValues

Counts = Mapping[tuple[str, str], int]


@dataclass(frozen=True)
class Tallies:
    """Counts kept outside the scheduler.

    Attributes:
        records: Records read, by verdict and reason.
        claims: Claims decided, by kind and an empty string.
    """

    records: Counts
    claims: Counts


def readings(
    own: Own, view: EngineView, tallies: Tallies, now: float
) -> dict[str, MetricValues]:
    """Value of each instrument, by labels.

    Args:
        own: The instance that answers.
        view: View of its scheduler.
        tallies: Counts kept elsewhere.
        now: Time on the log's clock, in seconds.
    """
    state = view.state
    return {
        **_plans(own, view, now),
        "acaciawing.attempts": _by("outcome", view.attempts),
        "acaciawing.records": {
            _labels(outcome=outcome, code=code): count
            for (outcome, code), count in tallies.records.items()
        },
        "acaciawing.claims": {
            _labels(outcome=kind): count
            for (kind, _), count in tallies.claims.items()
        },
        "acaciawing.in_flight": {(): view.in_flight},
        "acaciawing.waiting": {(): view.waiting},
        "acaciawing.endpoints": _by("status", view.endpoints),
        "acaciawing.configuration.version": {(): state.configuration.version},
        "acaciawing.log.up": {(): int(own.log_up)},
        "acaciawing.snapshot.offset": {(): state.snapshot.offset},
        "acaciawing.leases.held": {(): _held(own, view, now)},
        "acaciawing.members": {(): len(view.live)},
    }


def _plans(own: Own, view: EngineView, now: float) -> dict[str, MetricValues]:
    requests, refusals = {}, {}
    for name, counts in view.plans.items():
        for outcome in ("succeeded", "failed", "refused"):
            key = _labels(plan=name, outcome=outcome)
            requests[key] = getattr(counts, outcome)
        for code, count in counts.codes.items():
            refusals[_labels(plan=name, code=code)] = count
    achieved, promised = {}, {}
    everything = PageRequest[str](
        len(view.state.configuration.configuration.plans)
    )
    for plan in status_list("plans", own, view, now, everything)["entries"]:
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


def _held(own: Own, view: EngineView, now: float) -> int:
    leases = view.state.leases
    return sum(
        lease.holder.rpartition("/")[0] == own.instance
        and is_held(leases, subject, now)
        for subject, lease in leases.leases.items()
    )


def _by(label: str, values: Mapping[str, int]) -> MetricValues:
    return {((label, name),): value for name, value in values.items()}


def _labels(**labels: str) -> tuple[tuple[str, str], ...]:
    return tuple((name, value) for name, value in labels.items() if value)

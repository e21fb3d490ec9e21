"""Exit codes and output texts of the commands."""

from datetime import UTC, datetime
from functools import singledispatch
from typing import Any

import msgspec
from tabulate import tabulate

from acaciawing.commandline.administration import EntryRefused, EntryUnavailable
from acaciawing.commandline.documents import (
    ExplainDocument,
    ExplainEvent,
    PlanStatus,
    StatusDocument,
)
from acaciawing.commandline.publish_decisions import (
    IdInUse,
    LostRace,
    Published,
    PublishUnfinished,
    StateExpired,
)
from acaciawing.commandline.waves import (
    WaveAccepted,
    WaveLostRace,
    WaveRefused,
    WaveUnfinished,
)

EXIT_SUCCESS = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_LOST_RACE = 4

_PLAN_HEADERS = (
    "plan",
    "promised",
    "achieved",
    "holds",
    "succeeded",
    "failed",
    "burn rate",
    "budget left",
    "here ok/failed/refused",
)

_WAVE_ACTION_TEXTS = {
    "start": "wave requested",
    "stop": "maintenance stopped",
    "resume": "maintenance resumed",
}


@singledispatch
def report(outcome: object) -> tuple[int, str]:
    """Returns the exit code and the message of an outcome.

    Raises:
        TypeError: If the type is not an outcome of a command.
    """
    raise TypeError(type(outcome).__name__)


@report.register
def _(outcome: Published) -> tuple[int, str]:
    text = f"published: version {outcome.version}"
    if outcome.in_force != outcome.version:
        text += f", since replaced by version {outcome.in_force}"
    return EXIT_SUCCESS, text


@report.register
def _(outcome: LostRace) -> tuple[int, str]:
    return EXIT_LOST_RACE, (
        f"lost-race: the publication is based on version {outcome.base}, "
        f"version {outcome.in_force} is in force; nothing was changed"
    )


@report.register
def _(outcome: IdInUse) -> tuple[int, str]:
    return EXIT_REFUSED, (
        "id-in-use: the publication id belongs to another document, "
        f"published as version {outcome.version}; nothing was changed"
    )


@report.register
def _(outcome: PublishUnfinished) -> tuple[int, str]:
    if not outcome.unconfirmed:
        text = f"log-away: {outcome.detail}; nothing was changed"
        return EXIT_UNAVAILABLE, text
    return EXIT_UNAVAILABLE, (
        f"outcome-unknown: {outcome.detail}; the publication may have taken "
        "effect; run the command again with the same publication id"
    )


@report.register
def _(outcome: StateExpired) -> tuple[int, str]:
    return EXIT_REFUSED, (
        f"state-expired: the version in force is not known "
        f"({outcome.detail}); nothing was changed"
    )


@report.register
def _(outcome: WaveAccepted) -> tuple[int, str]:
    action = _WAVE_ACTION_TEXTS[outcome.action]
    return (
        EXIT_SUCCESS,
        f"{action}: pool {outcome.pool}, log offset {outcome.offset}",
    )


@report.register
def _(outcome: WaveRefused) -> tuple[int, str]:
    return (
        EXIT_REFUSED,
        f"{outcome.code}: {outcome.detail}; nothing was changed",
    )


@report.register
def _(outcome: WaveLostRace) -> tuple[int, str]:
    return EXIT_LOST_RACE, (
        f"lost-race: another operator came first ({outcome.reason}: "
        f"{outcome.detail}); nothing was changed"
    )


@report.register
def _(outcome: WaveUnfinished) -> tuple[int, str]:
    if not outcome.unconfirmed:
        return (
            EXIT_UNAVAILABLE,
            f"log-away: {outcome.detail}; nothing was changed",
        )
    return EXIT_UNAVAILABLE, (
        f"outcome-unknown: {outcome.detail}; the record may have taken effect; "
        "run the command again, a repeat changes nothing"
    )


@report.register
def _(outcome: EntryRefused) -> tuple[int, str]:
    if outcome.status in (401, 403):
        return EXIT_REFUSED, "credential-refused: the entry instance refused it"
    return EXIT_REFUSED, f"entry-refused: status {outcome.status}"


@report.register
def _(outcome: EntryUnavailable) -> tuple[int, str]:
    return EXIT_UNAVAILABLE, f"entry-away: {outcome.detail}"


@report.register
def _(outcome: StatusDocument) -> tuple[int, str]:
    ready = "ready" if outcome.ready else "not ready"
    summary = (
        f"{outcome.instance} in zone {outcome.zone}: {ready}, "
        f"configuration version {outcome.version}"
    )
    if not outcome.log_up:
        summary += ", log away"
    if outcome.counts_age_s is not None:
        summary += f", counts {outcome.counts_age_s:.0f} s old"
    rows = [_plan_row(plan) for plan in outcome.plans]
    parts = [summary, tabulate(rows, _PLAN_HEADERS, disable_numparse=True)]
    for title in ("moves", "waves", "loans", "leases", "members"):
        entries = getattr(outcome, title)
        if entries:
            parts.append(f"{title}\n{_format_table(entries)}")
    parts += [
        f"{title}: more after {key!r}" for title, key in outcome.more.items()
    ]
    return EXIT_SUCCESS, "\n\n".join(parts)


@report.register
def _(outcome: ExplainDocument) -> tuple[int, str]:
    if not outcome.events and not outcome.known:
        return EXIT_REFUSED, (
            f"unknown-subject: this entry instance keeps no decision about "
            f"{outcome.kind} {outcome.id!r}"
        )
    lines = [_event_line(event) for event in outcome.events]
    lines += [f"no work: {c.code}: {c.detail}" for c in outcome.no_work_because]
    if not lines:
        lines = ["no decision kept; nothing keeps it from work"]
    return EXIT_SUCCESS, "\n".join(lines)


def as_json(document: StatusDocument | ExplainDocument) -> str:
    """Returns a document as JSON on one line."""
    return msgspec.json.encode(document).decode()


def _plan_row(plan: PlanStatus) -> tuple[str, ...]:
    meets_promise = "-"
    if plan.achieved is not None:
        meets_promise = "yes" if plan.achieved >= plan.promised else "NO"
    return (
        plan.plan,
        _format_rate(plan.promised),
        _format_rate(plan.achieved),
        meets_promise,
        str(plan.succeeded),
        str(plan.failed),
        f"{plan.burn_rate:.3g}/s",
        "-"
        if plan.remaining_budget is None
        else f"{plan.remaining_budget:.4g}",
        f"{plan.here.succeeded}/{plan.here.failed}/{plan.here.refused}",
    )


def _format_rate(value: float | None) -> str:
    """Formats a rate, rounded down so that only 1 is shown as 1.

    >>> _format_rate(0.9995), _format_rate(0.9999999)
    ('0.99950', '0.99999')
    >>> _format_rate(1.0), _format_rate(None)
    ('1.00000', '-')
    """
    if value is None:
        return "-"
    # The margin absorbs the rounding of the product.
    return f"{int(value * 100_000 + 1e-6) / 100_000:.5f}"


def _format_table(entries: tuple[dict[str, Any], ...]) -> str:
    headers = list(dict.fromkeys(key for entry in entries for key in entry))
    rows = [
        [_format_value(entry.get(key, "")) for key in headers]
        for entry in entries
    ]
    return tabulate(rows, headers, disable_numparse=True)


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def _event_line(event: ExplainEvent) -> str:
    at = datetime.fromtimestamp(event.time, UTC)
    reasons = " ".join(
        f"{k}={_format_value(v)}" for k, v in event.reasons.items()
    )
    stamp = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return f"{stamp} {event.number} {event.event}: {reasons}"

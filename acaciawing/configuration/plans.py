"""Parser of ``plans.toml``."""

from dataclasses import dataclass

from acaciawing.configuration.document import Document
from acaciawing.configuration.fields import (
    NAME_RULE,
    Fields,
    Key,
    array_of,
    boolean,
    count,
    duration,
    is_name,
    name,
    rate,
    read_fields,
    success_share,
    table,
    text,
)
from acaciawing.configuration.findings import Code, Finding, Findings
from acaciawing.configuration.values import Table

_ROOT = (Key("plans", table), Key("services", table))
PLAN_KEYS = (
    Key("success_rate", success_share),
    Key("window", duration),
    Key("deadline", duration),
    Key("rate", rate),
    Key("concurrency", count(0)),
    Key("queue", count(0)),
    Key("services", array_of(name)),
    Key("team", name, required=False),
    Key("urgent", boolean, required=False),
)
SERVICE_KEYS = (
    Key("pool", name),
    Key("slots", count(1, 4096), required=False),
    Key("connections", count(1, 65535), required=False),
    Key("spare", boolean, required=False),
    Key("spill", boolean, required=False),
    Key("idempotent_operations", array_of(text), required=False),
)

NamedFields = tuple[str, Fields]


@dataclass(frozen=True)
class PlanList:
    """The readable plans and services of the list.

    Attributes:
        plans: Name and fields of each plan.
        services: Name and fields of each service.
        findings: Faults that can be found without the list of customers.
        unreadable: Groups (``plans``, ``services``) that may have entries in
            an unreadable part of the file.
    """

    plans: tuple[NamedFields, ...] = ()
    services: tuple[NamedFields, ...] = ()
    findings: Findings = ()
    unreadable: frozenset[str] = frozenset(("plans", "services"))


def read_plans(document: Document) -> PlanList:
    """Reads the list of plans and services."""
    root = read_fields(document.root, _ROOT, "the file")
    findings = list(root.findings)
    named_fields = {}
    for group, keys in (("plans", PLAN_KEYS), ("services", SERVICE_KEYS)):
        entries = root.values.get(group)
        named_fields[group] = _read_group(
            entries, keys, group.removesuffix("s"), findings
        )
    unreadable = frozenset(
        group
        for group in named_fields
        if not _is_complete(document, root.values.get(group))
    )
    return PlanList(
        named_fields["plans"],
        named_fields["services"],
        tuple(findings),
        unreadable,
    )


def _is_complete(document: Document, group: Table | None) -> bool:
    return document.root.complete and (group is None or group.complete)


def _read_group(
    group: Table | None,
    keys: tuple[Key, ...],
    kind: str,
    findings: list[Finding],
) -> tuple[NamedFields, ...]:
    if group is None:
        return ()
    if not group.entries and group.complete:
        problem = f"the list has no {kind}"
        findings.append(Finding(group.place, Code.EMPTY_LIST, problem))
    named = []
    for entry in group.entries:
        if not is_name(entry.key):
            findings.append(
                Finding(entry.place, Code.MALFORMED_NAME, NAME_RULE)
            )
        value = table(entry.value)
        if not isinstance(value, Table):
            findings.extend(value.findings)
            continue
        fields = read_fields(value, keys, f"a {kind}")
        findings.extend(fields.findings)
        named.append((entry.key, fields))
    return tuple(named)

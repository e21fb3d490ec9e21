"""Check of the two operator lists: customers, and plans with services."""

from dataclasses import dataclass
from pathlib import Path

from acaciawing.configuration import rules
from acaciawing.configuration.customers import CustomerList, read_customers
from acaciawing.configuration.document import (
    Source,
    parse,
    read_source,
)
from acaciawing.configuration.fields import Fields
from acaciawing.configuration.findings import Finding, Findings, sort_findings
from acaciawing.configuration.model import (
    Configuration,
    Customer,
    Plan,
    Service,
)
from acaciawing.configuration.plans import PlanList, read_plans
from acaciawing.configuration.values import TomlValue


@dataclass(frozen=True)
class CheckedLists:
    """Result of checking both lists.

    Attributes:
        configuration: The configuration, or None if there is a finding.
        findings: All faults, sorted by place.
    """

    configuration: Configuration | None
    findings: Findings = ()


def check_files(customers: Path, plans: Path) -> CheckedLists:
    """Reads and checks both lists.

    Args:
        customers: The list of customers.
        plans: The list of plans and services.

    Returns:
        The configuration or the findings. An unreadable file is a finding.
    """
    return check_lists(read_source(customers), read_source(plans))


def check_lists(
    customers: Source | Finding, plans: Source | Finding
) -> CheckedLists:
    """Checks both lists; never raises on bad input.

    Args:
        customers: The list of customers, or the finding of a failed read.
        plans: The list of plans and services, or the finding of a failed
            read.
    """
    findings = [f for f in (customers, plans) if isinstance(f, Finding)]
    customer_list = CustomerList((), ())
    plan_list = PlanList()
    if isinstance(customers, Source):
        document = parse(customers)
        customer_list = read_customers(document)
        findings += [*document.findings, *customer_list.findings]
    if isinstance(plans, Source):
        document = parse(plans)
        plan_list = read_plans(document)
        findings += [*document.findings, *plan_list.findings]
    findings += rules.unmeetable_allowances(plan_list)
    findings += rules.inconsistent_services(plan_list)
    findings += rules.undefined_plans(customer_list, plan_list)
    findings += rules.undefined_services(plan_list)
    if findings:
        return CheckedLists(None, sort_findings(findings))
    return CheckedLists(_build_configuration(customer_list, plan_list))


def _build_configuration(
    customers: CustomerList, plans: PlanList
) -> Configuration:
    return Configuration(
        tuple(Customer(**c.values) for c in customers.customers),
        tuple(_build_plan(name, fields) for name, fields in plans.plans),
        tuple(_build_service(name, fields) for name, fields in plans.services),
    )


def _build_service(name: str, fields: Fields) -> Service:
    values = dict(fields.values)
    operations = values.pop("idempotent_operations", ())
    return Service(
        name, idempotent_operations=_plain_values(operations), **values
    )


def _plain_values(elements: tuple[TomlValue, ...]) -> tuple[str, ...]:
    return tuple(element.value for element in elements)


def _build_plan(name: str, fields: Fields) -> Plan:
    values = dict(fields.values)
    return Plan(
        name,
        window_s=values.pop("window"),
        deadline_s=values.pop("deadline"),
        rate_per_s=values.pop("rate"),
        services=_plain_values(values.pop("services")),
        **values,
    )

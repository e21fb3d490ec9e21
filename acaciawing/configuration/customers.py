"""Parser of ``customers.toml``."""

from dataclasses import dataclass

from acaciawing.configuration.document import Document
from acaciawing.configuration.fields import (
    Fields,
    Key,
    ParseResult,
    array,
    digest,
    name,
    read_fields,
    reject,
    table,
)
from acaciawing.configuration.findings import Code, Finding, Findings, Place
from acaciawing.configuration.values import Table, TomlValue


def _plan_name(toml_value: TomlValue) -> ParseResult:
    if isinstance(toml_value.value, tuple) and len(toml_value.value) > 1:
        text = "a customer holds one plan"
        return reject(toml_value.place, Code.CUSTOMER_WITH_TWO_PLANS, text)
    return name(toml_value)


_ROOT = (Key("customers", array),)
CUSTOMER_KEYS = (
    Key("name", name),
    Key("plan", _plan_name),
    Key("credential_sha256", digest),
)


@dataclass(frozen=True)
class CustomerList:
    """The readable customers of the list.

    Attributes:
        customers: Fields of each customer.
        findings: Faults that can be found without the list of plans.
    """

    customers: tuple[Fields, ...]
    findings: Findings


def read_customers(document: Document) -> CustomerList:
    """Reads the list of customers."""
    root = read_fields(document.root, _ROOT, "the file")
    findings = list(root.findings)
    elements = root.values.get("customers", ())
    if not elements and "customers" in root.values:
        text = "the list has no customer; publishing it would refuse everyone"
        place = root.places["customers"]
        findings.append(Finding(place, Code.EMPTY_LIST, text))
    customers = []
    for element in elements:
        value = table(element)
        if isinstance(value, Table):
            fields = read_fields(value, CUSTOMER_KEYS, "a customer")
            customers.append(fields)
            findings.extend(fields.findings)
        else:
            findings.extend(value.findings)
    findings.extend(_duplicate_names(customers))
    findings.extend(_duplicate_credentials(customers))
    return CustomerList(tuple(customers), tuple(findings))


def _duplicate_names(customers: list[Fields]) -> list[Finding]:
    first: dict[str, Fields] = {}
    findings = []
    for customer in customers:
        customer_name = customer.values.get("name")
        if customer_name is None:
            continue
        earlier = first.setdefault(customer_name, customer)
        if earlier is customer:
            continue
        line = earlier.places["name"].line
        plans = {earlier.values.get("plan"), customer.values.get("plan")}
        place: Place = customer.places["name"]
        if None not in plans and len(plans) == 2:
            text = f"{customer_name!r} has another plan at line {line}"
            code = Code.CUSTOMER_WITH_TWO_PLANS
        else:
            text = f"customer {customer_name!r} is already at line {line}"
            code = Code.DUPLICATE_NAME
        findings.append(Finding(place, code, text))
    return findings


def _duplicate_credentials(customers: list[Fields]) -> list[Finding]:
    first: dict[str, Place] = {}
    findings = []
    for customer in customers:
        value = customer.values.get("credential_sha256")
        if value is None:
            continue
        place = customer.places["credential_sha256"]
        earlier = first.setdefault(value, place)
        if earlier is not place:
            text = (
                f"the customer at line {earlier.line} has the same credential"
            )
            findings.append(Finding(place, Code.DUPLICATE_CREDENTIAL, text))
    return findings

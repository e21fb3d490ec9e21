"""Findings of the configuration check and the catalogue of their codes."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Code(Enum):
    """Code of a finding; ``docs/operators.md`` gives the remedy for each."""

    UNREADABLE_FILE = "unreadable-file"
    BAD_ENCODING = "bad-encoding"
    SYNTAX_ERROR = "syntax-error"
    NESTED_TOO_DEEPLY = "nested-too-deeply"
    UNKNOWN_KEY = "unknown-key"
    MISSING_KEY = "missing-key"
    DUPLICATE_KEY = "duplicate-key"
    EMPTY_LIST = "empty-list"
    WRONG_TYPE = "wrong-type"
    WRONG_UNIT = "wrong-unit"
    OUT_OF_RANGE = "out-of-range"
    MALFORMED_NAME = "malformed-name"
    MALFORMED_DIGEST = "malformed-digest"
    MALFORMED_ADDRESS = "malformed-address"
    MALFORMED_URL = "malformed-url"
    UNKNOWN_CHOICE = "unknown-choice"
    DUPLICATE_NAME = "duplicate-name"
    DUPLICATE_CREDENTIAL = "duplicate-credential"
    DUPLICATE_ADDRESS = "duplicate-address"
    CUSTOMER_WITH_TWO_PLANS = "customer-with-two-plans"
    UNDEFINED_PLAN = "undefined-plan"
    UNDEFINED_SERVICE = "undefined-service"
    PLAN_WITHOUT_SERVICES = "plan-without-services"
    UNMEETABLE_RATE = "unmeetable-rate"
    NO_ALLOWANCE = "no-allowance"
    BUDGET_BELOW_ONE = "budget-below-one"
    DEADLINE_EXCEEDS_WINDOW = "deadline-exceeds-window"
    QUEUE_EXCEEDS_DEADLINE = "queue-exceeds-deadline"
    CONNECTIONS_BELOW_SLOTS = "connections-below-slots"
    INCONSISTENT_POOL = "inconsistent-pool"
    INCONSISTENT_SPARE = "inconsistent-spare"


@dataclass(frozen=True, order=True)
class Place:
    """Place in a file; line and column count characters from 1.

    Attributes:
        file: Path as the operator gave it.
        line: Line number.
        column: Column number.
    """

    file: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        """Returns ``file:line:column``."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Finding:
    """One fault of a list or of the process settings.

    Attributes:
        place: Place of the fault.
        code: Kind of fault.
        text: Explanation for the operator; never contains a credential.
    """

    place: Place
    code: Code
    text: str

    def __str__(self) -> str:
        """Returns the line that is shown to the operator.

        >>> str(Finding(Place("plans.toml", 3, 1), Code.MISSING_KEY, "no rate"))
        'plans.toml:3:1: missing-key: no rate'
        """
        return f"{self.place}: {self.code.value}: {self.text}"


Findings = tuple[Finding, ...]


def sort_findings(findings: Iterable[Finding]) -> Findings:
    """Sorts findings by place and removes duplicates."""
    unique = dict.fromkeys(findings)
    return tuple(sorted(unique, key=lambda f: (f.place, f.code.value, f.text)))

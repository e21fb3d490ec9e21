"""The checked configuration of the whole fleet."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Customer:
    """A registered caller.

    Attributes:
        name: Unique name.
        plan: Name of the customer's plan.
        credential_sha256: Lower-case hex SHA-256 digest of the credential.
    """

    name: str
    plan: str
    credential_sha256: str


@dataclass(frozen=True)
class Plan:
    """Promised success rate and limits of a group of customers.

    Attributes:
        name: Unique name.
        success_rate: Promised share of requests that succeed, 0 to 1.
        window_s: Window of the availability budget, in seconds.
        deadline_s: Time within which a request must end, in seconds.
        rate_per_s: Fleet-wide limit of requests a second.
        concurrency: Fleet-wide limit of requests in flight.
        queue: Fleet-wide limit of waiting requests.
        services: Names of the services that the plan may use.
        team: Team whose quota the plan's tasks count against, or None.
        urgent: Whether the plan's tasks may preempt tasks of lower classes.
    """

    name: str
    success_rate: float
    window_s: float
    deadline_s: float
    rate_per_s: float
    concurrency: int
    queue: int
    services: tuple[str, ...]
    team: str | None = None
    urgent: bool = False


@dataclass(frozen=True)
class Service:
    """A service and the pool of instances behind it.

    Attributes:
        name: First segment of the request path.
        pool: Name of the pool that serves it.
        slots: Requests that one instance runs at a time.
        connections: Connections that one instance accepts.
        spare: Whether the pool lends its instances first.
        spill: Whether instances of spare pools may run its requests without
            a move.
        idempotent_operations: POST or PATCH operations that may be retried.
    """

    name: str
    pool: str
    slots: int = 8
    connections: int = 64
    spare: bool = False
    spill: bool = False
    idempotent_operations: tuple[str, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """Content of the operators' two lists after a successful check."""

    customers: tuple[Customer, ...] = ()
    plans: tuple[Plan, ...] = ()
    services: tuple[Service, ...] = ()


@dataclass(frozen=True)
class ConfigurationIndex:
    """Lookup tables of a configuration; built once for each version.

    Attributes:
        customers: Customers by credential digest.
        plans: Plans by name.
        services: Services by name.
    """

    customers: dict[str, Customer] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)


def index(configuration: Configuration) -> ConfigurationIndex:
    """Builds the lookup tables of a configuration."""
    return ConfigurationIndex(
        {c.credential_sha256: c for c in configuration.customers},
        {p.name: p for p in configuration.plans},
        {s.name: s for s in configuration.services},
    )

"""Consistency rules across plans, services and customers."""

from collections.abc import Iterator
from typing import Any

from acaciawing.configuration.customers import CustomerList
from acaciawing.configuration.fields import Fields
from acaciawing.configuration.findings import Code, Finding
from acaciawing.configuration.model import Service
from acaciawing.configuration.plans import NamedFields, PlanList


def undefined_plans(
    customers: CustomerList, plans: PlanList
) -> Iterator[Finding]:
    """Finds customers whose plan is not in the list of plans."""
    if "plans" in plans.unreadable:
        return
    names = {name for name, _ in plans.plans}
    for customer in customers.customers:
        plan = customer.values.get("plan")
        if plan is not None and plan not in names:
            text = f"there is no plan {plan!r}"
            yield Finding(customer.places["plan"], Code.UNDEFINED_PLAN, text)


def undefined_services(plans: PlanList) -> Iterator[Finding]:
    """Finds plans with a service that is not in the list of services."""
    if "services" in plans.unreadable:
        return
    names = {name for name, _ in plans.services}
    for _, plan in plans.plans:
        for service in plan.values.get("services", ()):
            if service.value not in names:
                text = f"there is no service {service.value!r}"
                yield Finding(service.place, Code.UNDEFINED_SERVICE, text)


def unmeetable_allowances(plans: PlanList) -> Iterator[Finding]:
    """Finds plans whose limits or promised rate cannot be met."""
    for _, plan in plans.plans:
        yield from _zero_allowances(plan)
        yield from _budget_below_one(plan)
        yield from _deadline_conflicts(plan)


def _zero_allowances(plan: Fields) -> Iterator[Finding]:
    for key in ("concurrency", "rate"):
        if plan.values.get(key) == 0:
            text = f"a {key} of 0 refuses every request"
            yield Finding(plan.places[key], Code.NO_ALLOWANCE, text)
    if plan.values.get("services") == ():
        text = "the plan may use no service, so every request is refused"
        place = plan.places["services"]
        yield Finding(place, Code.PLAN_WITHOUT_SERVICES, text)


def _budget_below_one(plan: Fields) -> Iterator[Finding]:
    success, window, rate = _values(plan, "success_rate", "window", "rate")
    if None in (success, window, rate) or rate == 0:
        return
    budget = (1 - success) * window * rate
    # The margin absorbs the rounding of 1 - success_rate.
    if budget < 1 - 1e-9:
        text = (
            f"even at the full rate the window allows {budget:.3g} failures; "
            "one failure would break the promise"
        )
        yield Finding(plan.places["success_rate"], Code.BUDGET_BELOW_ONE, text)


def _deadline_conflicts(plan: Fields) -> Iterator[Finding]:
    deadline, window, rate, queue = _values(
        plan, "deadline", "window", "rate", "queue"
    )
    if deadline is not None and window is not None and deadline > window:
        text = f"the deadline of {deadline:g} s exceeds the window"
        place = plan.places["deadline"]
        yield Finding(place, Code.DEADLINE_EXCEEDS_WINDOW, text)
    if None in (deadline, rate, queue) or rate == 0:
        return
    if queue > rate * deadline:
        text = (
            f"{queue} requests leave a full queue in {queue / rate:.3g} s at "
            f"the plan's rate, after the deadline of {deadline:g} s"
        )
        place = plan.places["queue"]
        yield Finding(place, Code.QUEUE_EXCEEDS_DEADLINE, text)


def inconsistent_services(plans: PlanList) -> Iterator[Finding]:
    """Finds services whose settings conflict, also within a shared pool."""
    first_by_pool: dict[str, NamedFields] = {}
    for name, service in plans.services:
        slots, connections, _ = _pool_settings(service)
        if connections < slots:
            text = f"{connections} connections cannot fill {slots} slots"
            place = service.places.get("connections", service.place)
            yield Finding(place, Code.CONNECTIONS_BELOW_SLOTS, text)
        pool = service.values.get("pool")
        if pool is not None:
            earlier = first_by_pool.setdefault(pool, (name, service))
            yield from _pool_conflicts(pool, earlier, service)


def _pool_conflicts(
    pool: str, earlier: NamedFields, service: Fields
) -> Iterator[Finding]:
    other, first_service = earlier
    *sizes, spare = _pool_settings(service)
    *first_sizes, first_spare = _pool_settings(first_service)
    place = service.places["pool"]
    if spare != first_spare:
        text = f"pool {pool!r} is spare for only one of this and {other!r}"
        place = service.places.get("spare", place)
        yield Finding(place, Code.INCONSISTENT_SPARE, text)
    if sizes != first_sizes:
        text = (
            f"pool {pool!r} has other slots or connections in service {other!r}"
        )
        yield Finding(place, Code.INCONSISTENT_POOL, text)


def _pool_settings(service: Fields) -> tuple[int, int, bool]:
    values = service.values
    return (
        values.get("slots", Service.slots),
        values.get("connections", Service.connections),
        values.get("spare", Service.spare),
    )


def _values(fields: Fields, *keys: str) -> tuple[Any, ...]:
    return tuple(fields.values.get(key) for key in keys)

"""Fleet and configuration of the target size."""

from dataclasses import asdict
from typing import Any

from acaciawing.configuration import Configuration, Customer, Plan, Service
from standins.platform_state import Instance

WORKERS = 1400
POOLS = 349
TEAMS = 33
ZONES = tuple(f"zone-{n}" for n in range(1, 8))


def instances(workers: int = WORKERS, pools: int = POOLS) -> list[Instance]:
    """Builds workers, spread evenly over pools, zones and racks of four."""
    return [
        Instance(
            f"worker-{n:04}",
            1,
            f"pool-{n % pools:03}",
            ZONES[n % len(ZONES)],
            f"rack-{n // (4 * len(ZONES))}",
            f"192.0.2.{n % 250 + 1}:{1024 + n}",
        )
        for n in range(workers)
    ]


def instance_documents(workers: int, pools: int) -> list[dict[str, Any]]:
    """Builds the same workers as JSON documents for the list stand-in."""
    return [asdict(instance) for instance in instances(workers, pools)]


def configuration(pools: int = POOLS, teams: int = TEAMS) -> Configuration:
    """Builds a service per pool, and two plans and three customers per team."""
    services = tuple(
        Service(f"service-{n:03}", f"pool-{n:03}", spare=n % 20 == 0)
        for n in range(pools)
    )
    names = tuple(service.name for service in services)
    plans = tuple(
        Plan(
            f"plan-{team:02}-{level}",
            0.999,
            604800.0,
            5.0,
            500.0,
            400,
            400,
            names[team % pools :: teams] or names[:1],
            f"team-{team:02}",
            level == "urgent",
        )
        for team in range(teams)
        for level in ("urgent", "batch")
    )
    customers = tuple(
        Customer(f"customer-{n:03}", plans[n % len(plans)].name, f"{n:064x}")
        for n in range(teams * 3)
    )
    return Configuration(customers, plans, services)

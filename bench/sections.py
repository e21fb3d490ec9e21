"""Sections of the report, each of which measures one mechanism."""

from collections.abc import Callable, Iterator

from bench import (
    admission,
    budgets,
    claims,
    control,
    dissemination,
    fold,
    gossip,
    idle,
    lending,
    placement,
    retries,
    routing,
    short_behind_long,
    throughput,
)
from bench.report import Row, row_of_runs


def throughput_rows() -> Iterator[Row]:
    """Requests per second of an entry process, compared with a bare handler."""
    rates = throughput.measure()
    yield row_of_runs("bare handler", list(rates.bare), "requests/s")
    yield row_of_runs("entry process", list(rates.entry), "requests/s")
    ratios = [e / b for e, b in zip(rates.entry, rates.bare, strict=True)]
    yield row_of_runs(
        "entry process over bare handler",
        ratios,
        "",
        goal=0.8,
        at_most=False,
    )


def routing_rows() -> Iterator[Row]:
    """Cost of a routing decision."""
    for row in routing.run_routing():
        name = f"{row.workers} workers, {row.pools} pools"
        yield Row(f"routing decision, {name}", row.choose_us, "us", 100.0)
        yield Row(
            f"routing decision against 40 workers, {name}",
            row.ratio_to_smallest,
            "",
            1.5,
        )


def short_rows() -> Iterator[Row]:
    """Wait of short work behind long work, compared with FIFO."""
    for row in short_behind_long.run_short_behind_long():
        if row.policy != "class with reserve":
            continue
        yield Row(
            f"p99 wait of short work over FIFO, {row.workload}",
            row.p99_over_fifo,
            "",
            0.1,
        )
        yield Row(
            f"throughput over FIFO, {row.workload}",
            row.served_over_fifo,
            "",
            0.95,
            at_most=False,
        )


def admission_rows() -> Iterator[Row]:
    """Over-admission of a plan's limit."""
    for row in admission.run_admission():
        yield Row(
            f"worst admitted of 10 s over limit, {row.policy}, {row.events},"
            f" {row.demand}",
            row.max_ratio_10s,
            "",
        )


def fold_rows() -> Iterator[Row]:
    """Fold of the control stream, and recovery."""
    for row in fold.run_fold():
        name = f"{row.instances} instances, {row.pools} pools"
        yield Row(
            f"fold, {name}", row.records_per_s, "records/s", 20000.0, False
        )
        yield Row(f"recovery, {name}", row.recovery_s, "s", 2.0)
        yield Row(f"snapshot, {name}", row.snapshot_bytes / 1000, "KB")
        yield Row(f"state, {name}", row.state_mb, "MB")


def control_rows() -> Iterator[Row]:
    """Control rounds and leases."""
    for row in control.run_control():
        name = f"{row.instances} instances, {row.entries} entry instances"
        yield Row(f"control round, {name}", row.round_ms, "ms")
        yield Row(f"control appends, {name}", row.appends_per_s, "1/s")
        yield Row(f"takeover of a lease, {name}", row.takeover_s, "s")


def dissemination_rows() -> Iterator[Row]:
    """Methods to disseminate a configuration."""
    for row in dissemination.run_dissemination():
        failure_suffix = ", one relay dead" if row.relay_failed else ""
        name = f"{row.method}, {row.instances} entry instances{failure_suffix}"
        yield Row(f"worst roll-out by count, {name}", row.max_delay_s, "s")
        yield Row(f"busiest member, {name}", row.max_member_kb_per_s, "KB/s")


def claim_rows() -> Iterator[Row]:
    """Claims of idempotency keys."""
    rate = claims.decision_rate()
    yield Row("claim decisions", rate.decisions_per_s, "1/s")
    for instances in (9, 60):
        for requests in (50.0, 500.0):
            row = claims.group_commit(instances, requests)
            name = f"{instances} entry instances, {requests:g} bookings/s"
            yield Row(f"claim appends, {name}", row.appends_per_s, "1/s", 200.0)
            yield Row(
                f"mean wait for a claim's append, {name}",
                row.wait_mean_s * 1000,
                "ms",
            )


def retry_rows() -> Iterator[Row]:
    """Retries under total failure."""
    load = retries.load_amplification()
    yield Row("load under total failure", load.amplification, "", 1.1)
    yield Row(
        "load under total failure, naive", load.baseline_amplification, ""
    )
    cost = retries.retry_cost()
    yield Row("retry decision", cost.time_us, "us")


def lending_rows() -> Iterator[Row]:
    """Lending on alternating bursts."""
    for row in lending.compare(lending.run(seeds=lending.SEEDS[:2])):
        name = f"{row.workers} workers a pool, {row.scenario}, {row.baseline}"
        if row.moves_ratio is not None:
            yield Row(f"moves over naive, {name}", row.moves_ratio, "", 0.3)
        yield Row(f"buffer over naive, {name}", row.buffer_ratio, "", 0.7)
        yield Row(
            f"success rate less the naive one, {name}",
            row.success_rate - row.baseline_success_rate,
            "",
            0.0,
            at_most=False,
        )


def gossip_rows() -> Iterator[Row]:
    """Gossip among entry instances."""
    for row in gossip.run_gossip(10.0):
        name = (
            f"{row.members} entry instances, {row.workers} workers,"
            f" demand from {row.min_published_demand:g}"
        )
        yield Row(
            f"gossip idle, {name}", row.idle_bytes_per_s / 1000, "KB/s", 10.0
        )
        yield Row(
            f"gossip busy, {name}", row.busy_bytes_per_s / 1000, "KB/s", 10.0
        )
        yield Row(
            f"leave signal known to all, longest, {name}",
            row.leave_max_s,
            "s",
            3.0,
        )
        yield Row(
            f"new version known to all, longest, {name}",
            row.configuration_max_s,
            "s",
        )


def budget_rows() -> Iterator[Row]:
    """Availability budgets."""
    for plans, instances in ((3, 9), (40, 60)):
        cost = budgets.gate_cost(plans, instances)
        name = f"{plans} plans, {instances} entry instances"
        yield Row(f"budget gate, {name}", cost.time_us.mean / 1000, "ms")
    runs = budgets.run(budgets.SEEDS[:5])
    for policy in dict.fromkeys(r.policy for r in runs):
        policy_runs = [r for r in runs if r.policy == policy]
        yield row_of_runs(
            f"time with a broken budget in an hour, {policy}",
            [r.overspent_s for r in policy_runs],
            "s",
        )
        yield row_of_runs(
            f"disruptive actions in an hour, {policy}",
            [float(r.granted) for r in policy_runs],
            "",
        )


def placement_rows() -> Iterator[Row]:
    """Cost of placing a task."""
    for row in placement.run():
        name = f"{row.step}, {row.workers} workers"
        goal = 2.0 if row.step == "place" else None
        mean, p99 = row.time_us.mean / 1000, row.time_us.p99 / 1000
        yield Row(f"placement mean, {name}", mean, "ms", goal)
        yield Row(f"placement p99, {name}", p99, "ms", goal)


def idle_rows() -> Iterator[Row]:
    """Idle entry daemon."""
    for row in idle.run_idle():
        name = f"{row.workers} workers, {row.pools} pools"
        yield Row(f"idle daemon, {name}", row.core_percent, "% of a core", 2.4)
        yield Row(f"idle daemon memory, {name}", row.resident_mb, "MB", 128.0)
        yield Row(
            f"idle daemon traffic, {name}",
            row.platform_kb_per_s,
            "KB/s",
            10.0,
        )


SECTIONS: tuple[Callable[[], Iterator[Row]], ...] = (
    throughput_rows,
    idle_rows,
    routing_rows,
    short_rows,
    admission_rows,
    retry_rows,
    claim_rows,
    fold_rows,
    control_rows,
    dissemination_rows,
    gossip_rows,
    budget_rows,
    lending_rows,
    placement_rows,
)

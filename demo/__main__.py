"""Runs the demonstration; exits with 0 only if all guarantees were met."""

import signal
import sys
import tempfile
import time
from pathlib import Path

from demo.fleet import (
    LATE_ENTRY,
    SERVICES,
    Fleet,
    start_entry,
    start_fleet,
    start_log,
)
from demo.fleet_work import FleetWork, broken_by_kill
from demo.load import Balancer, Caller, CallerProfile, SentRequest
from demo.operator import (
    HTTP,
    call,
    measure_roll_out_s,
    publish,
    runs_by_request,
    wait_until,
)
from demo.processes import Processes
from demo.report import (
    Row,
    duration_row,
    integrity_rows,
    render,
    success_rate_rows,
)

PROMISED_SUCCESS_RATES = {"doorstep": 0.9995, "booking": 0.999, "office": 0.99}
_CALLER_COUNT = 12


def main() -> int:
    """Runs all steps and prints the result table."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="acaciawing-demo-") as folder:
        processes = Processes(Path(folder))
        try:
            rows = _run(processes)
        finally:
            processes.close()
    print(render(rows))
    print(f"took {time.monotonic() - started_at:.1f} s")
    return 0 if all(row.met for row in rows) else 1


def _run(processes: Processes) -> list[Row]:
    fleet = start_fleet(processes)
    wait_until(lambda: bool(call("GET", f"{fleet.log}/standin/state")), 10)
    publish(fleet, processes.folder)
    balancer = Balancer(fleet.entries)
    initial_count = len(fleet.entries) - 1
    ready_after_s = wait_until(
        lambda: balancer.check(HTTP) == initial_count, 20
    )
    if ready_after_s is None:
        raise RuntimeError("not all entry instances became ready")
    print(f"{initial_count} entry instances ready", flush=True)
    addresses = dict(fleet.entries)
    callers = _start_callers(balancer)
    work = FleetWork(processes, fleet, balancer)
    rows = _run_steps(processes, fleet, balancer, work)
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join(10)
    sent = [
        request for caller in callers for request in caller.sent
    ] + work.sent
    killed_address = addresses.get(work.killed, "")
    broken = broken_by_kill(sent, killed_address)
    return [
        *success_rate_rows(
            [s for s in sent if s not in broken], PROMISED_SUCCESS_RATES
        ),
        *integrity_rows(
            sent,
            [request for caller in callers for request in caller.repeats],
            runs_by_request(fleet),
        ),
        *work.rows(sent, killed_address),
        *rows,
        _outcome_row(sent),
    ]


def _start_callers(balancer: Balancer) -> list[Caller]:
    profiles = [
        CallerProfile("stylists", "doorstep", SERVICES[:3], 0.02, 0.1, 0.0),
        CallerProfile("residents", "booking", SERVICES[:1], 0.05, 0.8, 0.02),
        CallerProfile("accounting", "office", SERVICES[3:4], 0.1, 0.1, 0.05),
    ]
    callers = [
        Caller(number, profiles[number % len(profiles)], balancer)
        for number in range(_CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    return callers


def _run_steps(
    processes: Processes, fleet: Fleet, balancer: Balancer, work: FleetWork
) -> list[Row]:
    work.start()
    time.sleep(2)
    version = publish(fleet, processes.folder, "230/s")
    running = [name for name in fleet.entries if name != LATE_ENTRY]
    rolled_out_s = measure_roll_out_s(fleet, running, version)
    print("configuration changed under load", flush=True)
    last_arrival_s = _drain_worker(fleet)
    print("one worker drained", flush=True)
    wait_until(lambda: bool(work.killed), 30)
    print(f"{work.killed} killed", flush=True)
    stopped, stopped_s = _stop_entry(processes, fleet, balancer)
    print("one entry instance stopped", flush=True)
    work.join()
    print("wave and loan ended", flush=True)
    processes.signal("log", signal.SIGKILL)
    print("log killed", flush=True)
    start_entry(processes, fleet, LATE_ENTRY)
    readiness_url = f"http://{fleet.entries[LATE_ENTRY]}/readyz"
    recovered_s = wait_until(
        lambda: HTTP.request("GET", readiness_url).status == 200, 10
    )
    balancer.check(HTTP)
    time.sleep(2)
    start_log(processes, fleet)
    wait_until(lambda: bool(call("GET", f"{fleet.log}/standin/state")), 10)
    second_version = publish(fleet, processes.folder, "220/s")
    remaining = [name for name in fleet.entries if name != stopped]
    rolled_out_again_s = measure_roll_out_s(fleet, remaining, second_version)
    print("log back, configuration changed again", flush=True)
    return [
        duration_row("roll-out of a change", 2.0, rolled_out_s),
        duration_row(
            "last new work at a leaving endpoint", 3.0, last_arrival_s
        ),
        duration_row("planned stop of an entry instance", 30.0, stopped_s),
        duration_row(
            "new instance ready while the log is away", 10.0, recovered_s
        ),
        duration_row("roll-out after a log outage", 5.0, rolled_out_again_s),
    ]


def _drain_worker(fleet: Fleet) -> float:
    name = "visits-2"
    started_at = time.time()
    call(
        "POST",
        f"{fleet.instance_list}/v1/instances/{name}/drain",
        {"operation_id": "demo-drain"},
    )
    time.sleep(4)
    endpoint_runs = call("GET", f"http://{fleet.endpoints[name]}/standin/runs")
    return max(0.0, float(endpoint_runs["last_arrival"]) - started_at)


def _stop_entry(
    processes: Processes, fleet: Fleet, balancer: Balancer
) -> tuple[str, float | None]:
    name = max(name for name in fleet.entries if name != LATE_ENTRY)
    started_at = time.monotonic()
    processes.signal(name, signal.SIGTERM)
    wait_until(lambda: balancer.check(HTTP) == len(fleet.entries) - 2, 5)
    status = processes.wait(name, 30)
    return name, time.monotonic() - started_at if status == 0 else None


def _outcome_row(sent: list[SentRequest]) -> Row:
    counts: dict[str, int] = {}
    for request in sent:
        name = f"{request.outcome} {request.refusal}".strip()
        counts[name] = counts.get(name, 0) + 1
    text = ", ".join(f"{k} {v}" for k, v in sorted(counts.items()))
    return Row("answers by outcome", "", text, True)


if __name__ == "__main__":
    sys.exit(main())

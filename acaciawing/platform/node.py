"""Settings that the platform provides to a process on a machine."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from acaciawing.platform.store import StoreLimits
from acaciawing.platform.wire import Finding

SETTINGS_PATH_VARIABLE = "ACACIAWING_NODE_FILE"

# Limits of a store whose settings lack them.
_LIMITS = StoreLimits()


@dataclass(frozen=True)
class NodeSettings:
    """Settings of this process and of the platform.

    Attributes:
        name: Name of the instance.
        ip: IP address of the instance.
        zone: Availability zone of the instance.
        region: Region of the instance.
        client_address: ``ip:port`` on which the instance serves clients.
        readiness_address: ``ip:port`` of the load balancer's readiness checks.
        first_internal_port: First port for calls between instances.
        store_address: ``ip:port`` of the log store.
        machines_address: ``ip:port`` of the machine interface; empty if there
            is none.
        advice_address: ``ip:port`` of the advice service; empty if there is
            none.
        partitions: Number of partitions of each topic.
        store_limits: How much the store accepts.
        retention_s: Time for which the store retains a record.
        max_lease_ms: Longest lease that workers grant.
        min_member_ttl_ms: Shortest time to live of a group member.
        max_state_age_ms: Maximum age of a job state returned as current.
        state_retention_s: Time for which states of finished jobs are served.
        order_lease_ms: Minimum time between orders of different holders for a
            machine.
        subtask_away_ms: Time for which a long-running subtask is considered
            away.
        move_duration_s: Duration of a move of a machine.
        maintenance_duration_s: Duration of the maintenance of a machine.
        termination_grace_s: Time from SIGTERM to SIGKILL.
        max_objective_miss_ms: Time for which a long-running subtask may miss
            its latency objective.
        max_machine_orders_per_s: Maximum rate of orders for machines.
        cores: Processor cores available to the process.
        link_mbps: Bandwidth of the machine's link, in Mbit/s.
    """

    name: str
    ip: str
    zone: str
    region: str
    client_address: str
    readiness_address: str
    first_internal_port: int
    store_address: str
    machines_address: str
    advice_address: str
    partitions: int
    store_limits: StoreLimits
    retention_s: int
    max_lease_ms: int
    min_member_ttl_ms: int
    max_state_age_ms: int
    state_retention_s: int
    order_lease_ms: int
    subtask_away_ms: int
    move_duration_s: float
    maintenance_duration_s: float
    termination_grace_s: float
    max_objective_miss_ms: int
    max_machine_orders_per_s: float
    cores: float
    link_mbps: float


class NodeSettingsError(Exception):
    """The settings are missing or invalid.

    Attributes:
        findings: All faults that were found.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        """Initializes the error with its findings."""
        self.findings = findings
        super().__init__("; ".join(f"{f.place}: {f.fault}" for f in findings))


class _SettingsReader:
    """Reads fields by dotted path and collects the faults that it finds."""

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values
        self.findings: list[Finding] = []

    def _find(self, path: str) -> Any:
        value: Any = self._values
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(self, path: str, default: str | None = None) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        if default is not None and not value:
            return default
        self.findings.append(Finding(path, "must be a non-empty string"))
        return ""

    def number(self, path: str, default: float) -> float:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, int | float) and not isinstance(value, bool):
            return value
        self.findings.append(Finding(path, f"not a number: {value!r}"))
        return default

    def first_port(self, path: str) -> int:
        value = self._find(path)
        if isinstance(value, list) and value and isinstance(value[0], int):
            return value[0]
        self.findings.append(
            Finding(path, "must be a list that starts with a port")
        )
        return 0


def parse_node_settings(text: str) -> NodeSettings:
    """Parses the text of a settings file.

    Raises:
        NodeSettingsError: If the settings are invalid; it has all findings.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise NodeSettingsError((Finding("file", str(error)),)) from error
    reader = _SettingsReader(values)
    settings = NodeSettings(
        name=reader.text("Node"),
        ip=reader.text("Ip"),
        zone=reader.text("Zone"),
        region=reader.text("Region", ""),
        client_address=reader.text("Listen.Front"),
        readiness_address=reader.text("Listen.Ready"),
        first_internal_port=reader.first_port("InternalPorts"),
        store_address=reader.text("platform.Address"),
        machines_address=reader.text("Cloud.Address", ""),
        advice_address=reader.text("Advice", ""),
        partitions=int(reader.number("platform.parts", 32)),
        store_limits=StoreLimits(
            int(reader.number("platform.RecordBytes", _LIMITS.record_bytes)),
            int(reader.number("platform.CallBytes", _LIMITS.call_bytes)),
        ),
        retention_s=int(reader.number("platform.keep_s", 300)),
        max_lease_ms=int(reader.number("Bounds.HoldMaxMs", 10_000)),
        min_member_ttl_ms=int(reader.number("platform.TtlMinMs", 1000)),
        max_state_age_ms=int(reader.number("Bounds.visible_ms", 3000)),
        state_retention_s=int(reader.number("Bounds.status_s", 120)),
        order_lease_ms=int(reader.number("Bounds.LeaseMs", 3000)),
        subtask_away_ms=int(reader.number("Bounds.NoticeMs", 4500)),
        move_duration_s=reader.number("Bounds.MoveS", 1.5),
        maintenance_duration_s=reader.number("Bounds.MaintenanceS", 2.0),
        termination_grace_s=reader.number("Bounds.GraceS", 6.0),
        max_objective_miss_ms=int(reader.number("Bounds.HarmMs", 4000)),
        max_machine_orders_per_s=reader.number("Cloud.DutiesPerS", 64.0),
        cores=(
            reader.number("Limits.CpuShare", 1.0)
            * reader.number("Limits.Cores", 1)
        ),
        link_mbps=reader.number("Limits.LinkMbps", 1000.0),
    )
    if reader.findings:
        raise NodeSettingsError(tuple(reader.findings))
    return settings


def read_node_settings() -> NodeSettings:
    """Reads the settings of this process.

    Raises:
        NodeSettingsError: If the settings are missing or invalid.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    if not path:
        fault = Finding(
            SETTINGS_PATH_VARIABLE, "the environment variable is not set"
        )
        raise NodeSettingsError((fault,))
    try:
        return parse_node_settings(Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise NodeSettingsError((Finding(path, str(error)),)) from error

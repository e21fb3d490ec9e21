"""Settings that the platform gives to a process on one of its machines."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from acaciawing.platform.wire import Finding

SETTINGS_VARIABLE = "ACACIAWING_NODE_FILE"


@dataclass(frozen=True)
class NodeSettings:
    """What a process has to know of itself and of the platform.

    Attributes:
        name: Name of the instance.
        ip: Its address.
        zone: Its availability zone.
        region: Its region.
        callers: ``ip:port`` for clients.
        readiness: ``ip:port`` for the balancer's checks.
        first_internal_port: First port for the system's own calls.
        store: ``ip:port`` of the log store.
        machines: ``ip:port`` of the machines' interface; empty without one.
        advice: ``ip:port`` of the advice service; empty without one.
        partitions: Partitions of each topic.
        retention_s: How long the store keeps a record.
        lease_limit_ms: Longest lease that workers grant.
        member_ttl_min_ms: Shortest lifetime of a group member.
        max_state_age_ms: Age up to which an answer about a job counts as current.
        state_retention_s: How long states of finished jobs are told.
        order_lease_ms: Shortest time between holders of a machine.
        notice_ms: Time for which a lasting subtask counts as away.
        move_s: Time that a move of a machine takes.
        maintenance_s: Time that the upkeep of a machine takes.
        grace_s: Time from SIGTERM to SIGKILL.
        harm_ms: Time for which a served objective may be missed.
        duties_per_s: Most orders for machines a second.
        cores: Processor time that the process has, in cores.
        link_mbps: Bandwidth of the machine's link, in Mbit/s.
    """

    name: str
    ip: str
    zone: str
    region: str
    callers: str
    readiness: str
    first_internal_port: int
    store: str
    machines: str
    advice: str
    partitions: int
    retention_s: int
    lease_limit_ms: int
    member_ttl_min_ms: int
    max_state_age_ms: int
    state_retention_s: int
    order_lease_ms: int
    notice_ms: int
    move_s: float
    maintenance_s: float
    grace_s: float
    harm_ms: int
    duties_per_s: float
    cores: float
    link_mbps: float


class NodeSettingsError(Exception):
    """The settings can't be used.

    Attributes:
        findings: All faults with their places.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        """Keeps the findings."""
        self.findings = findings
        super().__init__("; ".join(f"{f.place}: {f.fault}" for f in findings))


class _Reader:
    """Reads fields by path and collects what is wrong with them."""

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
        self.findings.append(Finding(path, "a text is missing"))
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
        self.findings.append(Finding(path, "a range of ports is missing"))
        return 0


def parse_node_settings(text: str) -> NodeSettings:
    """Reads the settings file's text.

    Raises:
        NodeSettingsError: With all findings, where it can't be used.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise NodeSettingsError((Finding("file", str(error)),)) from error
    read = _Reader(values)
    settings = NodeSettings(
        name=read.text("Node"),
        ip=read.text("Ip"),
        zone=read.text("Zone"),
        region=read.text("Region", ""),
        callers=read.text("Listen.Front"),
        readiness=read.text("Listen.Ready"),
        first_internal_port=read.first_port("InternalPorts"),
        store=read.text("platform.Address"),
        machines=read.text("Cloud.Address", ""),
        advice=read.text("Advice", ""),
        partitions=int(read.number("platform.parts", 32)),
        retention_s=int(read.number("platform.keep_s", 300)),
        lease_limit_ms=int(read.number("Bounds.HoldMaxMs", 10_000)),
        member_ttl_min_ms=int(read.number("platform.TtlMinMs", 1000)),
        max_state_age_ms=int(read.number("Bounds.visible_ms", 3000)),
        state_retention_s=int(read.number("Bounds.status_s", 120)),
        order_lease_ms=int(read.number("Bounds.LeaseMs", 3000)),
        notice_ms=int(read.number("Bounds.NoticeMs", 4500)),
        move_s=read.number("Bounds.MoveS", 1.5),
        maintenance_s=read.number("Bounds.MaintenanceS", 2.0),
        grace_s=read.number("Bounds.GraceS", 6.0),
        harm_ms=int(read.number("Bounds.HarmMs", 4000)),
        duties_per_s=read.number("Cloud.DutiesPerS", 64.0),
        cores=(
            read.number("Limits.CpuShare", 1.0) * read.number("Limits.Cores", 1)
        ),
        link_mbps=read.number("Limits.LinkMbps", 1000.0),
    )
    if read.findings:
        raise NodeSettingsError(tuple(read.findings))
    return settings


def read_node_settings() -> NodeSettings:
    """Reads the settings of this process.

    Raises:
        NodeSettingsError: Where they are missing or can't be used.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        fault = Finding(SETTINGS_VARIABLE, "the variable is not set")
        raise NodeSettingsError((fault,))
    try:
        return parse_node_settings(Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise NodeSettingsError((Finding(path, str(error)),)) from error

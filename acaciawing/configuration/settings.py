"""Process settings of an entry instance."""

import ipaddress
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from acaciawing.configuration.document import Source, parse, read_source
from acaciawing.configuration.fields import (
    Fields,
    Key,
    Parsed,
    Rejected,
    array,
    boolean,
    choice,
    count,
    digest,
    duration,
    read_fields,
    rejected,
    table,
    text,
)
from acaciawing.configuration.findings import (
    Code,
    Finding,
    Findings,
    Place,
    ordered,
)
from acaciawing.configuration.values import Placed


@dataclass(frozen=True)
class Peer:
    """Another entry instance that this one may contact first.

    Attributes:
        instance: Its id.
        zone: Its availability zone.
        address: ``ip:port`` of its administration listener.
    """

    instance: str
    zone: str
    address: str


@dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry instance; read once at start.

    Attributes:
        instance: Id of the instance, unique over time with its incarnation.
        zone: Availability zone.
        region: Region of the zone.
        listen: ``ip:port`` for callers.
        administration: ``ip:port`` for administration and peers.
        log: Base URL of the platform's log.
        list: Base URL of the platform's instance list.
        administration_sha256: Digest of the administration credential.
        peer_credential: Secret that entry instances show to each other.
        peers: Entry instances known at start.
        threads: Request threads.
        log_format: ``json`` or ``console``.
        move_cost: Seconds for which a move takes an instance out of service;
            used until moves are measured.
        claim_retention: Seconds for which an idempotency key stays claimed;
            the same in the whole fleet.
        accept_memory_loss: Whether to take keyed work although no member is
            left that knows the grants of the last outage of the log.
    """

    instance: str
    zone: str
    region: str
    listen: str
    administration: str
    log: str
    list: str
    administration_sha256: str
    peer_credential: str = field(repr=False)
    peers: tuple[Peer, ...] = ()
    threads: int = 64
    log_format: str = "json"
    move_cost: float = 30.0
    claim_retention: float = 86400.0
    accept_memory_loss: bool = False


@dataclass(frozen=True)
class CheckedSettings:
    """Result of the check of process settings.

    Attributes:
        settings: The settings, or None if there is a finding.
        findings: All faults, in the order of their places.
    """

    settings: EntrySettings | None
    findings: Findings = ()


class InvalidSettingsError(ValueError):
    """Process settings that have findings.

    Attributes:
        findings: All faults, in the order of their places.
    """

    def __init__(self, findings: Findings) -> None:
        """Keeps the findings; the message has one line for each."""
        super().__init__("\n".join(str(f) for f in findings))
        self.findings = findings


def read_settings(path: Path) -> EntrySettings:
    """Reads process settings.

    Args:
        path: TOML file.

    Returns:
        The settings.

    Raises:
        InvalidSettingsError: If there is any finding, also if the file cannot
            be read.
    """
    checked = check_settings(read_source(path))
    if checked.settings is None:
        raise InvalidSettingsError(checked.findings)
    return checked.settings


def check_settings(source: Source | Finding) -> CheckedSettings:
    """Checks process settings; never raises on bad input.

    Args:
        source: The file, or why it could not be read.
    """
    if isinstance(source, Finding):
        return CheckedSettings(None, (source,))
    document = parse(source)
    fields = read_fields(document.root, SETTINGS_KEYS, "the file")
    findings = [*document.findings, *fields.findings]
    peers = [
        read_fields(peer, PEER_KEYS, "a peer")
        for peer in fields.values.pop("peers", ())
    ]
    for peer in peers:
        findings.extend(peer.findings)
    findings.extend(_repeated_peers(fields, peers))
    findings.extend(_repeated_addresses(fields, peers))
    if findings:
        return CheckedSettings(None, ordered(findings))
    known = tuple(Peer(**peer.values) for peer in peers)
    return CheckedSettings(EntrySettings(**fields.values, peers=known))


def _repeated_peers(fields: Fields, peers: list[Fields]) -> Iterator[Finding]:
    first: dict[str, Place] = {}
    for owner in (fields, *peers):
        instance = owner.values.get("instance")
        if instance is None:
            continue
        place = owner.places["instance"]
        before = first.setdefault(instance, place)
        if before is not place:
            problem = f"instance {instance!r} is already at line {before.line}"
            yield Finding(place, Code.DUPLICATE_NAME, problem)


def _repeated_addresses(
    fields: Fields, peers: list[Fields]
) -> Iterator[Finding]:
    first: dict[str, Place] = {}
    used = [(fields, "listen"), (fields, "administration")]
    used += [(peer, "address") for peer in peers]
    for owner, key in used:
        address = owner.values.get(key)
        # Port 0 lets the system choose, so it may be given more than once.
        if address is None or address.endswith(":0"):
            continue
        place = owner.places[key]
        before = first.setdefault(address, place)
        if before is not place:
            problem = f"{address} is already used at line {before.line}"
            yield Finding(place, Code.DUPLICATE_ADDRESS, problem)


def _listener(placed: Placed) -> Parsed:
    return _address(placed, lowest_port=0)


def _address(placed: Placed, lowest_port: int = 1) -> Parsed:
    value = text(placed)
    if isinstance(value, Rejected) or is_address(value, lowest_port):
        return value
    wanted = 'an address such as "192.0.2.1:8080" is needed'
    return rejected(placed.place, Code.MALFORMED_ADDRESS, wanted)


def is_address(value: str, lowest_port: int = 0) -> bool:
    """Tells whether a string is ``ip:port``.

    >>> is_address("127.0.0.1:8080"), is_address("[::1]:80")
    (True, True)
    >>> is_address("localhost:80"), is_address("127.0.0.1:99999")
    (False, False)
    """
    host, _, port = value.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    if bracketed != (address.version == 6):
        return False
    digits = re.fullmatch(r"[0-9]{1,5}", port) is not None
    return digits and lowest_port <= int(port) <= 65535


def _url(placed: Placed) -> Parsed:
    value = text(placed)
    if isinstance(value, Rejected) or is_url(value):
        return value
    wanted = 'a URL such as "http://192.0.2.1:7000" is needed'
    return rejected(placed.place, Code.MALFORMED_URL, wanted)


def is_url(value: str) -> bool:
    """Tells whether a string is ``http://ip:port`` without a path.

    >>> is_url("http://127.0.0.1:7000"), is_url("http://127.0.0.1")
    (True, False)
    """
    scheme, _, rest = value.partition("://")
    return scheme == "http" and is_address(rest.removesuffix("/"), 1)


def _peers(placed: Placed) -> Parsed:
    elements = array(placed)
    if isinstance(elements, Rejected):
        return elements
    tables = [table(element) for element in elements]
    faults = [f for t in tables if isinstance(t, Rejected) for f in t.findings]
    return Rejected(tuple(faults)) if faults else tuple(tables)


PEER_KEYS = (Key("instance", text), Key("zone", text), Key("address", _address))
SETTINGS_KEYS = (
    Key("instance", text),
    Key("zone", text),
    Key("region", text),
    Key("listen", _listener),
    Key("administration", _listener),
    Key("log", _url),
    Key("list", _url),
    Key("administration_sha256", digest),
    Key("peer_credential", text),
    Key("peers", _peers, required=False),
    Key("threads", count(1, 4096), required=False),
    Key("log_format", choice("json", "console"), required=False),
    Key("move_cost", duration, required=False),
    Key("claim_retention", duration, required=False),
    Key("accept_memory_loss", boolean, required=False),
)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port``; an IPv6 address stands in brackets.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)

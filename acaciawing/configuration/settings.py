"""Process settings of an entry instance."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from acaciawing.configuration.document import Source, parse, read_source
from acaciawing.configuration.fields import (
    Fields,
    Key,
    ParseResult,
    Rejection,
    array,
    boolean,
    choice,
    count,
    digest,
    duration,
    read_fields,
    reject,
    table,
    text,
)
from acaciawing.configuration.findings import (
    Code,
    Finding,
    Findings,
    Place,
    sort_findings,
)
from acaciawing.configuration.values import TomlValue
from acaciawing.decoding import is_address


@dataclass(frozen=True)
class Peer:
    """An entry instance that this one can contact to join the fleet.

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
        instance: Id of the instance; unique over time together with its
            incarnation.
        zone: Availability zone.
        region: Region of the zone.
        listen: ``ip:port`` for callers.
        administration: ``ip:port`` for administration and peers.
        log: Base URL of the platform's log.
        list: Base URL of the platform's instance list.
        administration_sha256: Digest of the administration credential.
        peer_credential: Secret by which entry instances authenticate to each
            other.
        peers: Entry instances known at start.
        threads: Number of request threads.
        log_format: ``json`` or ``console``.
        move_cost: Seconds for which a move takes an instance out of service;
            an estimate that is used until moves have been measured.
        claim_retention: Seconds for which an idempotency key stays claimed;
            the same in the whole fleet.
        accept_memory_loss: Whether to accept requests with idempotency keys
            although no remaining member knows the claims granted during the
            last outage of the log.
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
    """Result of checking process settings.

    Attributes:
        settings: The settings, or None if there is a finding.
        findings: All faults, sorted by place.
    """

    settings: EntrySettings | None
    findings: Findings = ()


class InvalidSettingsError(ValueError):
    """Error for process settings with findings.

    Attributes:
        findings: All faults, sorted by place.
    """

    def __init__(self, findings: Findings) -> None:
        """Creates the error; its message has one line for each finding."""
        super().__init__("\n".join(str(f) for f in findings))
        self.findings = findings


def read_settings(path: Path) -> EntrySettings:
    """Reads process settings.

    Args:
        path: TOML file.

    Returns:
        The settings.

    Raises:
        InvalidSettingsError: If there is a finding. An unreadable file is a
            finding.
    """
    checked = check_settings(read_source(path))
    if checked.settings is None:
        raise InvalidSettingsError(checked.findings)
    return checked.settings


def check_settings(source: Source | Finding) -> CheckedSettings:
    """Checks process settings; never raises on bad input.

    Args:
        source: The file, or the finding of a failed read.
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
    findings.extend(_duplicate_instances(fields, peers))
    findings.extend(_duplicate_addresses(fields, peers))
    if findings:
        return CheckedSettings(None, sort_findings(findings))
    known = tuple(Peer(**peer.values) for peer in peers)
    return CheckedSettings(EntrySettings(**fields.values, peers=known))


def _duplicate_instances(
    fields: Fields, peers: list[Fields]
) -> Iterator[Finding]:
    first: dict[str, Place] = {}
    for owner in (fields, *peers):
        instance = owner.values.get("instance")
        if instance is None:
            continue
        place = owner.places["instance"]
        earlier = first.setdefault(instance, place)
        if earlier is not place:
            problem = f"instance {instance!r} is already at line {earlier.line}"
            yield Finding(place, Code.DUPLICATE_NAME, problem)


def _duplicate_addresses(
    fields: Fields, peers: list[Fields]
) -> Iterator[Finding]:
    first: dict[str, Place] = {}
    used = [(fields, "listen"), (fields, "administration")]
    used += [(peer, "address") for peer in peers]
    for owner, key in used:
        address = owner.values.get(key)
        # Port 0 lets the system choose a port, so it may occur repeatedly.
        if address is None or address.endswith(":0"):
            continue
        place = owner.places[key]
        earlier = first.setdefault(address, place)
        if earlier is not place:
            problem = f"{address} is already used at line {earlier.line}"
            yield Finding(place, Code.DUPLICATE_ADDRESS, problem)


def _listen_address(toml_value: TomlValue) -> ParseResult:
    return _address(toml_value, lowest_port=0)


def _address(toml_value: TomlValue, lowest_port: int = 1) -> ParseResult:
    value = text(toml_value)
    if isinstance(value, Rejection) or is_address(value, lowest_port):
        return value
    expected = 'an address such as "192.0.2.1:8080" is needed'
    return reject(toml_value.place, Code.MALFORMED_ADDRESS, expected)


def _url(toml_value: TomlValue) -> ParseResult:
    value = text(toml_value)
    if isinstance(value, Rejection) or is_url(value):
        return value
    expected = 'a URL such as "http://192.0.2.1:7000" is needed'
    return reject(toml_value.place, Code.MALFORMED_URL, expected)


def is_url(value: str) -> bool:
    """Returns whether a string is ``http://ip:port`` without a path.

    >>> is_url("http://127.0.0.1:7000"), is_url("http://127.0.0.1")
    (True, False)
    """
    scheme, _, rest = value.partition("://")
    return scheme == "http" and is_address(rest.removesuffix("/"), 1)


def _peers(toml_value: TomlValue) -> ParseResult:
    elements = array(toml_value)
    if isinstance(elements, Rejection):
        return elements
    tables = [table(element) for element in elements]
    faults = [f for t in tables if isinstance(t, Rejection) for f in t.findings]
    return Rejection(tuple(faults)) if faults else tuple(tables)


PEER_KEYS = (Key("instance", text), Key("zone", text), Key("address", _address))
SETTINGS_KEYS = (
    Key("instance", text),
    Key("zone", text),
    Key("region", text),
    Key("listen", _listen_address),
    Key("administration", _listen_address),
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
    """Splits ``ip:port``; an IPv6 address is in brackets.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)

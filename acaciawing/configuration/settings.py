"""Process settings of an entry instance."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec


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
    """

    instance: str
    zone: str
    region: str
    listen: str
    administration: str
    log: str
    list: str
    administration_sha256: str
    peer_credential: str
    peers: tuple[Peer, ...] = ()
    threads: int = 64
    log_format: str = "json"


def read_settings(path: Path) -> EntrySettings:
    """Reads process settings.

    Args:
        path: TOML file.

    Returns:
        The settings.

    Raises:
        msgspec.ValidationError: If a key is missing or has a wrong type.
        tomllib.TOMLDecodeError: If the file is not TOML.
    """
    return msgspec.convert(
        tomllib.loads(path.read_text("utf-8")), EntrySettings
    )


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port``.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)

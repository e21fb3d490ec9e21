"""Client of the platform's lagging list of instances."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Protocol, TypeAlias

import msgspec
import urllib3

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.5)


@dataclass(frozen=True)
class ListedInstance:
    """An instance as the platform lists it.

    Attributes:
        instance: Id of the instance.
        incarnation: Start number; grows with each replacement or reboot.
        pool: Pool that the platform started it in.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        state: ``live`` or ``leaving``; a status may also say ``rebooting`` or
            ``rebooted`` (up again and not yet returned to service).
        in_flight: Requests that it runs, from a status; the list and older
            platforms leave it out.
        processors: Processor cores for tasks; 0 where it runs none.
        memory_mb: Memory for tasks, in MB.
        accelerators: Accelerators for tasks.
    """

    instance: str
    incarnation: int
    pool: str
    zone: str
    rack: str
    address: str
    state: str
    in_flight: int | None = None
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True)
class Listing:
    """One answer of the list.

    Attributes:
        as_of: Time on the platform's clock that the list describes, seconds.
        instances: Listed instances, in no order.
    """

    as_of: float
    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True)
class ListUnavailable:
    """The list did not answer or answered with an error."""

    detail: str


ListOutcome: TypeAlias = Listing | ListUnavailable


class InstanceList(Protocol):
    """What the tasks need of the list; tests use an in-memory fake."""

    def fetch(self) -> ListOutcome:
        """Reads the list once."""
        ...


class ListClient:
    """Client of the instance list over HTTP with JSON.

    Asks with ``If-None-Match`` (RFC 9110 section 13.1.2) and for gzip: a list
    of 1,400 instances has about 220 KB, and a read each second would use 22
    times the 10 KB/s that a node may spend on control.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Keeps the address; connects on first use."""
        self._url = base_url.rstrip("/") + "/v1/instances"
        self._http = urllib3.PoolManager(
            num_pools=1, timeout=_TIMEOUT, retries=False
        )
        self._decoder = msgspec.json.Decoder(Listing)
        self._tag = ""
        self._last: Listing | None = None

    def fetch(self) -> ListOutcome:
        """Reads the list once.

        Returns:
            The list. If it has not changed, ``instances`` is the same object
            as before, and only ``as_of`` is newer.
        """
        headers = {"Accept-Encoding": "gzip"}
        if self._tag:
            headers["If-None-Match"] = self._tag
        try:
            answer = self._http.request("GET", self._url, headers=headers)
            if answer.status == 304 and self._last is not None:
                self._last = _confirmed(self._last, answer.headers)
                return self._last
            if answer.status != 200:
                return ListUnavailable(f"status {answer.status}")
            self._last = self._decoder.decode(answer.data)
            self._tag = answer.headers.get("ETag", "")
            return self._last
        except urllib3.exceptions.HTTPError as error:
            return ListUnavailable(str(error))
        except msgspec.DecodeError as error:
            return ListUnavailable(f"answer not understood: {error}")


# The platform names the time that its answer describes, also in a 304.
_AS_OF = "X-As-Of"


def _confirmed(known: Listing, headers: Mapping[str, str]) -> Listing:
    """A known list that was still true at a later time."""
    try:
        as_of = float(headers.get(_AS_OF, ""))
    except ValueError:
        return known
    return replace(known, as_of=max(as_of, known.as_of))

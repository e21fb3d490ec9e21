"""Client of the platform's instance list, which lags behind its state."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Protocol, TypeAlias

import msgspec
import urllib3

from acaciawing.decoding import DECODE_ERRORS

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.5)


@dataclass(frozen=True)
class ListedInstance:
    """An instance as the platform lists it.

    Attributes:
        instance: Id of the instance.
        incarnation: Start number; increases with each replacement or reboot.
        pool: Pool that the platform started it in.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        state: ``live`` or ``leaving``; a status response may also contain
            ``rebooting`` or ``rebooted`` (running again, but not yet returned
            to service).
        in_flight: Number of requests that it is processing; None in the list
            and in a status response of an older platform.
        processors: Processor cores for tasks; 0 if it runs no tasks.
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
    """State of the instance list at one time.

    Attributes:
        as_of: Time that the list describes, in seconds on the platform's
            clock.
        instances: Listed instances, in no particular order.
    """

    as_of: float
    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True)
class ListUnavailable:
    """The service did not respond, or responded with an error."""

    detail: str


ListOutcome: TypeAlias = Listing | ListUnavailable


class InstanceList(Protocol):
    """Interface of the instance list; tests implement it in memory."""

    def fetch(self) -> ListOutcome:
        """Reads the list once."""
        ...


class ListClient:
    """Client of the instance list over HTTP with JSON.

    Requests are conditional (``If-None-Match``, RFC 9110 section 13.1.2) and
    accept gzip: a list of 1,400 instances has about 220 KB, and reading it
    every second would use 22 times the 10 KB/s that a node may use for control
    traffic.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._url = base_url.rstrip("/") + "/v1/instances"
        self._http = urllib3.PoolManager(
            num_pools=1, timeout=_TIMEOUT, retries=False
        )
        self._decoder = msgspec.json.Decoder(Listing)
        self._etag = ""
        self._last_listing: Listing | None = None

    def fetch(self) -> ListOutcome:
        """Reads the list once.

        Returns:
            The list. If it has not changed since the last call, ``instances``
            is the same object and only ``as_of`` is newer.
        """
        headers = {"Accept-Encoding": "gzip"}
        if self._etag:
            headers["If-None-Match"] = self._etag
        try:
            response = self._http.request("GET", self._url, headers=headers)
            if response.status == 304 and self._last_listing is not None:
                self._last_listing = _with_newer_time(
                    self._last_listing, response.headers
                )
                return self._last_listing
            if response.status != 200:
                return ListUnavailable(f"status {response.status}")
            self._last_listing = self._decoder.decode(response.data)
            self._etag = response.headers.get("ETag", "")
            return self._last_listing
        except urllib3.exceptions.HTTPError as error:
            return ListUnavailable(str(error))
        except DECODE_ERRORS as error:
            return ListUnavailable(f"malformed response: {error}")


# Header with the time that the response describes; a 304 response has it, too.
_AS_OF_HEADER = "X-As-Of"


def _with_newer_time(listing: Listing, headers: Mapping[str, str]) -> Listing:
    """Returns an unchanged list with the newer time of a 304 response."""
    try:
        as_of = float(headers.get(_AS_OF_HEADER, ""))
    except ValueError:
        return listing
    return replace(listing, as_of=max(as_of, listing.as_of))

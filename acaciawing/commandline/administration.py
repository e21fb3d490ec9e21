"""Client of the administration API of an entry instance."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias, TypeVar
from urllib.parse import quote

import urllib3

from acaciawing.commandline.documents import (
    ExplainDocument,
    StatusDocument,
    decode_explain,
    decode_status,
)
from acaciawing.decoding import DECODE_ERRORS

_TIMEOUT = urllib3.Timeout(connect=1.0, read=5.0)

T = TypeVar("T")


@dataclass(frozen=True)
class EntryRefused:
    """The entry instance answered with an error status.

    Attributes:
        status: HTTP status.
    """

    status: int


@dataclass(frozen=True)
class EntryUnavailable:
    """The entry instance gave no answer or one that cannot be decoded."""

    detail: str


Failure: TypeAlias = EntryRefused | EntryUnavailable


class AdministrationClient:
    """Sends requests to one entry instance.

    Args:
        base_url: Address of its administration listener, ``http://ip:port``.
        credential: Secret of the operator; never logged.
    """

    def __init__(self, base_url: str, credential: str) -> None:
        """Creates the client; it connects with the first request."""
        self._base_url = base_url.rstrip("/")
        self._http = urllib3.PoolManager(
            num_pools=1,
            timeout=_TIMEOUT,
            retries=False,
            headers={"Authorization": f"Bearer {credential}"},
        )

    def status(self) -> StatusDocument | Failure:
        """Reads the status."""
        return self._get("/v1/status", decode_status)

    def explain(self, kind: str, subject: str) -> ExplainDocument | Failure:
        """Reads the decisions about a request, a task or an instance."""
        path = f"/v1/explain/{kind}/{quote(subject, safe='')}"
        return self._get(path, decode_explain)

    def _get(self, path: str, decode: Callable[[bytes], T]) -> T | Failure:
        try:
            answer = self._http.request("GET", self._base_url + path)
            if answer.status in (429, 502, 503, 504):
                return EntryUnavailable(f"status {answer.status}")
            if answer.status != 200:
                return EntryRefused(answer.status)
            return decode(answer.data)
        except urllib3.exceptions.HTTPError as error:
            return EntryUnavailable(str(error))
        except DECODE_ERRORS as error:
            return EntryUnavailable(f"answer not understood: {error}")

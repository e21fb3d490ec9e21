"""The stand-in store as one instance sees it."""

import base64
import json
import struct
from collections.abc import Callable
from typing import Any

from standins.job_store import JobStore
from standins.server import Response, json_response

_WORKERS_TOPIC = "keyed.servers"
_BOUNDS_BYTES = 16
_RECORD_LENGTH = struct.Struct(">I")


class StoreView:
    """Forwards the requests of one instance to the store.

    Args:
        store: The store.
        localize: Returns the address at which the instance reaches a worker,
            given the address in the worker's record.

    Attributes:
        refuses_joins: Whether joins are answered with 503, while all other
            requests are served.
    """

    def __init__(self, store: JobStore, localize: Callable[[str], str]) -> None:
        """Serves all requests."""
        self._store = store
        self._localize = localize
        self.refuses_joins = False

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        if self.refuses_joins and path == "/v1/log-join":
            return json_response(503, {})
        response = self._store.handle(method, path, query, body, environ)
        if query.get("Topic") != _WORKERS_TOPIC or response[0] != 200:
            return response
        if path == "/v1/log-read":
            return self._localize_read(response)
        if path == "/v1/log-newest":
            return self._localize_newest(response)
        return response

    def _localize_read(self, response: Response) -> Response:
        status, headers, content = response
        parts, position = [content[:_BOUNDS_BYTES]], _BOUNDS_BYTES
        while position < len(content):
            (size,) = _RECORD_LENGTH.unpack_from(content, position)
            position += _RECORD_LENGTH.size
            record = content[position : position + size]
            position += size
            value_at = 1 + record[0]
            record = record[:value_at] + self._localize_value(record[value_at:])
            parts += [_RECORD_LENGTH.pack(len(record)), record]
        return status, headers, b"".join(parts)

    def _localize_newest(self, response: Response) -> Response:
        status, _, content = response
        page = json.loads(content)
        for item in page["items"]:
            value = self._localize_value(base64.b64decode(item["Value"]))
            item["Value"] = base64.b64encode(value).decode()
        return json_response(status, page)

    def _localize_value(self, value: bytes) -> bytes:
        if not value:
            return value
        worker = json.loads(value)
        worker["Address"] = self._localize(worker["Address"])
        return json.dumps(worker).encode()

"""Tests of the worker client against scripted responses."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import pytest

from acaciawing.platform import (
    ListedInstance,
    OperationDone,
    OperationNotDone,
    OperationUnknown,
    ReportedTask,
    TasksReported,
    TaskStart,
    WorkerClient,
)

INSTANCE = ListedInstance(
    "worker/1", 2, "visits", "z1", "r1", "192.0.2.1:80", "leaving"
)
BODY = json.dumps(
    {name: getattr(INSTANCE, name) for name in INSTANCE.__dataclass_fields__}
).encode()


class _Scripted(BaseHTTPRequestHandler):
    def _respond(self) -> None:
        server: Any = self.server
        length = int(self.headers.get("Content-Length", "0"))
        call = (self.command, self.path, self.rfile.read(length))
        server.calls.append(call)
        status, body = server.script.pop(0)
        if status is None:  # The response to a call that was read is lost.
            self.close_connection = True
            return
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = _respond  # noqa: N815 - names required by http.server

    def log_message(self, *args: Any) -> None:
        """Suppresses the request log."""


@pytest.fixture
def server() -> Iterator[Any]:
    http_server: Any = HTTPServer(("127.0.0.1", 0), _Scripted)
    http_server.calls, http_server.script = [], []
    thread = threading.Thread(target=http_server.serve_forever, args=(0.01,))
    thread.start()
    yield http_server
    http_server.shutdown()
    thread.join()
    http_server.server_close()


class TestWorkerClient:
    """Guards against operations wrongly reported as done or not done."""

    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (200, BODY, OperationDone(INSTANCE)),
            (404, b"{}", OperationNotDone("status 404", instance_unknown=True)),
            (503, b"{}", OperationNotDone("status 503")),
            (500, b"{}", OperationUnknown("status 500")),
        ],
    )
    def test_status_determines_the_outcome(
        self, server: Any, status: int, body: bytes, outcome: object
    ) -> None:
        server.script.append((status, body))
        client = WorkerClient(f"http://127.0.0.1:{server.server_port}")
        assert client.drain("worker/1", "worker/1/7/drain") == outcome

    @pytest.mark.parametrize("body", [b"[]", b"{", None])
    def test_outcome_is_unknown_after_lost_or_malformed_response(
        self, server: Any, body: bytes | None
    ) -> None:
        server.script.append((None if body is None else 200, body))
        client = WorkerClient(f"http://127.0.0.1:{server.server_port}")
        outcome = client.reboot("worker/1", "worker/1/7/reboot")
        assert isinstance(outcome, OperationUnknown)

    def test_calls_carry_the_operation_id(self, server: Any) -> None:
        server.script += [(200, BODY)] * 2
        client = WorkerClient(f"http://127.0.0.1:{server.server_port}")
        client.return_to("worker/1", "portal", "worker/1/8/return")
        client.status("worker/1")
        (method, path, sent), read = server.calls
        assert (method, path) == ("POST", "/v1/instances/worker%2F1/return")
        assert json.loads(sent) == {
            "operation_id": "worker/1/8/return",
            "pool": "portal",
        }
        assert read == ("GET", "/v1/instances/worker%2F1", b"")

    def test_refused_connection_means_not_done(self, server: Any) -> None:
        client = WorkerClient("http://127.0.0.1:1")
        outcome = client.drain("worker/1", "worker/1/7/drain")
        assert isinstance(outcome, OperationNotDone)
        assert not outcome.instance_unknown


class TestTaskCalls:
    """Guards against a task call whose response is misinterpreted."""

    START = TaskStart("t/1", 2, "render", 4.0, 1000, 0, 60.0)

    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (
                200,
                b'{"tasks": [{"task": "t", "attempt": 1, "state": "running"}]}',
                TasksReported((ReportedTask("t", 1, "running"),)),
            ),
            (404, b"{}", OperationNotDone("status 404", instance_unknown=True)),
            (429, b"{}", OperationNotDone("status 429")),
            (500, b"{}", OperationUnknown("status 500")),
        ],
    )
    def test_paths_fields_and_outcomes_of_task_calls(
        self, server: Any, status: int, body: bytes, outcome: object
    ) -> None:
        server.script += [(status, body)] * 5
        client = WorkerClient(f"http://127.0.0.1:{server.server_port}")
        attempts = (("t/1", 2),)
        assert client.start_task("w/1", self.START, "id") == outcome
        assert client.checkpoint_task("w/1", attempts, "id") == outcome
        assert client.throttle_task("w/1", attempts, "id") == outcome
        assert client.stop_task("w/1", attempts, "id") == outcome
        assert client.tasks("w/1") == outcome
        base = "/v1/instances/w%2F1/tasks"
        assert [call[:2] for call in server.calls] == [
            ("POST", base),
            ("POST", f"{base}/checkpoint"),
            ("POST", f"{base}/throttle"),
            ("POST", f"{base}/stop"),
            ("GET", base),
        ]
        fields = json.loads(server.calls[0][2])
        assert fields["operation_id"] == "id"
        assert (fields["task"], fields["attempt"]) == ("t/1", 2)

    @pytest.mark.parametrize("body", [b"[]", b'{"tasks": 1}', None])
    def test_outcome_is_unknown_after_lost_or_malformed_response(
        self, server: Any, body: bytes | None
    ) -> None:
        server.script.append((200 if body else None, body))
        client = WorkerClient(f"http://127.0.0.1:{server.server_port}")
        outcome = client.start_task("w", self.START, "id")
        assert isinstance(outcome, OperationUnknown)

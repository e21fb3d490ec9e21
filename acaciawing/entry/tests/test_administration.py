"""Tests of the administration listener and of its documentation page."""

import hashlib
import io
import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from acaciawing.commandline import decode_explain, decode_status
from acaciawing.commandline.tests.test_publish import FakeLog
from acaciawing.configuration import ConfigurationIndex, read_settings
from acaciawing.entry.administration import ROUTES, Administration, Sources
from acaciawing.entry.caller_application import ServingState
from acaciawing.entry.configuration_publisher import Publisher
from acaciawing.entry.decision_recorder import Change, Decision
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.framing import MAX_BODY_BYTES
from acaciawing.entry.metric_values import ProcessCounts
from acaciawing.entry.status import LISTS
from acaciawing.entry.task_requests import TaskRequests
from acaciawing.entry.tests.views import NOW, make_view
from acaciawing.telemetry import Event

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs" / "api.md").read_text("utf-8")
SAMPLE = ROOT / "samples" / "frizura"
OPERATOR = "operator-secret"
PEER = "peer-secret"


class FakeScheduler:
    """Returns the view of the small fleet."""

    def view(self) -> EngineView:
        return make_view()


class FakeRecorder:
    """Returns one decision and three changes."""

    def explain(self, kind: str, subject: str) -> list[Decision]:
        if subject != "visits-1":
            return []
        event = Event.CONTROL_DECIDED
        return [Decision(kind, subject, 1.0, event, {"record": "wave-step"})]

    def changes(self) -> list[Change]:
        return [
            Change(n, 1.0, "wave-stopped", "", "ana", "accepted", "", "")
            for n in (4, 7, 9)
        ]


def make_administration(log: FakeLog) -> Administration:
    settings = replace(
        read_settings(SAMPLE / "entry.toml"),
        administration_sha256=hashlib.sha256(OPERATOR.encode()).hexdigest(),
        peer_credential=PEER,
    )
    sources = Sources(
        ServingState(ConfigurationIndex(), ready=True),
        FakeScheduler(),  # type: ignore[arg-type]
        FakeRecorder(),  # type: ignore[arg-type]
        Publisher(log, lambda: log.now, log.sleep),
        TaskRequests(log),
        lambda: True,
        lambda: ProcessCounts({}, {}),
        lambda: NOW,
    )
    handlers = {"gossip": lambda body: body or None}
    return Administration(settings, sources, handlers)


class Client:
    """Calls the WSGI application without a socket."""

    def __init__(self, app: Administration) -> None:
        """Stores the application."""
        self.app = app
        self.headers: dict[str, str] = {}

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        secret: str = OPERATOR,
    ) -> tuple[int, Any]:
        statuses: list[str] = []

        def start(status: str, headers: list[tuple[str, str]]) -> None:
            statuses.append(status)
            self.headers = dict(headers)

        target, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": target,
            "QUERY_STRING": query,
            "HTTP_AUTHORIZATION": f"Bearer {secret}",
            "wsgi.input": io.BytesIO(body or b""),
        }
        if body is not None:
            environ["CONTENT_LENGTH"] = str(len(body))
        answer = b"".join(self.app(environ, start))
        document = json.loads(answer) if answer else None
        return int(statuses[0].split()[0]), document


@pytest.fixture
def log() -> FakeLog:
    return FakeLog([], [])


@pytest.fixture
def client(log: FakeLog) -> Client:
    return Client(make_administration(log))


def publication(**changes: object) -> bytes:
    document = {
        "publication_id": "p-1",
        "based_on": -1,
        "author": "ana",
        "customers": (SAMPLE / "customers.toml").read_text("utf-8"),
        "plans": (SAMPLE / "plans.toml").read_text("utf-8"),
        **changes,
    }
    return json.dumps(document).encode()


class TestRouting:
    """Guards against access without a credential and wrong methods."""

    @pytest.mark.parametrize("route", ROUTES, ids=lambda r: r.path)
    def test_credential_of_the_right_kind_is_required(
        self, route: Any, client: Client
    ) -> None:
        path = route.path.replace("{message}", "gossip")
        path = path.replace("{list}", "plans").replace("{kind}", "task")
        other = {"operator": PEER, "peer": OPERATOR, "open": ""}[route.access]
        for secret in (other, "", "\u010d"):
            status, _ = client.call(route.method, path, b"{}", secret)
            assert (status == 401) == (route.access != "open")

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("POST", "/v1/status", 405),
            ("DELETE", "/v1/audit", 405),
            ("GET", "/v1/configuration", 405),
            ("GET", "/v1/peer/gossip", 405),
            ("BREW", "/healthz", 405),
            ("GET", "/", 404),
            ("GET", "/v1/explain/task/", 404),
            ("GET", "/v1/explain/task/a/b", 404),
            ("GET", "/v1/explain/pool/a", 404),
            ("GET", "/v1/status/secrets", 404),
            ("GET", "/v1/status?limit=0", 400),
            ("GET", "/v1/status?after=a", 400),
            ("GET", "/v1/audit?after=a", 400),
        ],
    )
    def test_unknown_method_path_or_query_is_refused(
        self, method: str, path: str, status: int, client: Client
    ) -> None:
        assert client.call(method, path)[0] == status
        assert ("Allow" in client.headers) == (status == 405)

    def test_head_has_no_body(self, client: Client) -> None:
        assert client.call("HEAD", "/readyz") == (200, None)
        assert int(client.headers["Content-Length"]) > 0

    def test_missing_and_excessive_body_length_is_refused(
        self, client: Client
    ) -> None:
        path = "/v1/configuration"
        assert client.call("POST", path)[0] == 411
        too_long = b" " * (MAX_BODY_BYTES + 1)
        assert client.call("POST", path, too_long)[0] == 413

    def test_peer_message_is_passed_to_its_handler(
        self, client: Client
    ) -> None:
        path = "/v1/peer/gossip"
        assert client.call("POST", path, b"{}", PEER) == (200, {})
        assert client.call("POST", path, b"", PEER)[0] == 400
        assert client.call("POST", path, None, PEER)[0] == 411
        assert client.call("POST", "/v1/peer/no", b"{}", PEER)[0] == 404


class TestDocuments:
    """Guards against documents that the command line can't decode."""

    def test_command_line_decodes_the_status(self, client: Client) -> None:
        _, document = client.call("GET", "/v1/status?limit=1")
        decoded = decode_status(json.dumps(document).encode())
        assert decoded.plans[0].here.succeeded == 1010
        assert decoded.more["members"] == "entry-a"

    def test_command_line_decodes_an_explanation(self, client: Client) -> None:
        _, document = client.call("GET", "/v1/explain/instance/visits-1")
        decoded = decode_explain(json.dumps(document).encode())
        assert decoded.known
        assert decoded.events[0].reasons == {"record": "wave-step"}
        assert [c.code for c in decoded.no_work_because] == ["in-wave"]
        _, document = client.call("GET", "/v1/explain/task/nobody")
        assert not document["known"]

    def test_audit_is_paged_by_offset(self, client: Client) -> None:
        _, first = client.call("GET", "/v1/audit?limit=2")
        assert [e["offset"] for e in first["entries"]] == [4, 7]
        _, second = client.call("GET", f"/v1/audit?after={first['next']}")
        assert [e["offset"] for e in second["entries"]] == [9]
        assert second["next"] is None

    def test_metrics_are_served(self, client: Client) -> None:
        status, document = client.call("GET", "/v1/metrics")
        assert status == 200 and "resource_metrics" in document


class TestPublications:
    """Guards against an answer that doesn't state what was changed."""

    def test_repeated_publication_gets_the_same_answer(
        self, client: Client
    ) -> None:
        first = client.call("POST", "/v1/configuration", publication())
        assert first == (200, {"version": 0, "in_force": 0})
        repeated = client.call("POST", "/v1/configuration", publication())
        assert repeated == first

    def test_author_is_in_the_record(
        self, client: Client, log: FakeLog
    ) -> None:
        client.call("POST", "/v1/configuration", publication())
        assert json.loads(log.payloads[0])["body"]["author"] == "ana"

    @pytest.mark.parametrize(
        ("appends", "changes", "status", "code"),
        [
            (["raced"], {}, 409, "lost-race"),
            ([], {"based_on": 5}, 409, "lost-race"),
            (["refused"] * 99, {}, 503, "log-away"),
            (["dropped-away"], {}, 503, "outcome-unknown"),
            ([], {"plans": "x = 1"}, 422, "findings"),
            ([], {"author": " "}, 400, "bad-request"),
            ([], {"publication_id": "a\nb"}, 400, "bad-request"),
            ([], {"force": True}, 400, "bad-request"),
        ],
    )
    def test_refusal_has_status_and_code(
        self,
        appends: list[str],
        changes: dict[str, object],
        status: int,
        code: str,
    ) -> None:
        client = Client(make_administration(FakeLog(appends, [])))
        body = publication(**changes)
        got, document = client.call("POST", "/v1/configuration", body)
        assert (got, document["code"]) == (status, code)

    def test_all_findings_are_returned(self, client: Client) -> None:
        body = publication(plans="x = 1\ny = 2")
        _, document = client.call("POST", "/v1/configuration", body)
        found = "\n".join(document["findings"])
        assert "plans.toml:1:1: unknown-key" in found
        assert "plans.toml:2:1: unknown-key" in found

    def test_concurrent_publication_is_refused(self) -> None:
        """Guards against publications that occupy the threads for peers."""
        log = FakeLog(["dropped"], [])
        answers = []

        def sleep(seconds: float) -> None:
            log.sleep(seconds)
            answers.append(publisher.publish(publication(author="bor")))

        publisher = Publisher(log, lambda: log.now, sleep)
        assert publisher.publish(publication())[0] == 200
        assert {(s, d["code"]) for s, d in answers} == {(503, "busy")}
        assert publisher.publish(publication())[0] == 200


class TestTasks:
    """Guards against task requests that the listener doesn't handle."""

    def test_tasks_are_submitted_listed_and_cancelled(
        self, client: Client
    ) -> None:
        task = {
            "task": "t1",
            "team": "red",
            "kind": "render",
            "processors": 1,
            "memory_mb": 10,
            "expected_s": 5,
        }
        body = json.dumps({"tasks": [task]}).encode()
        accepted = {"tasks": [{"task": "t1", "status": "accepted"}]}
        assert client.call("POST", "/v1/tasks", body) == (202, accepted)
        listed: Any = (200, {"entries": [], "next": None})
        assert client.call("GET", "/v1/tasks?limit=5&after=a") == listed
        assert client.call("GET", "/v1/tasks?limit=0")[0] == 400
        names = json.dumps({"tasks": ["t1"]}).encode()
        assert client.call("DELETE", "/v1/tasks", names) == (202, accepted)
        assert client.call("DELETE", "/v1/tasks")[0] == 411


class TestPage:
    """Guards against an interface that differs from its documentation page."""

    def test_page_lists_all_routes(self) -> None:
        listed = re.findall(
            r"^### (GET|POST|DELETE) (/\S*) \((open|operator|peer)", PAGE, re.M
        )
        routes = [(r.method, r.path, r.access) for r in ROUTES]
        assert sorted(listed) == sorted(routes)

    def test_page_names_all_members_of_the_documents(
        self, client: Client
    ) -> None:
        """Every member name occurs on the page in backquotes."""
        members: set[str] = set()

        def collect(value: Any, names: bool = True) -> None:
            if isinstance(value, list):
                for element in value:
                    collect(element)
            elif isinstance(value, dict):
                for key, inner in value.items():
                    if names:
                        members.add(key)
                    # Their keys are values: statuses, stages and lists.
                    keys_are_values = key in ("endpoints", "stages", "more")
                    collect(inner, names=not keys_are_values)

        paths = ["/v1/status", "/v1/audit", "/v1/status/plans", "/readyz"]
        for path in (*paths, "/v1/explain/instance/visits-1", "/healthz"):
            collect(client.call("GET", path)[1])
        missing = {name for name in members if f"`{name}`" not in PAGE}
        assert missing == set()

    def test_page_names_all_lists_and_codes(self) -> None:
        for name in LISTS:
            assert f"`{name}`" in PAGE
        source = (ROOT / "acaciawing/entry/administration.py").read_text()
        source += (
            ROOT / "acaciawing/entry/configuration_publisher.py"
        ).read_text()
        codes = re.findall(r'_(?:error|problem)\(\s*\d+,\s*"([\w-]+)"', source)
        assert len(codes) > 10
        assert {c for c in codes if f"`{c}`" not in PAGE} == set()

"""Tests of the commands and their exit codes."""

import json
import subprocess
import sys
import threading
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest
from cheroot.wsgi import Server
from syrupy.assertion import SnapshotAssertion

import acaciawing
from acaciawing.commandline.main import main
from acaciawing.commandline.tests.test_publish import FakeLog
from acaciawing.configuration import EntrySettings

ROOT = Path(acaciawing.__file__).parent
SAMPLE = ROOT.parent / "samples" / "frizura"
LISTS = [str(SAMPLE / "customers.toml"), str(SAMPLE / "plans.toml")]
BROKEN = ROOT / "configuration" / "tests" / "broken"
MODULE = "acaciawing.commandline.main"
SECRET = "sample-operator"

STATUS = {
    "instance": "entry-koper-1",
    "zone": "koper",
    "ready": True,
    "version": 12,
    "log_up": False,
    "offset": 40,
    "counts_age_s": 8.25,
    "in_flight": 3,
    "plans": [
        {
            "plan": "doorstep",
            "promised": 0.999,
            "achieved": 0.9989,
            "succeeded": 9989,
            "failed": 11,
            "allowed": 10.0,
            "kept": 4.0,
            "burn_rate": 0.25,
            "reserved": 1.0,
            "held_back": 2.5,
            "remaining_budget": 0.5,
            "here": {"succeeded": 1000, "failed": 3, "refused": 2},
        },
        {
            "plan": "office",
            "promised": 0.99,
            "achieved": None,
            "succeeded": 0,
            "failed": 0,
            "allowed": 0.0,
            "kept": 0.0,
            "burn_rate": 0.0,
            "reserved": 0.0,
            "held_back": 0.0,
            "remaining_budget": None,
            "here": {"succeeded": 0, "failed": 0, "refused": 0},
        },
    ],
    "moves": [{"instance": "visits-1", "from": "visits", "to": "portal"}],
    "waves": [],
    "loans": [],
    "leases": [{"subject": "pool:visits", "held": True}],
    "members": [{"instance": "a", "zone": "x"}, {"instance": "b", "age": 1.5}],
    "more": {"members": "b"},
}
EXPLAIN = {
    "kind": "request",
    "id": "r-1 ?",
    "events": [
        {
            "time": 1700000000.25,
            "number": "AW2001",
            "event": "request routed",
            "reasons": {"endpoint": "visits-1", "load": 0.5, "tried": []},
        }
    ],
    "known": True,
    "no_work_because": [{"code": "moving", "detail": "leaving visits"}],
}


def serve(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    """Stand-in for the administration listener of an entry instance."""
    path = environ["PATH_INFO"]
    document: Any = {}
    status = "404 Not Found"
    if environ.get("HTTP_AUTHORIZATION") != f"Bearer {SECRET}":
        status = "401 Unauthorized"
    elif path == "/v1/status":
        status, document = "200 OK", STATUS
    elif path == "/v1/explain/request/r-1 ?":
        status, document = "200 OK", EXPLAIN
    elif path == "/v1/explain/task/garbled":
        status, document = "200 OK", {"events": 5}
    elif path.startswith("/v1/explain/instance/"):
        empty = {"kind": "instance", "id": "x", "events": []}
        status, document = "200 OK", empty
    body = json.dumps(document).encode()
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture(scope="module")
def entry_url() -> Iterator[str]:
    server = Server(("127.0.0.1", 0), serve, numthreads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{server.bind_addr[1]}"
    server.stop()
    thread.join()


@pytest.fixture
def credential(tmp_path: Path) -> Path:
    path = tmp_path / "credential"
    path.write_text(SECRET + "\n")
    return path


class TestCheckCommand:
    """Guards against a successful exit code despite a finding."""

    def test_sample_lists_and_settings_have_no_finding(self) -> None:
        settings = str(SAMPLE / "entry.toml")
        assert main(["check", *LISTS, "--settings", settings]) == 0

    def test_findings_of_lists_and_settings(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        broken = str(BROKEN / "plans.toml")
        settings = str(BROKEN / "entry.toml")
        assert main(["check", LISTS[0], broken, "--settings", settings]) == 1
        lines = capsys.readouterr().out.splitlines()
        assert f"{broken}:10:1: unknown-key: a plan has no key 'priority'" in (
            lines
        )
        assert any(line.startswith(settings) for line in lines)

    def test_module_exits_with_the_code_of_the_command(self) -> None:
        # Scripts took lists with findings for valid ones.
        command = [sys.executable, "-m", "acaciawing", "check"]
        broken = str(BROKEN / "plans.toml")
        for lists, code in ((LISTS, 0), ([LISTS[0], broken], 1)):
            done = subprocess.run([*command, *lists], capture_output=True)
            assert done.returncode == code


class TestPublishCommand:
    """Guards against exit codes that hide whether anything was changed."""

    @pytest.mark.parametrize(
        ("appends", "reads", "code", "text"),
        [
            ([], [], 0, "published: version 1"),
            (["raced"], [], 4, "lost-race"),
            (["refused"] * 99, [], 3, "nothing was changed"),
            (["dropped-away"], [], 3, "outcome-unknown"),
        ],
    )
    def test_exit_code_and_text_give_the_outcome(
        self,
        appends: list[str],
        reads: list[str],
        code: int,
        text: str,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        log = FakeLog(appends, reads)
        log.publish_other()
        monkeypatch.setattr(f"{MODULE}.LogClient", lambda url: log)
        monkeypatch.setattr(f"{MODULE}.monotonic", lambda: log.now)
        monkeypatch.setattr(f"{MODULE}.sleep", log.sleep)
        options = ["--log", "http://127.0.0.1:7000", "--author", "ana"]
        assert main(["publish", *LISTS, *options]) == code
        printed = capsys.readouterr()
        assert text in printed.out + printed.err
        assert "publication id" in printed.err

    def test_nothing_is_published_while_there_is_a_finding(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log = FakeLog([], [])
        monkeypatch.setattr(f"{MODULE}.LogClient", lambda url: log)
        options = ["--log", "http://127.0.0.1:7000", "--author", "ana"]
        broken = str(BROKEN / "plans.toml")
        assert main(["publish", LISTS[0], broken, *options]) == 1
        assert log.payloads == []

    @pytest.mark.parametrize(
        "options",
        [
            ["--log", "http://127.0.0.1", "--author", "ana"],
            ["--log", "http://127.0.0.1:7000", "--author", " "],
        ],
    )
    def test_invalid_options_are_usage_errors(self, options: list[str]) -> None:
        assert main(["publish", *LISTS, *options]) == 2

    def test_missing_option_is_a_usage_error(self) -> None:
        with pytest.raises(SystemExit) as caught:
            main(["publish", *LISTS])
        assert caught.value.code == 2


class TestAdministrationCommands:
    """Guards against a client that misreads the documents of the server."""

    def test_status_as_text_and_json(
        self,
        entry_url: str,
        credential: Path,
        snapshot: SnapshotAssertion,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        options = ["--entry", entry_url, "--credential-file", str(credential)]
        assert main(["status", *options]) == 0
        assert capsys.readouterr().out.splitlines() == snapshot
        assert main(["status", *options, "--json"]) == 0
        printed = json.loads(capsys.readouterr().out)
        known = {k: v for k, v in STATUS.items() if k != "in_flight"}
        assert printed == known

    def test_explain_as_text_and_json(
        self,
        entry_url: str,
        credential: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        options = ["--entry", entry_url, "--credential-file", str(credential)]
        assert main(["explain", "request", "r-1 ?", *options]) == 0
        assert capsys.readouterr().out == (
            "2023-11-14T22:13:20.250Z AW2001 request routed: "
            "endpoint=visits-1 load=0.5 tried=[]\n"
            "no work: moving: leaving visits\n"
        )
        assert main(["explain", "request", "r-1 ?", *options, "--json"]) == 0
        assert json.loads(capsys.readouterr().out) == EXPLAIN
        for kind, subject, code in (
            ("instance", "x", 1),
            ("task", "unknown", 1),
            ("task", "garbled", 3),
        ):
            assert main(["explain", kind, subject, *options]) == code

    def test_wrong_credential_is_refused_and_not_shown(
        self,
        entry_url: str,
        credential: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        credential.write_text("hunter2")
        options = ["--entry", entry_url, "--credential-file", str(credential)]
        assert main(["status", "--watch", *options]) == 1
        printed = capsys.readouterr()
        assert "credential-refused" in printed.err
        assert "hunter2" not in printed.out + printed.err

    @pytest.mark.parametrize("content", [b"", b"a\nb", b"\xff", b"caf\xc3\xa9"])
    def test_unusable_credential_file_is_a_usage_error(
        self, content: bytes, credential: Path
    ) -> None:
        credential.write_bytes(content)
        options = ["--entry", "http://127.0.0.1:1", "--credential-file"]
        assert main(["status", *options, str(credential)]) == 2

    def test_unavailable_entry_instance_has_its_own_exit_code(
        self, credential: Path
    ) -> None:
        options = ["--entry", "http://127.0.0.1:1", "--credential-file"]
        assert main(["status", *options, str(credential)]) == 3


class TestEntryCommand:
    """Guards against a daemon that starts with invalid settings."""

    def test_daemon_starts_only_with_valid_settings(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        started: list[EntrySettings] = []
        module = ModuleType("acaciawing.entry")
        monkeypatch.setattr(module, "run", started.append, raising=False)
        monkeypatch.setitem(sys.modules, "acaciawing.entry", module)
        assert main(["entry", str(BROKEN / "entry.toml")]) == 1
        assert started == []
        assert main(["entry", str(SAMPLE / "entry.toml")]) == 0
        assert started[0].instance == "entry-ljubljana-1"

"""WSGI application of the administration listener (also for peers)."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from typing import Any

import msgspec

from acaciawing.configuration import EntrySettings
from acaciawing.entry.callers import Directory
from acaciawing.entry.fleet_documents import fleet_documents
from acaciawing.entry.recorder import Recorder
from acaciawing.entry.requests import digest_credential
from acaciawing.entry.scheduler import Scheduler
from acaciawing.snapshots import encode_state

_REASONS = {200: "OK", 401: "Unauthorized", 404: "Not Found", 503: "Busy"}

Answer = tuple[int, Any]
PeerHandler = Callable[[bytes], bytes | None]


class Administration:
    """Serves operators and peers.

    Args:
        settings: Settings of the entry instance.
        directory: Readiness and configuration.
        scheduler: Task asked for its view.
        recorder: Task asked for explanations.
        peer_handlers: Answers to peers' messages, by the last part of the path.
    """

    def __init__(
        self,
        settings: EntrySettings,
        directory: Directory,
        scheduler: Scheduler,
        recorder: Recorder,
        peer_handlers: Mapping[str, PeerHandler] | None = None,
    ) -> None:
        """Keeps the arguments."""
        self._settings = settings
        self._peer_digest = hashlib.sha256(
            settings.peer_credential.encode()
        ).hexdigest()
        self._peer_handlers = dict(peer_handlers or {})
        self._directory = directory
        self._scheduler = scheduler
        self._recorder = recorder

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        status, document = self._answer(environ)
        if not isinstance(document, bytes):
            document = msgspec.json.encode(document)
        body = document
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {_REASONS.get(status, 'Status')}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return 200, {"healthy": True}
        if path == "/readyz":
            ready = self._directory.ready and not self._directory.draining
            return (200 if ready else 503), {"ready": ready}
        parts = path.strip("/").split("/")
        if parts[:2] == ["v1", "peer"]:
            return self._answer_peer(environ, parts[2:])
        if not self._authorized(environ):
            return 401, {"error": "credential missing or unknown"}
        if parts == ["v1", "status"]:
            return 200, self._status()
        if parts[:2] == ["v1", "explain"] and len(parts) == 4:
            return 200, self._explain(parts[2], parts[3])
        return 404, {"error": f"no path {path}"}

    def _answer_peer(self, environ: dict[str, Any], rest: list[str]) -> Answer:
        digest = digest_credential(environ.get("HTTP_AUTHORIZATION", ""))
        if not hmac.compare_digest(digest or "", self._peer_digest):
            return 401, {"error": "peer credential missing or unknown"}
        method = environ["REQUEST_METHOD"]
        if rest == ["state"] and method == "GET":
            if not self._directory.ready:
                return 503, {"error": "not recovered yet"}
            return 200, encode_state(self._scheduler.view().state)
        handler = self._peer_handlers.get("/".join(rest))
        if handler is None or method != "POST":
            return 404, {"error": "no such message"}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        answer = handler(environ["wsgi.input"].read(length))
        return (200, answer) if answer is not None else (400, {"error": "bad"})

    def _authorized(self, environ: dict[str, Any]) -> bool:
        digest = digest_credential(environ.get("HTTP_AUTHORIZATION", ""))
        return hmac.compare_digest(
            digest or "", self._settings.administration_sha256
        )

    def _status(self) -> dict[str, Any]:
        view = self._scheduler.view()
        configuration = view.state.configuration
        plans = []
        for plan in configuration.configuration.plans:
            counts = view.plans.get(plan.name)
            succeeded = counts.succeeded if counts else 0
            failed = counts.failed if counts else 0
            total = succeeded + failed
            plans.append(
                {
                    "plan": plan.name,
                    "promised": plan.success_rate,
                    "achieved": succeeded / total if total else None,
                    "succeeded": succeeded,
                    "failed": failed,
                    "refused": counts.refused if counts else 0,
                    "remaining_budget": None,
                }
            )
        return {
            "instance": self._settings.instance,
            "zone": self._settings.zone,
            "ready": self._directory.ready,
            "version": configuration.version,
            "offset": view.state.offset,
            "in_flight": view.in_flight,
            "waiting": view.waiting,
            "endpoints": view.endpoints,
            "plans": plans,
            **fleet_documents(view.state),
            "members": [
                asdict(member) for member in view.state.roster.members.values()
            ],
        }

    def _explain(self, kind: str, subject: str) -> dict[str, Any]:
        events = [
            {
                "time": decision.time,
                "number": decision.event.number,
                "event": decision.event.text,
                "reasons": decision.reasons,
            }
            for decision in self._recorder.explain(kind, subject)
        ]
        return {"kind": kind, "id": subject, "events": events}

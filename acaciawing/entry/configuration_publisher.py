"""Publishes a configuration that an operator sends to an entry instance."""

import threading
import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import msgspec

from acaciawing.commandline.publish_decisions import (
    IdInUse,
    LostRace,
    Outcome,
    Publication,
    Published,
    PublishUnfinished,
    StateExpired,
)
from acaciawing.commandline.publish_loop import run_publish
from acaciawing.configuration import Findings, Source, check_lists
from acaciawing.decoding import DECODE_ERRORS
from acaciawing.platform import Log
from acaciawing.telemetry import Event, log_event

Answer = tuple[int, dict[str, Any]]


class PublicationRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/configuration``.

    Attributes:
        publication_id: Unique id, the same in all retries; 1 to 128 printable
            characters.
        based_on: Version that the edited lists are based on, -1 for none.
        author: Name of the operator, 1 to 128 printable characters.
        customers: Text of ``customers.toml``.
        plans: Text of ``plans.toml``.
    """

    publication_id: str
    based_on: int
    author: str
    customers: str
    plans: str


_DECODER = msgspec.json.Decoder(PublicationRequest)


class Publisher:
    """Checks and publishes configurations, one at a time.

    Args:
        log: Log client that only this object uses.
        clock: Monotonic time in seconds.
        sleep: Waits for some seconds.
    """

    def __init__(
        self,
        log: Log,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Stores the arguments."""
        self._log = log
        self._clock = clock
        self._sleep = sleep
        # A publication may wait 15 s for the log. Several at once would occupy
        # the threads of the administration listener that peers need.
        self._in_use = threading.Lock()

    def publish(self, body: bytes) -> Answer:
        """Publishes and waits until the outcome was read from the log.

        Args:
            body: JSON of a `PublicationRequest`.

        Returns:
            HTTP status and document.
        """
        try:
            request = _DECODER.decode(body)
        except DECODE_ERRORS as error:
            return _problem(400, "bad-request", str(error))
        for name in ("publication_id", "author"):
            if not _is_label(getattr(request, name)):
                detail = f"{name}: 1 to 128 printable characters are required"
                return _problem(400, "bad-request", detail)
        checked = check_lists(
            Source("customers.toml", request.customers.encode()),
            Source("plans.toml", request.plans.encode()),
        )
        if checked.configuration is None:
            return _refused_lists(checked.findings)
        publication = Publication(
            request.publication_id,
            request.author,
            checked.configuration,
            request.based_on,
        )
        answer = self._run(publication)
        log_event(
            Event.PUBLICATION_ENDED,
            {
                "publication_id": publication.publication_id,
                "author": publication.author,
                "status": answer[0],
                "code": answer[1].get("code", ""),
            },
        )
        return answer

    def _run(self, publication: Publication) -> Answer:
        if not self._in_use.acquire(blocking=False):
            detail = (
                "this instance is publishing another one; nothing was changed"
            )
            return _problem(503, "busy", detail)
        try:
            return answer_of(
                run_publish(publication, self._log, self._clock, self._sleep)
            )
        finally:
            self._in_use.release()


@singledispatch
def answer_of(outcome: Outcome) -> Answer:
    """Returns HTTP status and document for the outcome of a publication.

    >>> answer_of(Published(12, 12))
    (200, {'version': 12, 'in_force': 12})
    """
    raise TypeError(type(outcome).__name__)


@answer_of.register
def _(outcome: Published) -> Answer:
    return 200, {"version": outcome.version, "in_force": outcome.in_force}


@answer_of.register
def _(outcome: LostRace) -> Answer:
    detail = (
        f"based on version {outcome.base}, version {outcome.in_force} is in "
        "force; nothing was changed"
    )
    status, document = _problem(409, "lost-race", detail)
    return status, document | {"in_force": outcome.in_force}


@answer_of.register
def _(outcome: IdInUse) -> Answer:
    detail = f"the id belongs to another document, version {outcome.version}"
    return _problem(409, "id-in-use", detail)


@answer_of.register
def _(outcome: PublishUnfinished) -> Answer:
    if outcome.unconfirmed:
        detail = (
            f"{outcome.detail}; it may have taken effect, retry with the same "
            "publication_id"
        )
        return _problem(503, "outcome-unknown", detail)
    detail = f"{outcome.detail}; nothing was changed"
    return _problem(503, "log-away", detail)


@answer_of.register
def _(outcome: StateExpired) -> Answer:
    detail = f"{outcome.detail}; nothing was changed"
    return _problem(503, "state-expired", detail)


def _refused_lists(findings: Findings) -> Answer:
    status, document = _problem(422, "findings", "nothing was changed")
    lines = [str(finding) for finding in findings]
    return status, document | {"findings": lines}


def _problem(status: int, code: str, detail: str) -> Answer:
    return status, {"code": code, "error": detail}


def _is_label(text: str) -> bool:
    return 0 < len(text.strip()) <= 128 and text.isprintable()

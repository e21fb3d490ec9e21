"""Forwarding of requests with an idempotency key to a peer.

An instance that started while the log was unavailable is not on the roster and
may not run such requests. It forwards them to a member. A repeat of a request
that a peer has claimed is forwarded to that peer, which has the answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import msgspec

from acaciawing.configuration import ConfigurationIndex
from acaciawing.decoding import DECODE_ERRORS
from acaciawing.entry.requests import CallerRequest
from acaciawing.exchange import (
    Answer,
    EndpointRequest,
    ExchangeOutcome,
    Exchanger,
    NotSent,
)
from acaciawing.outcomes import (
    AlreadyRan,
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)

SERVE_PATH = "/v1/peer/serve"
# Maximum number of members tried. Once one was reached, no other is tried.
_MAX_MEMBERS_TRIED = 2
# Part of the time-out that is reserved for the peer's answer to travel back.
_RETURN_MARGIN_S = 0.05

Serve = Callable[[CallerRequest], Answer | Refusal]


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A request forwarded to a peer; bytes are base64 in the JSON."""

    request_id: str
    customer_sha256: str
    service: str
    operation: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    timeout_s: float


class ForwardedAnswer(msgspec.Struct, frozen=True):
    """Answer of the peer: an endpoint's answer or a refusal.

    ``kind`` is the class name of the answer or refusal.
    """

    kind: str
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    code: str = ""
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Member:
    """A peer on the roster.

    Attributes:
        address: ``ip:port`` of its administration listener.
        zone: Its availability zone.
        name: ``instance/incarnation``.
    """

    address: str
    zone: str
    name: str = ""


class Forwarder:
    """Sends keyed requests to members; called by the request threads.

    Args:
        zone: Zone of this instance; its members are tried first.
        credential: Shared secret of the entry instances.
        exchanger: Sends to the administration listeners.
        members: Returns the members on the roster, without this instance.
    """

    def __init__(
        self,
        zone: str,
        credential: str,
        exchanger: Exchanger,
        members: Callable[[], tuple[Member, ...]],
    ) -> None:
        """Stores the arguments."""
        self._zone = zone
        self._headers = (("Authorization", f"Bearer {credential}"),)
        self._exchanger = exchanger
        self._members = members

    def forward(
        self, request: CallerRequest, remaining_s: float, owner: str = ""
    ) -> Answer | Refusal | None:
        """Forwards a request to a member.

        Args:
            request: A request with a key.
            remaining_s: Seconds left until its deadline.
            owner: The only member to try, as ``instance/incarnation``; any if
                empty.

        Returns:
            The member's answer or refusal; `OutcomeUnknown` if the member was
            reached and did not answer; None if no member could be reached.
        """
        members = [m for m in self._own_zone_first() if owner in ("", m.name)]
        for member in members[:_MAX_MEMBERS_TRIED]:
            outcome = self._exchanger.send(
                member.address,
                EndpointRequest(
                    "POST",
                    SERVE_PATH,
                    self._headers,
                    _encode_request(request, remaining_s),
                ),
                remaining_s,
            )
            if not isinstance(outcome, NotSent):
                return _decode_answer(outcome)
        return None

    def _own_zone_first(self) -> list[Member]:
        return sorted(self._members(), key=lambda m: m.zone != self._zone)


def _encode_request(request: CallerRequest, remaining_s: float) -> bytes:
    assert request.key is not None
    return msgspec.json.encode(
        ForwardedRequest(
            request.request_id,
            request.customer.credential_sha256,
            request.service.name,
            request.operation,
            request.method,
            request.target,
            request.headers,
            request.body,
            request.key,
            max(0.0, remaining_s - _RETURN_MARGIN_S),
        )
    )


def _decode_answer(outcome: ExchangeOutcome) -> Answer | Refusal:
    if not isinstance(outcome, Answer) or outcome.status != 200:
        return OutcomeUnknown("forward-unanswered", type(outcome).__name__)
    try:
        answer = msgspec.json.decode(outcome.body, type=ForwardedAnswer)
    except DECODE_ERRORS as error:
        return OutcomeUnknown("forward-unanswered", str(error))
    if answer.kind == "Answer":
        return Answer(answer.status, answer.headers, answer.body)
    if answer.kind == "NotRun":
        return NotRun(
            answer.code, answer.detail, answer.status, answer.retry_after_s
        )
    if answer.kind == "AlreadyRan":
        return AlreadyRan(answer.status)
    refusal_type = {"RanAndFailed": RanAndFailed}.get(
        answer.kind, OutcomeUnknown
    )
    return refusal_type(answer.code, answer.detail, answer.status)


@singledispatch
def _to_forwarded_answer(outcome: Answer | Refusal) -> ForwardedAnswer:
    raise TypeError(type(outcome).__name__)


@_to_forwarded_answer.register
def _(outcome: Answer) -> ForwardedAnswer:
    return ForwardedAnswer(
        "Answer", outcome.status, outcome.headers, outcome.body
    )


@_to_forwarded_answer.register
def _(outcome: NotRun) -> ForwardedAnswer:
    return ForwardedAnswer(
        "NotRun",
        outcome.status,
        code=outcome.code,
        detail=outcome.detail,
        retry_after_s=outcome.retry_after_s,
    )


@_to_forwarded_answer.register
def _(outcome: AlreadyRan) -> ForwardedAnswer:
    return ForwardedAnswer("AlreadyRan", outcome.ran_status)


@_to_forwarded_answer.register(RanAndFailed)
@_to_forwarded_answer.register(OutcomeUnknown)
def _(outcome: RanAndFailed | OutcomeUnknown) -> ForwardedAnswer:
    return ForwardedAnswer(
        type(outcome).__name__,
        outcome.status,
        code=outcome.code,
        detail=outcome.detail,
    )


def serve_forwarded(
    payload: bytes, index: ConfigurationIndex, serve: Serve
) -> bytes | None:
    """Serves a request that a peer forwarded.

    Args:
        payload: The message.
        index: Configuration in force here.
        serve: Serves the request; must not forward it again.

    Returns:
        The encoded answer, or None if the message is malformed.
    """
    try:
        message = msgspec.json.decode(payload, type=ForwardedRequest)
    except DECODE_ERRORS:
        return None
    request = _caller_request(message, index)
    if isinstance(request, NotRun):
        return msgspec.json.encode(_to_forwarded_answer(request))
    return msgspec.json.encode(_to_forwarded_answer(serve(request)))


def _caller_request(
    message: ForwardedRequest, index: ConfigurationIndex
) -> CallerRequest | NotRun:
    customer = index.customers.get(message.customer_sha256)
    service = index.services.get(message.service)
    plan = index.plans.get(customer.plan) if customer else None
    if customer is None or plan is None or service is None:
        detail = "the peer has another configuration in force"
        return NotRun("configuration-changed", detail, 503, 1.0)
    return CallerRequest(
        message.request_id,
        customer,
        plan,
        service,
        message.operation,
        message.method,
        message.target,
        message.headers,
        message.body,
        message.key,
        False,
        message.timeout_s,
        forwarded=True,
    )

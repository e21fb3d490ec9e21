"""Keyed requests that a peer serves for this entry instance.

An instance that started while the log was away is not on the roster, so it may
not run keyed requests itself. A member serves them on its behalf. A repeat of a
request that a peer has claimed goes to that peer, which holds the answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import msgspec

from acaciawing.configuration import ConfigurationIndex
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
# Peers tried while none could be reached; one that was reached is final.
_PEERS_TRIED = 2
# Time that the peer leaves for the way back.
_RETURN_S = 0.05

Serve = Callable[[CallerRequest], Answer | Refusal]


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A request on its way to a peer; bytes travel as base64 in JSON."""

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
    """What the peer answers: a whole answer or a refusal by its class name."""

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
        zone: Zone of this instance; members of it are asked first.
        credential: Secret that entry instances show to each other.
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
        """Keeps the arguments."""
        self._zone = zone
        self._headers = (("Authorization", f"Bearer {credential}"),)
        self._exchanger = exchanger
        self._members = members

    def forward(
        self, request: CallerRequest, left_s: float, owner: str = ""
    ) -> Answer | Refusal | None:
        """Lets a member serve a request.

        Args:
            request: A request with a key.
            left_s: Seconds left for it.
            owner: The only member to ask, as ``instance/incarnation``; any if
                empty.

        Returns:
            The member's answer or refusal; "unknown" if the member was reached
            and did not answer; None if no member could be reached.
        """
        members = [m for m in self._order() if owner in ("", m.name)]
        for member in members[:_PEERS_TRIED]:
            outcome = self._exchanger.send(
                member.address,
                EndpointRequest(
                    "POST", SERVE_PATH, self._headers, _encode(request, left_s)
                ),
                left_s,
            )
            if not isinstance(outcome, NotSent):
                return _decode(outcome)
        return None

    def _order(self) -> list[Member]:
        return sorted(self._members(), key=lambda m: m.zone != self._zone)


def _encode(request: CallerRequest, left_s: float) -> bytes:
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
            max(0.0, left_s - _RETURN_S),
        )
    )


def _decode(outcome: ExchangeOutcome) -> Answer | Refusal:
    if not isinstance(outcome, Answer) or outcome.status != 200:
        return OutcomeUnknown("forward-unanswered", type(outcome).__name__)
    try:
        answer = msgspec.json.decode(outcome.body, type=ForwardedAnswer)
    except msgspec.DecodeError as error:
        return OutcomeUnknown("forward-unanswered", str(error))
    if answer.kind == "Answer":
        return Answer(answer.status, answer.headers, answer.body)
    if answer.kind == "NotRun":
        return NotRun(
            answer.code, answer.detail, answer.status, answer.retry_after_s
        )
    if answer.kind == "AlreadyRan":
        return AlreadyRan(answer.status)
    refused = {"RanAndFailed": RanAndFailed}.get(answer.kind, OutcomeUnknown)
    return refused(answer.code, answer.detail, answer.status)


@singledispatch
def _answer_of(outcome: Answer | Refusal) -> ForwardedAnswer:
    raise TypeError(type(outcome).__name__)


@_answer_of.register
def _(outcome: Answer) -> ForwardedAnswer:
    return ForwardedAnswer(
        "Answer", outcome.status, outcome.headers, outcome.body
    )


@_answer_of.register
def _(outcome: NotRun) -> ForwardedAnswer:
    return ForwardedAnswer(
        "NotRun",
        outcome.status,
        code=outcome.code,
        detail=outcome.detail,
        retry_after_s=outcome.retry_after_s,
    )


@_answer_of.register
def _(outcome: AlreadyRan) -> ForwardedAnswer:
    return ForwardedAnswer("AlreadyRan", outcome.ran_status)


@_answer_of.register(RanAndFailed)
@_answer_of.register(OutcomeUnknown)
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
    """Serves a request that a peer passed on.

    Args:
        payload: The message.
        index: Configuration in force here.
        serve: Serves the request; must not forward it again.

    Returns:
        The encoded answer, or None if the message is not understood.
    """
    try:
        message = msgspec.json.decode(payload, type=ForwardedRequest)
    except msgspec.DecodeError:
        return None
    request = _request(message, index)
    if isinstance(request, NotRun):
        return msgspec.json.encode(_answer_of(request))
    return msgspec.json.encode(_answer_of(serve(request)))


def _request(
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

"""One HTTP exchange with an endpoint."""

from acaciawing.exchange.exchanger import MAX_ANSWER_BYTES, Exchanger
from acaciawing.exchange.idle import IdleConnections
from acaciawing.exchange.outcomes import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    EndpointRequest,
    ExchangeOutcome,
    Headers,
    Interrupted,
    NotSent,
)

__all__ = [
    "MAX_ANSWER_BYTES",
    "Answer",
    "AnswerTimeout",
    "BadAnswer",
    "EndpointNotRun",
    "EndpointRequest",
    "ExchangeOutcome",
    "Exchanger",
    "Headers",
    "IdleConnections",
    "Interrupted",
    "NotSent",
]

"""The command ``acaciawing`` and the documents that it reads."""

from acaciawing.commandline.documents import (
    ExplainDocument,
    ExplainEvent,
    PlanStatus,
    StatusDocument,
    decode_explain,
    decode_status,
)

__all__ = [
    "ExplainDocument",
    "ExplainEvent",
    "PlanStatus",
    "StatusDocument",
    "decode_explain",
    "decode_status",
]
